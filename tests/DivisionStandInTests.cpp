// Guards against a soak that passes because its judge sees nothing, and against a stand-in whose flows break by themselves.
#include "division/FlowEnd.h"
#include "division/Judge.h"
#include "division/Request.h"

#include <boost/test/unit_test.hpp>

#include <deque>

namespace {

using namespace plantaindrift;
using namespace plantaindrift::standins;
using namespace std::chrono_literals;

TimePoint const start { 1000s };
Endpoint const caller { 0x7F090001U, 2000 };
Endpoint const service { 0xC6120001U, 443 };
FlowEnds const flow { caller, service };
constexpr std::uint32_t owner = 0x7F020001U;
constexpr std::uint32_t other = 0x7F020002U;

Judge judgeWithOpenFlow()
{
    Judge judge;
    judge.allow(service, "desk");
    judge.flowOpened(flow, "desk", owner, start);
    return judge;
}

// Two ends whose packets take no time; some are lost.
class Line {
public:
    explicit Line(int lostEach)
        : lostEach_(lostEach)
        , callerEnd(caller, service, 100, [this](Packet const& packet) { put(packet); })
        , targetEnd(service, caller, 900, [this](Packet const& packet) { put(packet); })
    {
    }

    void runFor(Duration time)
    {
        TimePoint const end = now + time;
        for (; now < end; now += 10ms) {
            callerEnd.tick(now);
            targetEnd.tick(now);
            while (!packets_.empty()) {
                Packet const packet = packets_.front();
                packets_.pop_front();
                deliver(packet);
            }
        }
    }

private:
    int lostEach_;
    int sent_ { 0 };
    std::deque<Packet> packets_;

    void put(Packet const& packet)
    {
        if (lostEach_ == 0 || ++sent_ % lostEach_ != 0)
            packets_.push_back(packet);
    }

    void deliver(Packet const& packet)
    {
        if (packet.destination == caller)
            callerEnd.receive(packet, now);
        else if (packet.isFirst())
            targetEnd.answer(packet);
        else
            targetEnd.receive(packet, now);
    }

public:
    TimePoint now { start };
    FlowEnd callerEnd;
    FlowEnd targetEnd;
};

} // namespace

BOOST_AUTO_TEST_CASE(AQuietDayBreaksNoPromise)
{
    Judge judge = judgeWithOpenFlow();
    judge.requestRan("r1", false, "desk", "desk");
    judge.packetArrived(flow, owner, start + 1s);
    judge.answerArrived("answer r1", "answer r1");
    judge.flowEnded(flow);
    judge.resetArrived(flow, other, start + 2s);
    BOOST_TEST(judge.violations().empty());
}

BOOST_AUTO_TEST_CASE(EachBrokenPromiseIsSeen)
{
    struct Case {
        char const* rule;
        void (*happen)(Judge&);
    };
    std::vector<Case> const cases {
        { "ROUTE", [](Judge& judge) { judge.flowOpened({ caller, { 0xC6120002U, 443 } }, "desk", owner, start); } },
        { "ROUTE", [](Judge& judge) { judge.requestRan("r1", true, "ledger", "desk"); } },
        { "TWICE", [](Judge& judge) { judge.requestRan("r1", false, "desk", "desk"); judge.requestRan("r1", false, "desk", "desk"); } },
        { "FLOW", [](Judge& judge) { judge.resetArrived(flow, other, start + 1s); } },
        { "FLOW", [](Judge& judge) { for (int index = 0; index < 4; ++index) judge.packetArrived(flow, other, start + index * 800ms); } },
        { "DRAIN", [](Judge& judge) { judge.openingTaken("target-1", start, start + 4s); } },
        { "EVACUATED", [](Judge& judge) { judge.evacuate("north", start); judge.openingReached(flow, "north", owner, start + 5100ms); } },
        { "MIXED", [](Judge& judge) { judge.answerArrived("answer r1", "answer r2"); } },
        { "UNASKED", [](Judge& judge) { judge.packetForged("target-1"); } }
    };
    for (Case const& one : cases) {
        Judge judge = judgeWithOpenFlow();
        one.happen(judge);
        BOOST_TEST_REQUIRE(judge.violations().size() == 1U, one.rule);
        BOOST_TEST(judge.violations()[0].starts_with(one.rule));
    }
}

// Promises with a time hold only for processes that were not disturbed lately.
BOOST_AUTO_TEST_CASE(ADisturbedProcessOwesNoTimes)
{
    Judge judge = judgeWithOpenFlow();
    judge.disturb(other, start);
    judge.resetArrived(flow, other, start + 3900ms);
    BOOST_TEST(judge.violations().empty());
    judge.resetArrived(flow, other, start + 4100ms);
    BOOST_TEST(judge.violations().size() == 1U);
}

// A soak disturbs some process all the time; a flow whose own processes are in touch is judged nevertheless.
// Guards against openings that are held against the system before the bound, elsewhere, after the withdrawal, or at an agent
// that was disturbed; and against a repeated write that begins the bound again.
BOOST_AUTO_TEST_CASE(OnlyLateOpeningsBreakAnEvacuation)
{
    Judge judge;
    judge.evacuate("north", start);
    judge.openingReached(flow, "north", owner, start + 5s);
    judge.openingReached(flow, "south", owner, start + 9s);
    judge.disturb(owner, start + 6s);
    judge.openingReached(flow, "north", owner, start + 9s);
    BOOST_TEST(judge.violations().empty());
    judge.evacuate("north", start + 12s);
    judge.openingReached(flow, "north", owner, start + 13s);
    BOOST_TEST(judge.violations().size() == 1U);
    judge.withdrawEvacuation("north");
    judge.openingReached(flow, "north", owner, start + 20s);
    BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AFlowIsJudgedByTheProcessesThatItPasses)
{
    struct Case {
        std::uint32_t disturbed; ///< a second before the flow's packets reach the wrong target
        bool broken;
    };
    constexpr std::uint32_t entry = 0x7F010001U;
    constexpr std::uint32_t otherEntry = 0x7F010002U;
    for (Case const& one : { Case { entry, false }, Case { owner, false }, Case { 0, false }, Case { otherEntry, true }, Case { other, true } }) {
        Judge judge = judgeWithOpenFlow();
        judge.packetTaken(flow, otherEntry);
        judge.packetArrived(flow, owner, start + 1s);
        judge.disturb(one.disturbed, start + 2s);
        for (int index = 0; index < 4; ++index) {
            judge.packetTaken(flow, entry);
            judge.packetArrived(flow, other, start + 3s + index * 700ms);
        }
        BOOST_TEST(judge.violations().size() == (one.broken ? 1U : 0U), formatAddress(one.disturbed));
    }
}

BOOST_AUTO_TEST_CASE(PacketsAtTheOwnTargetEndASearch)
{
    Judge judge = judgeWithOpenFlow();
    for (int index = 0; index < 8; ++index)
        judge.packetArrived(flow, index % 3 == 2 ? owner : other, start + index * 800ms);
    BOOST_TEST(judge.violations().empty());
}

BOOST_AUTO_TEST_CASE(RequestsAndAnswersArriveWholeInSpiteOfLosses)
{
    for (int const lostEach : { 0, 3, 5, 7 }) {
        Line line(lostEach);
        Request request;
        request.service = "desk";
        request.id = "r1";
        request.uploadBytes = 50'000;
        request.answerBytes = 5000;
        line.callerEnd.open(line.now);
        line.callerEnd.write(request.text(), line.now);
        line.runFor(20s);
        std::optional<Request> const taken = takeRequest(line.targetEnd.input());
        BOOST_TEST_REQUIRE(taken.has_value(), lostEach);
        line.targetEnd.write(taken->answer(), line.now);
        line.runFor(20s);
        BOOST_TEST(line.callerEnd.input() == request.answer());
        line.callerEnd.finish(line.now);
        line.targetEnd.finish(line.now);
        line.runFor(20s);
        BOOST_TEST((line.callerEnd.state() == FlowState::Closed));
    }
}

BOOST_AUTO_TEST_CASE(AnOpeningWithoutAnswerEnds)
{
    Line line(1);
    line.callerEnd.open(line.now);
    line.runFor(1300ms);
    BOOST_TEST((line.callerEnd.state() == FlowState::Opening));
    line.runFor(200ms);
    BOOST_TEST((line.callerEnd.state() == FlowState::Unanswered));
}

BOOST_AUTO_TEST_CASE(AChangedPacketIsNotGenuine)
{
    Packet packet { caller, service, 7, 8, 0, Packet::acknowledges, 0, "data" };
    std::vector<std::byte> datagram = writePacket(packet);
    BOOST_TEST(isGenuine(readPacket(datagram).value()));
    BOOST_TEST(isGenuine(readPacket(markReturned(datagram)).value()));
    datagram.back() ^= std::byte { 1 };
    BOOST_TEST(!isGenuine(readPacket(datagram).value()));
    BOOST_TEST(!readPacket(std::span<std::byte const>(datagram).first(30)).has_value());
}
