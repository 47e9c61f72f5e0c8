// Guards against members without monitors, nodes that disagree about the monitors, choices that depend on the
// order of events, and data centres without watchers.

#include "plantaindrift/membership/MonitorSelection.h"
#include "plantaindrift/membership/WatcherSelection.h"

#include "membership/RandomSource.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace plantaindrift;

namespace {

std::string entryName(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

} // namespace

// The kept choice must equal a choice made from scratch after any sequence of joins and deaths.
BOOST_AUTO_TEST_CASE(CorrectionsEqualAFreshChoice)
{
    RandomSource random(3);
    MonitorSelection kept("entry-0");
    for (int member = 0; member < 50; ++member)
        kept.addMember("agent-" + std::to_string(member));
    std::set<std::size_t> live;
    for (int step = 0; step < 300; ++step) {
        std::size_t const index = random.below(20);
        if (live.erase(index) > 0) {
            kept.removeEntry(entryName(index));
        } else {
            live.insert(index);
            kept.addEntry(entryName(index));
        }
        MonitorSelection fresh("entry-0");
        for (std::size_t const entry : live)
            fresh.addEntry(entryName(entry));
        for (int member = 0; member < 50; ++member) {
            std::string const name = "agent-" + std::to_string(member);
            BOOST_REQUIRE(kept.monitorsOf(name) == fresh.monitorsOf(name));
        }
    }
}

BOOST_AUTO_TEST_CASE(GainsAndLossesFollowTheChoice)
{
    RandomSource random(4);
    MonitorSelection selection("entry-0");
    std::set<std::string> monitored;
    std::set<std::size_t> live;
    for (int member = 0; member < 30; ++member)
        selection.addMember("agent-" + std::to_string(member));
    for (int step = 0; step < 200; ++step) {
        std::size_t const index = random.below(8);
        if (live.erase(index) > 0) {
            selection.removeEntry(entryName(index));
        } else {
            live.insert(index);
            selection.addEntry(entryName(index));
        }
        if (step % 3 != 0)
            continue;
        MonitorSelection::Changes const changes = selection.takeChanges();
        for (std::string const& name : changes.gained)
            BOOST_REQUIRE(monitored.insert(name).second);
        for (std::string const& name : changes.lost)
            BOOST_REQUIRE(monitored.erase(name) == 1U);
        for (int member = 0; member < 30; ++member) {
            std::string const name = "agent-" + std::to_string(member);
            std::vector<std::string> const monitors = selection.monitorsOf(name);
            bool const mine = std::find(monitors.begin(), monitors.end(), "entry-0") != monitors.end();
            BOOST_REQUIRE(mine == monitored.contains(name));
        }
    }
}

BOOST_AUTO_TEST_CASE(MonitorsAreSharedEvenly)
{
    MonitorSelection selection("entry-0");
    for (std::size_t index = 0; index < 10; ++index)
        selection.addEntry(entryName(index));
    std::map<std::string, int> load;
    constexpr int members = 1000;
    for (int member = 0; member < members; ++member) {
        std::vector<std::string> const monitors = selection.monitorsOf("agent-" + std::to_string(member));
        BOOST_REQUIRE(monitors.size() == MonitorSelection::monitorCount);
        for (std::string const& name : monitors)
            ++load[name];
    }
    for (auto const& [name, count] : load) {
        BOOST_TEST(count > 240, name);
        BOOST_TEST(count < 360, name);
    }
}

BOOST_AUTO_TEST_CASE(AnEntryDoesNotMonitorItself)
{
    MonitorSelection selection("entry-0");
    for (std::size_t index = 0; index < 3; ++index)
        selection.addEntry(entryName(index));
    std::vector<std::string> const monitors = selection.monitorsOf("entry-1");
    BOOST_TEST(monitors.size() == 2U);
    BOOST_TEST((std::find(monitors.begin(), monitors.end(), "entry-1") == monitors.end()));
}

BOOST_AUTO_TEST_CASE(EachPlaceHasTwoWatchersWhileItHasEntries)
{
    TimePoint const now { std::chrono::hours { 1 } };
    MemberTable table;
    std::set<std::string> left;
    for (std::size_t index = 0; index < 12; ++index) {
        Member member;
        member.role = MemberRole::Entry;
        member.name = entryName(index);
        member.dataCentre = index % 2 == 0 ? "kegalle" : "ratnapura";
        member.incarnation = 1;
        table.merge(member, now);
        left.insert(member.name);
    }
    while (!left.empty()) {
        for (std::string const dataCentre : { "kegalle", "ratnapura" }) {
            std::vector<std::string> const watchers = watchersOf(dataCentre, table);
            std::size_t const live = static_cast<std::size_t>(std::count_if(left.begin(), left.end(), [&table, &dataCentre](std::string const& name) { return table.find(name)->member.dataCentre == dataCentre; }));
            BOOST_TEST(watchers.size() == std::min(live, watchersPerDataCentre));
            for (std::string const& name : watchers)
                BOOST_TEST(left.contains(name));
        }
        std::vector<std::string> const watchers = watchersOf(table.find(*left.begin())->member.dataCentre, table);
        Member dead = table.find(watchers.front())->member;
        dead.state = MemberState::Dead;
        table.merge(dead, now);
        left.erase(dead.name);
    }
}
