#include "division/Callers.h"

#include <algorithm>
#include <chrono>

namespace plantaindrift::standins {

namespace {

    constexpr std::chrono::milliseconds requestDeadline { 3000 };
    constexpr std::chrono::milliseconds feedPause { 300 };
    // Long enough for a flow that opens while a process stands still to go on after that process is in touch again.
    constexpr std::chrono::seconds shortestFeed { 5 };
    constexpr std::chrono::seconds longestFeed { 25 };
    constexpr int mostTries = 3;
    constexpr std::size_t bookingBytes = 900;
    constexpr std::size_t uploadBytes = 20'000;
    constexpr std::size_t answerBytes = 600;
    constexpr std::size_t feedAnswerBytes = 2000;

    // Ports of callers; a port is not used again while an older flow of it may be known.
    constexpr std::uint16_t firstPort = 2000;
    constexpr std::uint32_t portCount = 60'000;

} // namespace

Callers::Callers(Judge& judge, std::uint32_t address, std::vector<CallerRoute> routes, Send send, std::uint64_t seed)
    : judge_(judge)
    , address_(address)
    , routes_(std::move(routes))
    , send_(std::move(send))
    , random_(seed)
{
}

void Callers::setTraffic(double rate, std::size_t feeds) noexcept
{
    rate_ = rate;
    feeds_ = feeds;
}

Request Callers::makeRequest(CallerRoute const& route, bool isFeed)
{
    Request request;
    request.service = route.service;
    request.id = "r" + std::to_string(++requestNumber_);
    bool const isUpload = !isFeed && random_() % 4 == 0;
    request.mayRepeat = isFeed;
    request.uploadBytes = isFeed ? 0 : (isUpload ? uploadBytes : bookingBytes);
    request.answerBytes = isFeed ? feedAnswerBytes : answerBytes;
    return request;
}

void Callers::startSession(bool isFeed, TimePoint now)
{
    Session& session = sessions_.emplace_back();
    session.isFeed = isFeed;
    session.route = routes_[random_() % routes_.size()];
    session.feedEnd = now + std::chrono::seconds(std::uniform_int_distribution<std::int64_t>(shortestFeed.count(), longestFeed.count())(random_));
    ask(session, now);
}

void Callers::ask(Session& session, TimePoint now)
{
    ++counts_.asked;
    session.request = makeRequest(session.route, session.isFeed);
    session.deadline = now + requestDeadline;
    session.tries = 1;
    session.waiting = true;
    if (session.flow && !session.flow->isOver())
        session.flow->write(session.request.text(), now);
    else
        openFlow(session, now);
}

void Callers::openFlow(Session& session, TimePoint now)
{
    closeFlow(session, now);
    Endpoint const local { address_, static_cast<std::uint16_t>(firstPort + flowNumber_++ % portCount) };
    session.ends = { local, session.route.address };
    FlowEnds const ends = session.ends;
    session.flow = std::make_unique<FlowEnd>(local, session.route.address, static_cast<std::uint32_t>(random_()), [this, ends](Packet const& packet) { send_(ends, writePacket(packet)); });
    byEnds_[session.ends] = &session;
    ++counts_.flows;
    session.flow->open(now);
    session.flow->write(session.request.text(), now);
}

void Callers::closeFlow(Session& session, TimePoint now)
{
    if (!session.flow)
        return;
    byEnds_.erase(session.ends);
    if (session.flow->state() == FlowState::Open)
        session.flow->finish(now);
    session.flow.reset();
}

void Callers::receive(std::span<std::byte const> datagram, Endpoint from, TimePoint now)
{
    std::optional<Packet> const packet = readPacket(datagram);
    bool const isOwnReset = packet && packet->has(Packet::reset) && packet->sum == 0 && packet->data.empty();
    if (!packet || (!isOwnReset && !isGenuine(*packet))) {
        judge_.packetForged("a caller");
        return;
    }
    FlowEnds const ends(packet->destination, packet->source);
    std::map<FlowEnds, Session*>::iterator const found = byEnds_.find(ends);
    if (found == byEnds_.end())
        return;
    Session& session = *found->second;
    if (isOwnReset && session.flow->state() == FlowState::Open)
        judge_.resetArrived(ends, from.address, now);
    session.flow->receive(*packet, now);
    takeAnswer(session, now);
}

void Callers::takeAnswer(Session& session, TimePoint now)
{
    std::string& input = session.flow->input();
    if (input.empty())
        return;
    std::string const expected = session.request.answer();
    if (!session.waiting || input.size() > expected.size()) {
        judge_.answerArrived("nothing", input.substr(0, input.find('\n')));
        input.clear();
        return;
    }
    if (input.size() < expected.size())
        return;
    judge_.answerArrived(expected.substr(0, expected.find('\n')), input == expected ? expected.substr(0, expected.find('\n')) : input.substr(0, input.find('\n')) + " and other bytes");
    input.clear();
    ++counts_.answered;
    session.waiting = false;
    session.nextRequest = now + feedPause;
    // A draining target closes the flow after its answer.
    if (session.flow->isPeerFinished())
        session.flow->finish(now);
}

// The result tells whether the session goes on.
bool Callers::step(Session& session, TimePoint now)
{
    if (session.flow)
        session.flow->tick(now);
    if (session.waiting) {
        if (now >= session.deadline) {
            ++counts_.failed;
            closeFlow(session, now);
            return false;
        }
        bool const isOver = !session.flow || session.flow->isOver() || session.flow->isPeerFinished();
        return !isOver || endTry(session, now);
    }
    if (!session.isFeed || now >= session.feedEnd) {
        closeFlow(session, now);
        return false;
    }
    if (now < session.nextRequest)
        return true;
    if (session.flow && (session.flow->isOver() || session.flow->isPeerFinished()))
        closeFlow(session, now);
    ask(session, now);
    return true;
}

// Requests that must not run twice are repeated only if the flow never opened.
bool Callers::endTry(Session& session, TimePoint now)
{
    FlowState const state = session.flow ? session.flow->state() : FlowState::Unanswered;
    counts_.refused += state == FlowState::Refused ? 1 : 0;
    counts_.unanswered += state == FlowState::Unanswered ? 1 : 0;
    counts_.reset += state == FlowState::Reset ? 1 : 0;
    bool const hasNotRun = state == FlowState::Refused || state == FlowState::Unanswered;
    if (session.tries >= mostTries || (!session.request.mayRepeat && !hasNotRun)) {
        ++counts_.failed;
        closeFlow(session, now);
        return false;
    }
    ++session.tries;
    openFlow(session, now);
    return true;
}

std::size_t Callers::feedCount() const
{
    return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(), [](Session const& session) { return session.isFeed; }));
}

void Callers::tick(TimePoint now)
{
    std::chrono::duration<double> const elapsed = last_ == TimePoint {} ? Duration(0) : now - last_;
    last_ = now;
    due_ += rate_ * elapsed.count();
    for (; due_ >= 1; due_ -= 1)
        startSession(false, now);
    // Feeds start one a tick, so that they do not run in step.
    if (feedCount() < feeds_)
        startSession(true, now);
    for (std::list<Session>::iterator session = sessions_.begin(); session != sessions_.end();)
        session = step(*session, now) ? std::next(session) : sessions_.erase(session);
}

nlohmann::json Callers::counts() const
{
    return { { "asked", counts_.asked }, { "answered", counts_.answered }, { "failed", counts_.failed }, { "flows", counts_.flows }, { "reset", counts_.reset }, { "refused", counts_.refused }, { "unanswered", counts_.unanswered }, { "pending", sessions_.size() } };
}

} // namespace plantaindrift::standins
