// Guards against resets of open flows whose owner's reply was only late, and against callers that wait for targets
// that are gone.
#include "relay/OwnerSearch.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

TimePoint const now { 1000s };
std::vector<std::byte> const segment(31);

// A service whose targets' agents sent a load report 100 ms ago.
struct Service {
    TargetDirectory directory { "north", 1 };
    TargetGroup* group { nullptr };

    explicit Service(std::size_t count)
    {
        ServiceView view;
        view.service = "desk";
        for (std::size_t index = 0; index < count; ++index)
            view.targets.push_back({ "target-" + std::to_string(index), "north", agent(index) });
        directory.setView(view, now - 60s);
        group = &directory.findOrAddService("desk");
        for (std::size_t index = 0; index < count; ++index)
            directory.recordLoad(agent(index), {}, now - 100ms);
    }

    static Endpoint agent(std::size_t index) { return { 0x0A020001U + static_cast<std::uint32_t>(index), 8172 }; }

    // True if the flow is lost when all agents but the first have reported that they do not hold it.
    [[nodiscard]] bool isLostWithoutTheFirst() const
    {
        OwnerSearch search;
        search.addAllowed(std::vector<TargetGroup const*> { group });
        search.begin(segment, now);
        for (std::size_t index = 1; index < group->targets.size(); ++index)
            search.services.front().markNotFound(index);
        return search.isNotFoundEverywhere(directory, now);
    }

    // Lets time pass in which some targets report every 100 ms.
    void run(TimePoint begin, TimePoint end, std::vector<std::size_t> const& reporting)
    {
        for (TimePoint time = begin; time <= end; time += 100ms) {
            for (std::size_t const index : reporting)
                directory.recordLoad(agent(index), {}, time);
            directory.tick(time);
        }
    }

    // All targets but the first report that their machines started a moment ago.
    void reportPowerLoss()
    {
        TargetLoad load;
        load.isMachineRestarted = true;
        for (std::size_t index = 1; index < group->targets.size(); ++index)
            directory.recordLoad(agent(index), load, now - 100ms);
    }
};

} // namespace

// Load reports of 58 targets arrive every 1.6 s; one datagram was lost, and the owner of an open flow was considered
// gone after 2.5 s.
BOOST_AUTO_TEST_CASE(AnOwnerWhoseLoadWasLostOnceIsNotGone)
{
    Service service(58);
    service.group->targets[0].lastReport = now - 3200ms;
    BOOST_TEST(!service.isLostWithoutTheFirst());
    service.group->targets[0].lastReport = now - 8s;
    BOOST_TEST(service.isLostWithoutTheFirst());
}

// A machine that is frozen or cut off for six seconds keeps its flows, also if the entry started during that time.
BOOST_AUTO_TEST_CASE(ASilentTargetMayLiveForSixSeconds)
{
    Service service(58);
    service.group->targets[0].hasReported = false;
    service.group->targets[0].added = now - 6200ms;
    BOOST_TEST(!service.isLostWithoutTheFirst());
    service.group->targets[0].added = now - 7200ms;
    BOOST_TEST(service.isLostWithoutTheFirst());
}

BOOST_AUTO_TEST_CASE(AReportedTargetOfASmallServiceMayLiveForSixSeconds)
{
    Service service(3);
    service.group->targets[0].lastReport = now - 6200ms;
    BOOST_TEST(!service.isLostWithoutTheFirst());
    service.group->targets[0].lastReport = now - 7200ms;
    BOOST_TEST(service.isLostWithoutTheFirst());
}

// After a power loss the machines of all targets start within 0.3 s, and a silent one has lost its flows too.
BOOST_AUTO_TEST_CASE(ATargetThatNeverAnsweredAfterAPowerLossIsGoneSoon)
{
    Service service(58);
    service.reportPowerLoss();
    service.group->targets[0].hasReported = false;
    service.group->targets[0].added = now - 500ms;
    BOOST_TEST(!service.isLostWithoutTheFirst());
    service.group->targets[0].added = now - 1100ms;
    BOOST_TEST(service.isLostWithoutTheFirst());
}

// Machines that were being removed at the power loss start once more: their agents report, their targets return all
// segments and announce nothing, and both vanish a second later. Searches waited 7 s for them.
BOOST_AUTO_TEST_CASE(ATargetThatAdmittedNothingAfterAPowerLossIsGoneSoon)
{
    Service service(58);
    TargetLoad assumed;
    assumed.isAssumed = true;
    service.directory.recordLoad(Service::agent(0), assumed, now - 1100ms);
    BOOST_TEST(!service.isLostWithoutTheFirst());
    service.reportPowerLoss();
    BOOST_TEST(service.isLostWithoutTheFirst());
    assumed.openFlows = 1;
    service.directory.recordLoad(Service::agent(0), assumed, now - 1100ms);
    BOOST_TEST(!service.isLostWithoutTheFirst());
    assumed.openFlows = 0;
    assumed.isAccepting = true;
    service.directory.recordLoad(Service::agent(0), assumed, now - 1100ms);
    BOOST_TEST(!service.isLostWithoutTheFirst());
}

BOOST_AUTO_TEST_CASE(ATargetThatAnnouncedItsEndHoldsNoFlows)
{
    Service service(4);
    BOOST_TEST(!service.isLostWithoutTheFirst());
    TargetLoad ended;
    ended.hasEnded = true;
    service.directory.recordLoad(Service::agent(0), ended, now);
    BOOST_TEST(service.isLostWithoutTheFirst());
}

// Guards against resets of open flows by an entry whose own link is overloaded: it received nothing for half a minute,
// took the owners for gone and reset their flows as soon as the first late replies of other targets arrived.
BOOST_AUTO_TEST_CASE(TargetsAreNotGoneWhileNoneReports)
{
    Service service(4);
    DirectoryTarget const& owner = service.group->targets[0];
    TimePoint const resumed = now + 30s;
    service.run(now, resumed, {});
    BOOST_TEST(service.directory.mayHoldFlows(*service.group, owner, resumed));
    service.run(resumed, resumed + 4s, { 1, 2, 3 });
    BOOST_TEST(service.directory.mayHoldFlows(*service.group, owner, resumed + 4s));
    service.run(resumed + 4s, resumed + 8s, { 1, 2, 3 });
    BOOST_TEST(!service.directory.mayHoldFlows(*service.group, owner, resumed + 8s));
}

// A part of the replies passes an overloaded link, and each target is silent for many seconds.
BOOST_AUTO_TEST_CASE(TargetsAreNotGoneWhileFewReport)
{
    Service service(4);
    DirectoryTarget const& owner = service.group->targets[0];
    service.run(now, now + 30s, { 1, 2 });
    BOOST_TEST(service.directory.mayHoldFlows(*service.group, owner, now + 30s));
}

// The verdict of the monitors follows from silence too.
BOOST_AUTO_TEST_CASE(ATargetIsNotConfirmedDeadWhileNoneReports)
{
    Service service(4);
    DirectoryTarget& owner = service.group->targets[0];
    owner.dead = true;
    owner.deadSince = now + 1s;
    service.run(now, now + 30s, {});
    BOOST_TEST(service.directory.mayHoldFlows(*service.group, owner, now + 30s));
    service.run(now + 30s, now + 42s, { 1, 2, 3 });
    BOOST_TEST(!service.directory.mayHoldFlows(*service.group, owner, now + 42s));
}

BOOST_AUTO_TEST_CASE(ATargetThatIsTakenForDeadMayLive)
{
    Service service(4);
    service.group->targets[0].dead = true;
    service.group->targets[0].lastReport = now - 6s;
    service.group->targets[0].deadSince = now - 3s;
    BOOST_TEST(!service.isLostWithoutTheFirst());
    service.group->targets[0].lastReport = now - 14s;
    service.group->targets[0].deadSince = now - 11s;
    BOOST_TEST(service.isLostWithoutTheFirst());
}

// Guards against resets of open flows whose owner reports its load all the time: the monitors, which its heartbeats did not
// reach, took it for dead, and 10 s later the entry counted it as gone.
BOOST_AUTO_TEST_CASE(ATargetThatReportsIsNotGoneByTheVerdictOfOthers)
{
    Service service(4);
    service.group->targets[0].dead = true;
    service.group->targets[0].deadSince = now - 11s;
    BOOST_TEST(!service.isLostWithoutTheFirst());
    std::vector<Endpoint> const subscribed = service.directory.collectDueSubscriptions(now);
    BOOST_TEST((std::find(subscribed.begin(), subscribed.end(), Service::agent(0)) != subscribed.end()));
    TargetLoad accepting;
    accepting.isAccepting = true;
    for (std::size_t index = 0; index < 4; ++index)
        service.directory.recordLoad(Service::agent(index), accepting, now);
    RelayRoute route;
    service.directory.chooseTargets(*service.group, {}, now, route);
    BOOST_TEST(route.candidateCount == 4U);
}

// The address of a dead target is used again by a target of another service, which the view of the entry lacks.
BOOST_AUTO_TEST_CASE(AReportOfAnotherServiceDoesNotReviveADeadTarget)
{
    Service service(4);
    service.group->targets[0].dead = true;
    service.group->targets[0].lastReport = now - 14s;
    service.group->targets[0].deadSince = now - 11s;
    service.directory.recordLoad(Service::agent(0), {}, now, hashService("mail"));
    BOOST_TEST(service.isLostWithoutTheFirst());
    service.directory.recordLoad(Service::agent(0), {}, now, hashService("desk"));
    BOOST_TEST(!service.isLostWithoutTheFirst());
}

// Replies were discarded whenever a target joined or left, so that searches did not end while many targets were
// replaced.
BOOST_AUTO_TEST_CASE(RepliesFollowAChangeOfTheTargetList)
{
    Service service(130);
    ServiceReplies replies(*service.group);
    replies.markNotFound(1);
    replies.markNotFound(129);
    BOOST_TEST(replies.markPossible(3, false));
    BOOST_TEST(!replies.markPossible(3, false));
    ServiceView view;
    view.service = "desk";
    view.targets.push_back({ "target-new", "north", { 0x0A030001U, 8172 } });
    for (std::size_t const index : { 129U, 3U, 2U })
        view.targets.push_back({ "target-" + std::to_string(index), "north", Service::agent(index) });
    replies.renumber(service.directory.setView(view, now));
    BOOST_TEST(!replies.hasReplied(0));
    BOOST_TEST(replies.hasReplied(1));
    BOOST_TEST(replies.hasReplied(2));
    BOOST_TEST(!replies.hasReplied(3));
    BOOST_TEST((replies.possibleOwners() == std::vector<Endpoint> { Service::agent(3) }));
}

// Guards against searches that never end: an agent whose target was only offered the flow replies that it may be there, and its target
// does not know it.
BOOST_AUTO_TEST_CASE(AnAgentThatContradictsItselfIsQueriedAgainOnce)
{
    Service service(2);
    ServiceReplies replies(*service.group);
    BOOST_TEST(replies.markPossible(0, true));
    replies.recordNotFoundReport(0);
    BOOST_TEST(!replies.hasReplied(0));
    BOOST_TEST(replies.markPossible(0, true));
    replies.recordNotFoundReport(0);
    BOOST_TEST(replies.hasReportedNotFound(0));
    // One that cannot tell what its target holds is taken at its word.
    BOOST_TEST(replies.markPossible(1, false));
    replies.recordNotFoundReport(1);
    BOOST_TEST(replies.hasReportedNotFound(1));
}

BOOST_AUTO_TEST_CASE(ASegmentThatIsTooLongIsNotKept)
{
    OwnerSearch search;
    search.begin(std::vector<std::byte>(OwnerSearch::maximumKeptSegmentBytes), now);
    BOOST_TEST(search.keptSegment().size() == OwnerSearch::maximumKeptSegmentBytes);
    search.begin(std::vector<std::byte>(OwnerSearch::maximumKeptSegmentBytes + 1), now);
    BOOST_TEST(search.keptSegment().empty());
}
