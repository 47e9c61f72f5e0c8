#include "relay/TargetDirectory.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

constexpr Endpoint reusedAddress { 0x0A020001U, 8173 };
constexpr TimePoint now { 1000s };

ServiceView viewOf(std::string_view service, std::string_view target, bool dead)
{
    ServiceView view;
    view.service = service;
    ViewTarget entry;
    entry.name = target;
    entry.data = reusedAddress;
    entry.dead = dead;
    view.targets.push_back(entry);
    return view;
}

ServiceView emptyView(std::string_view service)
{
    ServiceView view;
    view.service = service;
    return view;
}

} // namespace

// Guards against a target that gets no load reports and owns no flows for its entry: its address was used by a target of another
// service before, whose removal from the other view took the address away.
BOOST_AUTO_TEST_CASE(TheRemovalOfATargetLeavesAnAddressToItsNewService)
{
    TargetDirectory directory("north", 1);
    directory.setView(viewOf("desk", "target-1", false), now);
    directory.setView(viewOf("store", "target-2", false), now);
    directory.setView(emptyView("desk"), now);
    TargetGroup const* const group = directory.findServiceOf(reusedAddress);
    BOOST_TEST_REQUIRE(group != nullptr);
    BOOST_TEST((group->hash == hashService("store")));
}

BOOST_AUTO_TEST_CASE(ADeadTargetDoesNotTakeBackItsAddress)
{
    TargetDirectory directory("north", 1);
    directory.setView(viewOf("desk", "target-1", false), now);
    directory.setView(viewOf("store", "target-2", false), now);
    directory.setView(viewOf("desk", "target-1", true), now);
    TargetGroup const* const group = directory.findServiceOf(reusedAddress);
    BOOST_TEST_REQUIRE(group != nullptr);
    BOOST_TEST((group->hash == hashService("store")));
}

BOOST_AUTO_TEST_CASE(TheAddressOfARemovedTargetIsUnknown)
{
    TargetDirectory directory("north", 1);
    directory.setView(viewOf("desk", "target-1", false), now);
    directory.setView(emptyView("desk"), now);
    BOOST_TEST((directory.findServiceOf(reusedAddress) == nullptr));
}
