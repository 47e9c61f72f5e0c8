// Guards against announcements of dead, replaced or foreign targets that change what an agent does.
#include "plantaindrift/relay/TargetAnnouncements.h"

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
    given.startedMilliseconds = started;
    given.sequence = sequence;
    given.slots = 7;
    return given;
}

TargetAnnouncements announcements()
{
    return { "desk", address, interval, start };
}

} // namespace

// After a restart of the agent alone the target lives and goes on; waiting for its announcement would cost up to 1.2 s.
BOOST_AUTO_TEST_CASE(ATargetIsAssumedToLiveAfterAStart)
{
    TargetAnnouncements const kept = announcements();
    BOOST_TEST(kept.state(start).accepting);
    BOOST_TEST(!kept.state(start).announced);
    BOOST_TEST(!kept.state(start + 3100ms).accepting);
}

BOOST_AUTO_TEST_CASE(ASilentTargetTakesNoNewFlows)
{
    TargetAnnouncements kept = announcements();
    BOOST_TEST((kept.take(announcement(100, 1), start + 1s) == AnnouncementOutcome::Taken));
    BOOST_TEST(kept.state(start + 3900ms).accepting);
    BOOST_TEST(!kept.state(start + 4100ms).accepting);
}

// Announcements that a partition held back arrive after later ones.
BOOST_AUTO_TEST_CASE(LateAnnouncementsChangeNothing)
{
    TargetAnnouncements kept = announcements();
    (void)kept.take(announcement(100, 5), start);
    TargetAnnouncement draining = announcement(100, 6);
    draining.draining = true;
    (void)kept.take(draining, start);
    BOOST_TEST((kept.take(announcement(100, 5), start) == AnnouncementOutcome::Outdated));
    BOOST_TEST(!kept.state(start).accepting);
    BOOST_TEST((kept.take(announcement(200, 1), start) == AnnouncementOutcome::NewTarget));
    BOOST_TEST((kept.take(announcement(100, 9), start) == AnnouncementOutcome::Outdated));
    BOOST_TEST(kept.state(start).accepting);
}

// A target may start again under its id, with its counts anew.
BOOST_AUTO_TEST_CASE(ANewProcessUnderTheSameIdIsNew)
{
    TargetAnnouncements kept = announcements();
    (void)kept.take(announcement(100, 50), start);
    BOOST_TEST((kept.take(announcement(300, 1), start) == AnnouncementOutcome::NewTarget));
}

BOOST_AUTO_TEST_CASE(OtherServicesAndAddressesAreNotTaken)
{
    TargetAnnouncements kept = announcements();
    TargetAnnouncement other = announcement(100, 1);
    other.service = "store";
    BOOST_TEST((kept.take(other, start) == AnnouncementOutcome::WrongService));
    other = announcement(100, 1);
    other.address.port = 1;
    BOOST_TEST((kept.take(other, start) == AnnouncementOutcome::WrongAddress));
    BOOST_TEST(!kept.newest().has_value());
}

BOOST_AUTO_TEST_CASE(ATargetThatLeavesIsGone)
{
    TargetAnnouncements kept = announcements();
    (void)kept.take(announcement(100, 1), start);
    TargetAnnouncement end;
    end.id = "i-1";
    end.leaving = true;
    (void)kept.take(end, start);
    BOOST_TEST(!kept.state(start).accepting);
    BOOST_TEST(kept.state(start).gone);
}

// Callers waited for agents whose targets had not come back after a loss of power.
BOOST_AUTO_TEST_CASE(ATargetThatDoesNotAnnounceItselfIsGone)
{
    TargetAnnouncements kept = announcements();
    BOOST_TEST(!kept.state(start + 2 * interval).gone);
    BOOST_TEST(kept.state(start + 3 * interval).gone);
    (void)kept.take(announcement(100, 1), start + 4 * interval);
    BOOST_TEST(!kept.state(start + 6 * interval).gone);
    BOOST_TEST(kept.state(start + 7 * interval).gone);
}

BOOST_AUTO_TEST_CASE(AColdStartEnds)
{
    TargetAnnouncements kept = announcements();
    TargetAnnouncement cold = announcement(100, 1);
    cold.coldFor = 1500ms;
    (void)kept.take(cold, start);
    BOOST_TEST((kept.state(start + 500ms).coldFor == 1000ms));
    BOOST_TEST((kept.state(start + 1600ms).coldFor == 0ms));
}

// An agent that took a restarted target for a complete one denied flows that the target still held.
BOOST_AUTO_TEST_CASE(ATargetIsSeenFromItsStartOnlyByItsFirstAnnouncement)
{
    TargetAnnouncements kept = announcements();
    BOOST_TEST(!kept.state(start).seenFromStart);
    (void)kept.take(announcement(100, 4), start);
    BOOST_TEST(!kept.state(start).seenFromStart);
    (void)kept.take(announcement(200, 1), start);
    BOOST_TEST(kept.state(start).seenFromStart);
    (void)kept.take(announcement(200, 2), start);
    BOOST_TEST(kept.state(start).seenFromStart);
    (void)kept.take(announcement(300, 2), start);
    BOOST_TEST(!kept.state(start).seenFromStart);
}
