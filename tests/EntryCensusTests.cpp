// Guards against long watches of the configuration: records of entries that ended count as entries for as long as the store
// keeps them.
#include "plantaindrift/membership/EntryCensus.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

TimePoint const now { 10000s };

Member entry(std::string const& name, MemberState state = MemberState::Active, std::uint64_t incarnation = 5)
{
    Member member;
    member.role = MemberRole::Entry;
    member.name = name;
    member.state = state;
    member.incarnation = incarnation;
    return member;
}

} // namespace

BOOST_AUTO_TEST_CASE(EntriesThatEndedDoNotCount)
{
    MemberTable table;
    (void)table.merge(entry("running"), now);
    (void)table.merge(entry("suspect", MemberState::Suspect), now);
    (void)table.merge(entry("dead", MemberState::Dead), now);
    (void)table.merge(entry("left", MemberState::Left), now);
    Member agent = entry("agent");
    agent.role = MemberRole::Agent;
    (void)table.merge(agent, now);
    EntryCensus const census = takeEntryCensus(table, now, 300s);
    BOOST_TEST(census.running == 2U);
    BOOST_TEST(census.gone.empty());
}

BOOST_AUTO_TEST_CASE(EntriesAreGoneAfterALongTime)
{
    MemberTable table;
    (void)table.merge(entry("dead", MemberState::Dead), now - 299s);
    (void)table.merge(entry("left", MemberState::Left), now - 300s);
    EntryCensus const census = takeEntryCensus(table, now, 300s);
    BOOST_REQUIRE(census.gone.size() == 1U);
    BOOST_TEST(census.gone.front().name == "left");
    BOOST_TEST(census.isGone(entry("left")));
    BOOST_TEST(!census.isGone(entry("dead")));
    // A new process with the name of a former one.
    BOOST_TEST(!census.isGone(entry("left", MemberState::Active, 6)));
    // Flows may be open at the target of an agent that is taken for dead, so that its record stays.
    Member agent = entry("left");
    agent.role = MemberRole::Agent;
    BOOST_TEST(!census.isGone(agent));
}
