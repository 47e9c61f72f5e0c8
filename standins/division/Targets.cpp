#include "division/Targets.h"

#include "division/Request.h"
#include "plantaindrift/runtime/Log.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace plantaindrift::standins {

namespace {

    constexpr std::size_t slots = 3;
    constexpr std::size_t queue = 12;
    constexpr std::chrono::milliseconds shortestWork { 5 };
    constexpr std::chrono::milliseconds longestWork { 40 };
    constexpr std::chrono::milliseconds announcementInterval { 400 };
    constexpr std::chrono::milliseconds announcementTimeout { 1000 };
    constexpr std::chrono::milliseconds coldTime { 1000 };

    // A draining target serves on for this time after the acknowledgement.
    constexpr std::chrono::seconds drainTime { 4 };
    constexpr std::chrono::seconds flowLifetime { 60 };

} // namespace

Target::Target(asio::io_context& loop, Judge& judge, TargetPlace place, std::uint64_t seed)
    : loop_(loop)
    , judge_(judge)
    , place_(std::move(place))
    , socket_(loop)
    , random_(seed)
    , announcer_([this] { announceAlways(); })
{
    absl::Status const status = socket_.start(place_.app, [this](std::span<std::byte const> datagram, Endpoint) { receive(datagram, std::chrono::steady_clock::now()); });
    if (!status.ok())
        logEvent(LogLevel::Error, "target_not_bound", { { "address", formatEndpoint(place_.app) } });
}

Target::~Target()
{
    stopping_ = true;
    announcer_.join();
}

void Target::start(TimePoint now)
{
    up_ = true;
    draining_ = false;
    drainedAt_ = {};
    started_ = now;
    std::lock_guard<std::mutex> const lock(mutex_);
    id_ = "i-" + std::to_string(random_() % 1'000'000'000);
    service_ = place_.service;
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    sequence_ = 0;
    sayDraining_ = false;
    sayEnd_ = false;
    announces_ = true;
}

void Target::drain()
{
    draining_ = true;
    std::lock_guard<std::mutex> const lock(mutex_);
    sayDraining_ = true;
}

void Target::crash()
{
    announces_ = false;
    end();
}

void Target::end()
{
    up_ = false;
    flows_.clear();
    working_.clear();
    waiting_.clear();
    judge_.targetEnded(address());
}

void Target::receive(std::span<std::byte const> datagram, TimePoint now)
{
    std::optional<Packet> const packet = readPacket(datagram);
    if (!up_)
        return;
    if (!packet || !isGenuine(*packet)) {
        judge_.packetForged(formatEndpoint(place_.app));
        return;
    }
    FlowEnds const ends(packet->source, packet->destination);
    if (packet->isFirst()) {
        takeOpening(*packet, datagram, now);
        return;
    }
    std::map<FlowEnds, Flow>::iterator const flow = flows_.find(ends);
    bool const isHeld = flow != flows_.end() && (flow->second.open || flow->second.end->isAcknowledgedBy(*packet));
    judge_.packetArrived(ends, address(), now);
    if (isHeld)
        takeLater(flow->second, ends, *packet, now);
    else
        giveBack(datagram);
}

void Target::giveBack(std::span<std::byte const> datagram)
{
    ++returned_;
    socket_.send(place_.output, markReturned(datagram));
}

void Target::takeOpening(Packet const& packet, std::span<std::byte const> datagram, TimePoint now)
{
    FlowEnds const ends(packet.source, packet.destination);
    if (working_.size() >= slots && waiting_.size() >= queue) {
        giveBack(datagram);
        return;
    }
    judge_.openingTaken(formatEndpoint(place_.app), drainedAt_, now);
    Flow& flow = flows_[ends];
    if (flow.open)
        return;
    judge_.openingReached(ends, place_.dataCentre, address(), now);
    if (!flow.end) {
        FlowEnd::Output const output = [this](Packet const& answer) { socket_.send(place_.output, writePacket(answer)); };
        flow.end = std::make_unique<FlowEnd>(packet.destination, packet.source, static_cast<std::uint32_t>(random_()), output);
    }
    flow.last = now;
    flow.end->answer(packet);
}

void Target::takeLater(Flow& flow, FlowEnds const& ends, Packet const& packet, TimePoint now)
{
    if (!flow.open) {
        flow.open = true;
        judge_.flowOpened(ends, place_.service, address(), now);
    }
    flow.last = now;
    flow.end->receive(packet, now);
    readRequests(flow, ends, now);
    if (flow.end->isPeerFinished())
        flow.end->finish(now);
    if (flow.end->isOver() || flow.end->isPeerFinished())
        judge_.flowEnded(ends);
}

void Target::readRequests(Flow& flow, FlowEnds const& ends, TimePoint now)
{
    for (std::optional<Request> request = takeRequest(flow.end->input()); request; request = takeRequest(flow.end->input())) {
        ++requests_;
        judge_.requestRan(request->id, request->mayRepeat, request->service, place_.service);
        std::uniform_int_distribution<std::int64_t> time(shortestWork.count(), longestWork.count());
        startWork({ ends, request->answer(), std::chrono::milliseconds { time(random_) }, {} }, now);
    }
}

void Target::startWork(Work work, TimePoint now)
{
    if (working_.size() >= slots) {
        waiting_.push_back(std::move(work));
        return;
    }
    work.due = now + work.time;
    working_.push_back(std::move(work));
}

void Target::finishWork(TimePoint now)
{
    for (std::size_t index = 0; index < working_.size();) {
        if (working_[index].due > now) {
            ++index;
            continue;
        }
        Work const done = std::move(working_[index]);
        working_.erase(working_.begin() + static_cast<std::ptrdiff_t>(index));
        std::map<FlowEnds, Flow>::iterator const flow = flows_.find(done.flow);
        if (flow != flows_.end()) {
            flow->second.end->write(done.answer, now);
            if (draining_)
                flow->second.end->finish(now);
        }
        if (!waiting_.empty()) {
            Work next = std::move(waiting_.front());
            waiting_.pop_front();
            startWork(std::move(next), now);
        }
    }
}

void Target::tick(TimePoint now)
{
    if (!up_)
        return;
    finishWork(now);
    for (std::map<FlowEnds, Flow>::iterator flow = flows_.begin(); flow != flows_.end();) {
        flow->second.end->tick(now);
        bool const isGone = flow->second.end->isOver() || now - flow->second.last > flowLifetime;
        if (isGone)
            judge_.flowEnded(flow->first);
        flow = isGone ? flows_.erase(flow) : std::next(flow);
    }
    if (drainedAt_ == TimePoint {} || now - drainedAt_ < drainTime)
        return;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        sayEnd_ = true;
    }
    end();
}

void Target::announceAlways()
{
    HttpClient client;
    while (!stopping_) {
        if (announces_)
            announceOnce(client);
        std::this_thread::sleep_for(announcementInterval);
    }
}

void Target::announceOnce(HttpClient& client)
{
    nlohmann::json body;
    std::string id;
    bool isEnd = false;
    bool isDraining = false;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        id = id_;
        isEnd = sayEnd_;
        isDraining = sayDraining_;
        std::int64_t const now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        body["service"] = service_;
        body["address"] = formatEndpoint(place_.app);
        body["zone"] = place_.dataCentre;
        body["version"] = "v1";
        body["slots"] = slots;
        body["state"] = isDraining ? "draining" : "ready";
        body["warmup-left-ms"] = std::max<std::int64_t>(0, born_ + coldTime.count() - now);
        body["seq"] = ++sequence_;
        body["born"] = born_;
    }
    std::string const url = "http://" + formatEndpoint(place_.announcements) + "/plantaindrift/instances/" + id;
    absl::StatusOr<HttpResult> const result = client.send(isEnd ? "DELETE" : "PUT", url, isEnd ? "" : body.dump(), announcementTimeout);
    bool const isTaken = result.ok() && result->status == 200;
    if (isEnd && isTaken)
        announces_ = false;
    if (!isDraining || !isTaken || isEnd)
        return;
    asio::post(loop_, [this] {
        if (draining_ && drainedAt_ == TimePoint {})
            drainedAt_ = std::chrono::steady_clock::now();
    });
}

} // namespace plantaindrift::standins
