// Guards against resets of open flows whose owner's reply was only late, and against callers that wait for targets
// that are gone.
#include "relay/OwnerSearch.h"

#include <boost/test/unit_test.hpp>

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
        search.begin(segment, now);
        for (std::size_t index = 1; index < group->targets.size(); ++index)
            search.markNotFound(*group, agent(index));
        return search.isNotFoundEverywhere(*group, directory.goneTimeout(), now);
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

BOOST_AUTO_TEST_CASE(ATargetThatNeverAnsweredIsGoneSoon)
{
    Service service(58);
    service.group->targets[0].hasReported = false;
    service.group->targets[0].added = now - 2s;
    BOOST_TEST(!service.isLostWithoutTheFirst());
    service.group->targets[0].added = now - 2600ms;
    BOOST_TEST(service.isLostWithoutTheFirst());
}

BOOST_AUTO_TEST_CASE(ATargetThatIsTakenForDeadMayLive)
{
    Service service(4);
    service.group->targets[0].dead = true;
    service.group->targets[0].deadSince = now - 3s;
    BOOST_TEST(!service.isLostWithoutTheFirst());
    service.group->targets[0].deadSince = now - 11s;
    BOOST_TEST(service.isLostWithoutTheFirst());
}

BOOST_AUTO_TEST_CASE(AgentsThatHaveNotAnsweredAreMissing)
{
    Service service(4);
    OwnerSearch search;
    search.begin(segment, now);
    search.markNotFound(*service.group, Service::agent(1));
    search.markNotFound(*service.group, Service::agent(3));
    BOOST_TEST((search.missing(*service.group) == std::vector<Endpoint> { Service::agent(0), Service::agent(2) }));
    search.clearReplies();
    BOOST_TEST(search.missing(*service.group).size() == 4U);
}

BOOST_AUTO_TEST_CASE(ASegmentThatIsTooLongIsNotKept)
{
    OwnerSearch search;
    search.begin(std::vector<std::byte>(OwnerSearch::maximumKeptSegmentBytes), now);
    BOOST_TEST(search.keptSegment().size() == OwnerSearch::maximumKeptSegmentBytes);
    search.begin(std::vector<std::byte>(OwnerSearch::maximumKeptSegmentBytes + 1), now);
    BOOST_TEST(search.keptSegment().empty());
}
