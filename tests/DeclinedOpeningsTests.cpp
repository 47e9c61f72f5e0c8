// Guards against refusals while a target has room that the declining agent does not know of, and against resets of flows that a
// late or repeated message about a declined opening could cause.
#include "RelayScene.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace relay_scene;

constexpr std::byte declinedKind { 11 };

bool isDeclined(Bytes const& datagram)
{
    return datagram.size() > 2 && datagram[0] == std::byte { 0xD5 } && datagram[1] == declinedKind;
}

struct Outcomes {
    std::size_t refused { 0 };
    std::size_t reset { 0 };
    std::size_t unanswered { 0 };
};

Outcomes outcomesOf(Scene const& scene)
{
    Outcomes outcomes;
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
        for (Request const& request : flow->requests) {
            outcomes.refused += request.refused ? 1 : 0;
            outcomes.reset += request.reset ? 1 : 0;
            outcomes.unanswered += request.answered ? 0 : 1;
        }
    }
    return outcomes;
}

void setAccepting(Scene& scene, std::size_t index, bool isAccepting)
{
    scene.agents[index]->state.isAccepting = isAccepting;
    scene.agents[index]->relay->setTargetState(scene.agents[index]->state, scene.now());
}

// Gives the address of all entries a latency objective.
void setObjective(Scene& scene, std::chrono::milliseconds objective)
{
    Service service;
    service.name = "desk";
    service.addresses.push_back({ serviceAddress, Protocol::Tcp });
    service.addresses.back().targetLatency = objective;
    for (std::unique_ptr<Entry> const& entry : scene.entries)
        entry->relay->setConfiguration({ { service } }, scene.now());
}

std::size_t countReason(Scene const& scene, std::string_view outcome, std::string_view reason)
{
    std::vector<RelayDecision> const& decisions = scene.decisions.decisions;
    return static_cast<std::size_t>(std::count_if(decisions.begin(), decisions.end(), [&](RelayDecision const& decision) { return decision.outcome == outcome && decision.reason == reason; }));
}

// Opens a flow whose opening one cold target declines, while a second target has room.
struct ColdPair {
    Scene scene { 1, 1 };

    ColdPair()
    {
        scene.agents[0]->relay->setColdRate(1);
        scene.agents[0]->state.remainingWarmUp = 10s;
        scene.agents[0]->relay->setTargetState(scene.agents[0]->state, scene.now());
        scene.runFor(200ms);
        scene.open(0);
        scene.runFor(850ms);
    }
};

} // namespace

// Failure: 8 of 16 targets stop accepting at the same moment; the entries have older load reports, and the agents know only
// three candidates. Agents refused the callers.
BOOST_AUTO_TEST_CASE(AnOpeningIsOfferedElsewhereBeforeItIsRefused)
{
    Scene scene(4, 16);
    for (std::size_t round = 0; round < 10; ++round) {
        for (std::size_t index = 0; index < 8; ++index)
            setAccepting(scene, index, false);
        for (std::size_t index = 0; index < 20; ++index)
            scene.open(index % 4);
        scene.runFor(50ms);
        for (std::size_t index = 0; index < 8; ++index)
            setAccepting(scene, index, true);
        scene.runFor(500ms);
    }
    scene.runFor(2s);
    Outcomes const outcomes = outcomesOf(scene);
    BOOST_TEST(outcomes.refused == 0U);
    BOOST_TEST(outcomes.reset == 0U);
    BOOST_TEST(outcomes.unanswered == 0U);
    BOOST_TEST(scene.decisions.count("returned") > 0U);
    BOOST_TEST(scene.decisions.count("offered_again") > 0U);
    BOOST_TEST(countReason(scene, "offered_again", "not_accepting") == scene.decisions.count("offered_again"));
}

// An agent that was offered an opening was named again in the last offer. It took the opening for a duplicate and dropped it, so
// that the caller waited. 20 openings a second exceed what 8 targets take that are cold.
BOOST_AUTO_TEST_CASE(NoAgentReceivesAnOpeningTwice)
{
    Scene scene(4, 8);
    for (std::unique_ptr<Agent> const& agent : scene.agents) {
        agent->relay->setColdRate(1);
        agent->state.remainingWarmUp = 10s;
        agent->relay->setTargetState(agent->state, scene.now());
    }
    scene.runFor(500ms);
    for (std::size_t index = 0; index < 60; ++index) {
        scene.open(index % 4);
        scene.runFor(50ms);
    }
    std::map<std::pair<std::uint64_t, std::uint32_t>, std::size_t> received;
    for (RelayDecision const& decision : scene.decisions.decisions) {
        if (decision.outcome == "passed_first" || decision.outcome == "offered_again" || decision.outcome == "first_forwarded")
            ++received[{ hashRelayFlow(decision.flow), decision.destination.address }];
    }
    BOOST_TEST(scene.decisions.count("refused") > 0U);
    BOOST_TEST(std::all_of(received.begin(), received.end(), [](auto const& count) { return count.second == 1; }));
    BOOST_TEST(outcomesOf(scene).unanswered == outcomesOf(scene).refused);
}

// Failure: all targets restart at the same moment. Callers that are refused at once fail with all of their attempts before a target
// has started; the retransmission of a dropped opening reaches one that has.
BOOST_AUTO_TEST_CASE(OpeningsAreNotRefusedWhileTheTargetsStart)
{
    Scene scene(2, 6);
    for (std::unique_ptr<Agent> const& agent : scene.agents) {
        agent->state.isAnnounced = false;
        agent->state.isAccepting = false;
        agent->relay->setTargetState(agent->state, scene.now());
    }
    for (std::size_t index = 0; index < 10; ++index)
        scene.open(index % 2);
    scene.runFor(20ms);
    BOOST_TEST(scene.decisions.count("returned") > 0U);
    BOOST_TEST(outcomesOf(scene).refused == 0U);
    for (std::unique_ptr<Agent> const& agent : scene.agents) {
        agent->state.isAnnounced = true;
        agent->state.isAccepting = true;
        agent->relay->setTargetState(agent->state, scene.now());
    }
    scene.runFor(1s);
    BOOST_TEST(outcomesOf(scene).refused == 0U);
    BOOST_TEST(outcomesOf(scene).unanswered == 0U);
}

// Load: 3 times what the targets serve. What none can serve in time is refused at once, with the reason.
BOOST_AUTO_TEST_CASE(WhatNoTargetServesInTimeIsRefusedAtOnce)
{
    Scene scene(4, 4);
    setObjective(scene, 100ms);
    (void)runTraffic(scene, 1800, 1s, 100ms, anyEntry);
    std::size_t refused = 0;
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
        refused += flow->requests.front().refused ? 1 : 0;
        BOOST_TEST(!flow->requests.front().reset);
    }
    BOOST_TEST(refused > 0U);
    BOOST_TEST(countReason(scene, "refused_no_room", "over_limit") > 0U);
    // A last offer is not returned again.
    BOOST_TEST(scene.decisions.count("returned") == scene.decisions.count("offered_again") + scene.decisions.count("refused_no_room") + scene.decisions.count("dropped_returned"));
}

// Failure: half of the returned openings are lost. The callers retransmit, and nobody is refused or reset.
BOOST_AUTO_TEST_CASE(LostReturnsAreRepairedByRetransmissions)
{
    Scene scene(4, 16);
    std::size_t returned = 0;
    scene.linkRule = [&returned](Bytes const& datagram) { return isDeclined(datagram) && returned++ % 2 == 0 ? std::optional<Duration>() : std::optional<Duration>(linkDelay); };
    for (std::size_t round = 0; round < 10; ++round) {
        for (std::size_t index = 0; index < 8; ++index)
            setAccepting(scene, index, false);
        for (std::size_t index = 0; index < 20; ++index)
            scene.open(index % 4);
        scene.runFor(50ms);
        for (std::size_t index = 0; index < 8; ++index)
            setAccepting(scene, index, true);
        scene.runFor(1s);
    }
    BOOST_TEST(returned > 0U);
    Outcomes const outcomes = outcomesOf(scene);
    BOOST_TEST(outcomes.refused == 0U);
    BOOST_TEST(outcomes.reset == 0U);
    BOOST_TEST(outcomes.unanswered == 0U);
}

// Failure: a returned opening is delayed until the caller's retransmission has opened the flow; a refusal would reset it.
BOOST_AUTO_TEST_CASE(ALateReturnDoesNotResetAnOpenFlow)
{
    ColdPair pair;
    Bytes late;
    pair.scene.linkRule = [&late](Bytes const& datagram) {
        if (isDeclined(datagram))
            late = datagram;
        return std::optional<Duration>(isDeclined(datagram) ? Duration(260ms) : Duration(linkDelay));
    };
    CallerFlow const& flow = pair.scene.open(0);
    pair.scene.runFor(255ms);
    BOOST_REQUIRE(!late.empty());
    BOOST_TEST(flow.open);
    pair.scene.runFor(500ms);
    BOOST_TEST(pair.scene.decisions.count("dropped_returned") == 1U);
    BOOST_TEST((flow.requests.front().answered && !flow.requests.front().reset && !flow.requests.front().refused));
}

// Failure: the network delivers a returned opening twice. The first one leads to a refusal or a second offer, and the second one
// must have no effect.
BOOST_AUTO_TEST_CASE(ARepeatedReturnHasNoEffect)
{
    Scene scene(1, 16);
    Bytes returned;
    scene.linkRule = [&returned](Bytes const& datagram) {
        if (isDeclined(datagram))
            returned = datagram;
        return std::optional<Duration>(linkDelay);
    };
    for (std::size_t round = 0; round < 10 && returned.empty(); ++round) {
        for (std::size_t index = 0; index < 8; ++index)
            setAccepting(scene, index, false);
        for (std::size_t index = 0; index < 20; ++index)
            scene.open(0);
        scene.runFor(50ms);
        for (std::size_t index = 0; index < 8; ++index)
            setAccepting(scene, index, true);
        scene.runFor(100ms);
    }
    BOOST_REQUIRE(!returned.empty());
    std::size_t const offered = scene.decisions.count("offered_again");
    BOOST_TEST(scene.entries[0]->relay->processAgentMessage(scene.agents[0]->data, returned, scene.now(), wallClockSeconds));
    scene.runFor(500ms);
    BOOST_TEST(scene.decisions.count("offered_again") == offered);
    BOOST_TEST(scene.decisions.count("dropped_returned") == 1U);
    BOOST_TEST(outcomesOf(scene).reset == 0U);
    BOOST_TEST(outcomesOf(scene).refused == 0U);
}

// Failure: the agent stands still while the caller retransmits, and declines the original afterwards.
BOOST_AUTO_TEST_CASE(AnOriginalThatWaitedInAStalledAgentIsNotRefused)
{
    ColdPair pair;
    CallerFlow const& first = pair.scene.open(0);
    pair.scene.runFor(600us);
    pair.scene.pause(pair.scene.agents[0]->pause);
    CallerFlow const& flow = pair.scene.open(0);
    pair.scene.runFor(190ms);
    pair.scene.resume(pair.scene.agents[0]->pause);
    pair.scene.runFor(5ms);
    BOOST_TEST(!flow.requests.front().refused);
    pair.scene.runFor(2s);
    BOOST_TEST(!flow.requests.front().reset);
    BOOST_TEST(!first.requests.front().reset);
}
