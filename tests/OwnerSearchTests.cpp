// Guards against resets of open flows whose owner was only late, and against callers that wait for targets that are gone.
#include "relay/OwnerSearch.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

TimePoint const now { 1000s };
std::vector<std::byte> const segment(31);

// Targets of one service, by the time since their agents were heard.
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
        group = &directory.declare("desk");
        for (std::size_t index = 0; index < count; ++index)
            directory.noteLoad(agent(index), {}, now - 100ms);
    }

    static Endpoint agent(std::size_t index) { return { 0x0A020001U + static_cast<std::uint32_t>(index), 8172 }; }

    // All agents but the first one have said that they do not have the flow.
    [[nodiscard]] bool isLostWithoutTheFirst() const
    {
        OwnerSearch search;
        search.begin(segment, now);
        for (std::size_t index = 1; index < group->targets.size(); ++index)
            search.markAbsent(*group, agent(index));
        return search.isAbsentEverywhere(*group, directory.goneTime(), now);
    }
};

} // namespace

// Load of 58 targets comes every 1.6 s; one datagram was lost, and the owner of an open flow was taken as gone after 2.5 s.
BOOST_AUTO_TEST_CASE(AnOwnerWhoseLoadWasLostOnceIsNotGone)
{
    Service service(58);
    service.group->targets[0].heard = now - 3200ms;
    BOOST_TEST(!service.isLostWithoutTheFirst());
    service.group->targets[0].heard = now - 8s;
    BOOST_TEST(service.isLostWithoutTheFirst());
}

BOOST_AUTO_TEST_CASE(ATargetThatNeverAnsweredIsGoneSoon)
{
    Service service(58);
    service.group->targets[0].isHeard = false;
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
    search.markAbsent(*service.group, Service::agent(1));
    search.markAbsent(*service.group, Service::agent(3));
    BOOST_TEST((search.missing(*service.group) == std::vector<Endpoint> { Service::agent(0), Service::agent(2) }));
    search.forgetAnswers();
    BOOST_TEST(search.missing(*service.group).size() == 4U);
}

BOOST_AUTO_TEST_CASE(ASegmentThatIsTooLongIsNotKept)
{
    OwnerSearch search;
    search.begin(std::vector<std::byte>(OwnerSearch::keptSegmentBytes), now);
    BOOST_TEST(search.keptSegment().size() == OwnerSearch::keptSegmentBytes);
    search.begin(std::vector<std::byte>(OwnerSearch::keptSegmentBytes + 1), now);
    BOOST_TEST(search.keptSegment().empty());
}
