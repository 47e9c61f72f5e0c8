// Guards against large segments that delay small ones, that wait longer than their callers do, and that change places
// with later segments of their flow.
#include "balancing/BulkPacer.h"
#include "balancing/LinkBudget.h"
#include "runtime/PacedSender.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

constexpr TimePoint start { 1000s };

} // namespace

BOOST_AUTO_TEST_CASE(AnEmptyLinkSendsAtOnce)
{
    BulkPacer pacer;
    BOOST_TEST((pacer.decide(0ms, 1ms) == BulkAction::Send));
    BOOST_TEST((pacer.decide(20ms, 1ms) == BulkAction::Send));
    BOOST_TEST(pacer.counts().paced == 0U);
}

BOOST_AUTO_TEST_CASE(ASegmentWaitsUntilTheQueueIsShort)
{
    BulkPacer pacer;
    BOOST_TEST((pacer.decide(21ms, 1ms) == BulkAction::Queue));
    // The next one must not overtake it.
    BOOST_TEST((pacer.decide(0ms, 1ms) == BulkAction::Queue));
    BOOST_TEST((pacer.release(21ms, 1ms, 1ms) == BulkAction::Queue));
    BOOST_TEST((pacer.release(19ms, 1ms, 3ms) == BulkAction::Send));
    BOOST_TEST((pacer.release(20ms, 1ms, 3ms) == BulkAction::Send));
    BOOST_TEST((pacer.decide(20ms, 1ms) == BulkAction::Send));
    BOOST_TEST(pacer.counts().paced == 2U);
    BOOST_TEST(pacer.counts().dropped == 0U);
}

// Load: 1 ms of link time for each segment, and no room. The 81st would leave after more than 100 ms.
BOOST_AUTO_TEST_CASE(ASegmentThatWouldWaitTooLongIsDropped)
{
    BulkPacer pacer;
    std::size_t queued = 0;
    while (pacer.decide(21ms, 1ms) == BulkAction::Queue)
        ++queued;
    BOOST_TEST(queued == 79U);
    BOOST_TEST(pacer.counts().dropped == 1U);
    BOOST_TEST((pacer.release(21ms, 1ms, 101ms) == BulkAction::Drop));
    BOOST_TEST(pacer.counts().dropped == 2U);
    BOOST_TEST((pacer.decide(21ms, 1ms) == BulkAction::Queue));
}

BOOST_AUTO_TEST_CASE(TheTightestObjectiveLimitsTheQueue)
{
    BulkPacer pacer;
    pacer.setTightestObjective(100ms);
    BOOST_TEST((pacer.decide(11ms, 1ms) == BulkAction::Queue));
    BulkPacer loose;
    loose.setTightestObjective(5000ms);
    BOOST_TEST((loose.decide(21ms, 1ms) == BulkAction::Queue));
    BulkPacer none;
    none.setTightestObjective(0ms);
    BOOST_TEST((none.decide(20ms, 1ms) == BulkAction::Send));
}

// Load: a burst of 60 ms for a link of 10 Mbit/s.
BOOST_AUTO_TEST_CASE(TheSenderKeepsTheOrderAndTheRate)
{
    LinkBudget link(10);
    BulkPacer pacer;
    std::vector<std::string> sent;
    PacedSender::Rules rules;
    rules.decide = [&](std::size_t bytes, TimePoint now) {
        BulkAction const action = pacer.decide(link.modelledQueue(now), link.timeOnLink(bytes));
        if (action == BulkAction::Send)
            link.recordSent(bytes, now);
        return action;
    };
    rules.release = [&](std::size_t bytes, Duration waited, TimePoint now) {
        BulkAction const action = pacer.release(link.modelledQueue(now), link.timeOnLink(bytes), waited);
        if (action == BulkAction::Send)
            link.recordSent(bytes, now);
        return action;
    };
    rules.send = [&](Endpoint /*to*/, std::span<std::byte const> datagram) { sent.emplace_back(1, static_cast<char>(datagram[0])); };
    asio::io_context loop;
    PacedSender sender(loop, rules);
    std::vector<std::byte> const payload(1200);
    std::size_t atOnce = 0;
    for (int segment = 0; segment < 60; ++segment) {
        std::byte const number { static_cast<std::uint8_t>(segment) };
        std::array<std::byte, 1> const header { number };
        PacketVerdict const verdict = sender.pace({ { 1, 2 }, header, payload, true, 7U }, start);
        atOnce += verdict.to.isSet() ? 1 : 0;
    }
    BOOST_TEST(atOnce == 21U);
    BOOST_TEST(sender.size() == 39U);
    BOOST_TEST(sender.holds(7));
    BOOST_TEST(!sender.holds(8));
    for (std::chrono::milliseconds passed { 2 }; passed <= 60ms; passed += 2ms) {
        sender.drain(start + passed);
        BOOST_TEST((link.modelledQueue(start + passed) <= 22ms));
    }
    BOOST_TEST(sender.size() == 0U);
    BOOST_REQUIRE(sent.size() == 39U);
    for (std::size_t index = 0; index < sent.size(); ++index)
        BOOST_TEST(static_cast<std::size_t>(sent[index][0]) == index + 21);
    BOOST_TEST(pacer.counts().dropped == 0U);
}

// The timer must send what waits without another datagram.
BOOST_AUTO_TEST_CASE(TheTimerDrainsTheQueue)
{
    std::size_t sent = 0;
    int releases = 0;
    PacedSender::Rules rules;
    rules.decide = [](std::size_t, TimePoint) { return BulkAction::Queue; };
    rules.release = [&releases](std::size_t, Duration, TimePoint) { return ++releases % 2 == 0 ? BulkAction::Send : BulkAction::Queue; };
    rules.send = [&sent](Endpoint, std::span<std::byte const>) { ++sent; };
    asio::io_context loop;
    PacedSender sender(loop, rules);
    std::vector<std::byte> const payload(600);
    for (int segment = 0; segment < 3; ++segment)
        BOOST_TEST(!sender.pace({ { 1, 2 }, {}, payload, true, 1 }, start).to.isSet());
    loop.run();
    BOOST_TEST(sent == 3U);
    BOOST_TEST(sender.size() == 0U);
    (void)sender.pace({ { 1, 2 }, {}, payload, true, 1 }, start);
    sender.flush();
    BOOST_TEST(sent == 4U);
}
