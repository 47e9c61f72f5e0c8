// Guards against announcements of stopped, replaced or foreign targets that change the agent's state.
#include "plantaindrift/relay/TargetAnnouncementTracker.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

TimePoint const start { 1000s };
constexpr std::chrono::milliseconds interval { 1200 };
Endpoint const address { 0x0A02000CU, 8165 };

TargetAnnouncement announcement(std::int64_t started, std::uint64_t sequence)
{
    TargetAnnouncement given;
    given.id = "i-1";
    given.service = "desk";
    given.address = address;
    given.startTimeMs = started;
    given.sequence = sequence;
    given.slots = 7;
    return given;
}

TargetAnnouncementTracker announcements()
{
    return { "desk", address, interval, start };
}

} // namespace

// If only the agent restarts, the target keeps running; waiting for its announcement would cost up to 1.2 s.
BOOST_AUTO_TEST_CASE(ATargetIsAssumedToLiveAfterAStart)
{
    TargetAnnouncementTracker const kept = announcements();
    BOOST_TEST(kept.targetState(start).isAccepting);
    BOOST_TEST(!kept.targetState(start).isAnnounced);
    BOOST_TEST(!kept.targetState(start + 3100ms).isAccepting);
}

BOOST_AUTO_TEST_CASE(ASilentTargetTakesNoNewFlows)
{
    TargetAnnouncementTracker kept = announcements();
    BOOST_TEST((kept.processAnnouncement(announcement(100, 1), start + 1s) == AnnouncementOutcome::Accepted));
    BOOST_TEST(kept.targetState(start + 3900ms).isAccepting);
    BOOST_TEST(!kept.targetState(start + 4100ms).isAccepting);
}

// Announcements delayed by a partition arrive after later ones.
BOOST_AUTO_TEST_CASE(LateAnnouncementsChangeNothing)
{
    TargetAnnouncementTracker kept = announcements();
    (void)kept.processAnnouncement(announcement(100, 5), start);
    TargetAnnouncement draining = announcement(100, 6);
    draining.isDraining = true;
    (void)kept.processAnnouncement(draining, start);
    BOOST_TEST((kept.processAnnouncement(announcement(100, 5), start) == AnnouncementOutcome::Outdated));
    BOOST_TEST(!kept.targetState(start).isAccepting);
    BOOST_TEST((kept.processAnnouncement(announcement(200, 1), start) == AnnouncementOutcome::AcceptedNewTarget));
    BOOST_TEST((kept.processAnnouncement(announcement(100, 9), start) == AnnouncementOutcome::Outdated));
    BOOST_TEST(kept.targetState(start).isAccepting);
}

// A target may restart with the same id, and its sequence numbers start again.
BOOST_AUTO_TEST_CASE(ANewProcessUnderTheSameIdIsNew)
{
    TargetAnnouncementTracker kept = announcements();
    (void)kept.processAnnouncement(announcement(100, 50), start);
    BOOST_TEST((kept.processAnnouncement(announcement(300, 1), start) == AnnouncementOutcome::AcceptedNewTarget));
}

BOOST_AUTO_TEST_CASE(OtherServicesAndAddressesAreNotTaken)
{
    TargetAnnouncementTracker kept = announcements();
    TargetAnnouncement other = announcement(100, 1);
    other.service = "store";
    BOOST_TEST((kept.processAnnouncement(other, start) == AnnouncementOutcome::WrongService));
    other = announcement(100, 1);
    other.address.port = 1;
    BOOST_TEST((kept.processAnnouncement(other, start) == AnnouncementOutcome::WrongAddress));
    BOOST_TEST(!kept.newest().has_value());
}

BOOST_AUTO_TEST_CASE(ATargetThatLeavesIsGone)
{
    TargetAnnouncementTracker kept = announcements();
    (void)kept.processAnnouncement(announcement(100, 1), start);
    TargetAnnouncement end;
    end.id = "i-1";
    end.isLeaving = true;
    (void)kept.processAnnouncement(end, start);
    BOOST_TEST(!kept.targetState(start).isAccepting);
    BOOST_TEST(kept.targetState(start).isGone);
}

// A machine whose target announced itself before its agent listened did not count as restarted, and a power loss was not
// recognised.
BOOST_AUTO_TEST_CASE(ATargetThatStartedShortlyBeforeItsAgentStartedWithIt)
{
    TargetAnnouncementTracker kept = announcements();
    BOOST_TEST(!kept.hasStartedWith(100'000));
    (void)kept.processAnnouncement(announcement(0, 2), start);
    BOOST_TEST(!kept.hasStartedWith(100'000));
    (void)kept.processAnnouncement(announcement(97'900, 2), start);
    BOOST_TEST(!kept.hasStartedWith(100'000));
    (void)kept.processAnnouncement(announcement(98'100, 2), start);
    BOOST_TEST(kept.hasStartedWith(100'000));
    (void)kept.processAnnouncement(announcement(110'000, 2), start);
    BOOST_TEST(kept.hasStartedWith(100'000));
}

// Callers waited for agents whose targets had not restarted after a power loss.
BOOST_AUTO_TEST_CASE(ATargetThatDoesNotAnnounceItselfIsGone)
{
    TargetAnnouncementTracker kept = announcements();
    BOOST_TEST(!kept.targetState(start + 2 * interval).isGone);
    BOOST_TEST(kept.targetState(start + 3 * interval).isGone);
    (void)kept.processAnnouncement(announcement(100, 1), start + 4 * interval);
    BOOST_TEST(!kept.targetState(start + 6 * interval).isGone);
    BOOST_TEST(kept.targetState(start + 7 * interval).isGone);
}

BOOST_AUTO_TEST_CASE(AColdStartEnds)
{
    TargetAnnouncementTracker kept = announcements();
    TargetAnnouncement cold = announcement(100, 1);
    cold.remainingWarmUp = 1500ms;
    (void)kept.processAnnouncement(cold, start);
    BOOST_TEST((kept.targetState(start + 500ms).remainingWarmUp == 1000ms));
    BOOST_TEST((kept.targetState(start + 1600ms).remainingWarmUp == 0ms));
}

// An agent that took a restarted target for one observed from its start reported flows as not found that the target
// still held.
BOOST_AUTO_TEST_CASE(ATargetIsSeenFromItsStartOnlyByItsFirstAnnouncement)
{
    TargetAnnouncementTracker kept = announcements();
    BOOST_TEST(!kept.targetState(start).isStartObserved);
    (void)kept.processAnnouncement(announcement(100, 4), start);
    BOOST_TEST(!kept.targetState(start).isStartObserved);
    (void)kept.processAnnouncement(announcement(200, 1), start);
    BOOST_TEST(kept.targetState(start).isStartObserved);
    (void)kept.processAnnouncement(announcement(200, 2), start);
    BOOST_TEST(kept.targetState(start).isStartObserved);
    (void)kept.processAnnouncement(announcement(300, 2), start);
    BOOST_TEST(!kept.targetState(start).isStartObserved);
}
