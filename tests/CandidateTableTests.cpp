// Guards against candidate orders that differ between entries, shares that do not follow weights, and first packets that
// are sent to dead targets.

#include "PacketFixtures.h"
#include "entry/CandidateTable.h"
#include "plantaindrift/plantaindrift.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace plantaindrift;
using namespace fixtures;

namespace {

constexpr std::size_t buckets = CandidateTable::defaultBuckets;

CandidateTable makeTable(ServiceView const& view)
{
    CandidateTable table;
    table.rebuild(view.targets);
    return table;
}

std::vector<Endpoint> list(CandidateTable const& table, std::size_t bucket, DeadTargets dead = DeadTargets::Excluded)
{
    RouteOption route;
    table.list(FlowHash { bucket }, dead, route);
    std::span<Endpoint const> const candidates = route.candidateSpan();
    return { candidates.begin(), candidates.end() };
}

std::vector<Endpoint> without(std::vector<Endpoint> candidates, Endpoint removed)
{
    std::erase(candidates, removed);
    return candidates;
}

std::uint64_t keyOf(Endpoint endpoint)
{
    return (static_cast<std::uint64_t>(endpoint.address) << 16U) | endpoint.port;
}

ViewTarget& targetNamed(ServiceView& view, std::string const& name)
{
    return *std::ranges::find(view.targets, name, &ViewTarget::name);
}

} // namespace

BOOST_AUTO_TEST_CASE(EmptyViewHasNoCandidates)
{
    CandidateTable const table = makeTable(makeView(0));
    BOOST_TEST(list(table, 0, DeadTargets::AtTail).empty());
    BOOST_TEST(list(CandidateTable {}, 0).empty());
}

BOOST_AUTO_TEST_CASE(ListsAllTargetsOfSmallServicesOnce)
{
    for (std::size_t targets = 1; targets <= 12; ++targets) {
        CandidateTable const table = makeTable(makeView(targets));
        for (std::size_t bucket = 0; bucket < buckets; bucket += 97) {
            std::vector<Endpoint> candidates = list(table, bucket);
            BOOST_TEST(candidates.size() == std::min(targets, maximumCandidates));
            std::ranges::sort(candidates, {}, keyOf);
            BOOST_TEST((std::ranges::adjacent_find(candidates) == candidates.end()));
        }
    }
}

// Entries that learn of a new target at different times must agree on all others.
BOOST_AUTO_TEST_CASE(CommonTargetsKeepTheirOrderBetweenViews)
{
    ServiceView const larger = makeView(7);
    ServiceView smaller = larger;
    Endpoint const removed = smaller.targets[3].data;
    smaller.targets.erase(smaller.targets.begin() + 3);
    CandidateTable const largerTable = makeTable(larger);
    CandidateTable const smallerTable = makeTable(smaller);
    for (std::size_t bucket = 0; bucket < buckets; ++bucket)
        BOOST_TEST_REQUIRE((without(list(largerTable, bucket), removed) == list(smallerTable, bucket)), "bucket " << bucket);
}

BOOST_AUTO_TEST_CASE(OrderOfTheFirstRanksIsEqualInLargeViews)
{
    ServiceView const larger = makeView(60);
    ServiceView smaller = larger;
    Endpoint const removed = smaller.targets[30].data;
    smaller.targets.erase(smaller.targets.begin() + 30);
    CandidateTable const largerTable = makeTable(larger);
    CandidateTable const smallerTable = makeTable(smaller);
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        std::vector<Endpoint> const expected = without(list(largerTable, bucket), removed);
        std::vector<Endpoint> actual = list(smallerTable, bucket);
        actual.resize(expected.size());
        BOOST_TEST_REQUIRE((actual == expected), "bucket " << bucket);
    }
}

// Indexes above 255 do not fit one byte; a cut index would name another target.
BOOST_AUTO_TEST_CASE(LargeViewsKeepWideIndexes)
{
    ServiceView const view = makeView(700);
    CandidateTable const table = makeTable(view);
    for (std::size_t bucket = 0; bucket < buckets; bucket += 331) {
        auto const scoreOf = [bucket](ViewTarget const& target) { return rendezvousScore(hashText(target.name), bucket, target.weight); };
        Endpoint const expected = std::ranges::max_element(view.targets, {}, scoreOf)->data;
        BOOST_TEST_REQUIRE((list(table, bucket).front() == expected), "bucket " << bucket);
    }
}

// Targets without weight all score 0; two views must still list them in the same order, which is that of their names.
BOOST_AUTO_TEST_CASE(EqualScoresRankByName)
{
    ServiceView view = makeView(5);
    std::vector<Endpoint> expected;
    for (ViewTarget& target : view.targets) {
        target.weight = 0;
        expected.push_back(target.data);
    }
    BOOST_TEST((list(makeTable(view), 9) == expected));
    view.targets.front().weight = 100;
    BOOST_TEST((list(makeTable(view), 9) == expected));
}

// The order is that of the rendezvous scores of base/Hash.h, which the agents also compute.
BOOST_AUTO_TEST_CASE(OrderFollowsTheScores)
{
    ServiceView view = makeView(20);
    for (std::size_t index = 0; index < view.targets.size(); ++index)
        view.targets[index].weight = static_cast<std::uint16_t>(index % 3 == 0 ? 100 : 50 * (index % 5 + 1));
    CandidateTable const table = makeTable(view);
    for (std::size_t bucket = 0; bucket < buckets; bucket += 13) {
        std::vector<std::pair<double, Endpoint>> scored;
        for (ViewTarget const& target : view.targets)
            scored.emplace_back(-rendezvousScore(hashText(target.name), bucket, target.weight), target.data);
        std::ranges::sort(scored, {}, &std::pair<double, Endpoint>::first);
        std::vector<Endpoint> const actual = list(table, bucket);
        for (std::size_t rank = 0; rank < maximumCandidates; ++rank)
            BOOST_TEST_REQUIRE((actual[rank] == scored[rank].second), "bucket " << bucket << " rank " << rank);
    }
}

// An added target takes only its own share; no flow moves between the others.
BOOST_AUTO_TEST_CASE(AddedTargetMovesOnlyItsShare)
{
    CandidateTable const before = makeTable(makeView(7));
    ServiceView const larger = makeView(8);
    CandidateTable const after = makeTable(larger);
    Endpoint const added { 0x0A090008, 6081 };
    std::size_t moved = 0;
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        Endpoint const first = list(after, bucket).front();
        if (first != list(before, bucket).front()) {
            BOOST_TEST((first == added));
            ++moved;
        }
    }
    BOOST_TEST(moved > buckets / 8 * 8 / 10);
    BOOST_TEST(moved < buckets / 8 * 12 / 10);
}

BOOST_AUTO_TEST_CASE(SharesFollowWeights)
{
    ServiceView view = makeView(6);
    double totalWeight = 0;
    for (std::size_t index = 0; index < view.targets.size(); ++index) {
        view.targets[index].weight = static_cast<std::uint16_t>(50 * (index + 1));
        totalWeight += view.targets[index].weight;
    }
    CandidateTable const table = makeTable(view);
    std::map<std::uint64_t, std::size_t> firsts;
    for (std::size_t bucket = 0; bucket < buckets; ++bucket)
        ++firsts[keyOf(list(table, bucket).front())];
    for (ViewTarget const& target : view.targets) {
        double const share = target.weight / totalWeight;
        // Five standard deviations of a binomial count.
        double const tolerance = 5 * std::sqrt(share * (1 - share) / static_cast<double>(buckets));
        double const actual = static_cast<double>(firsts[keyOf(target.data)]) / static_cast<double>(buckets);
        BOOST_TEST(std::abs(actual - share) < tolerance, "weight " << target.weight << " share " << actual);
    }
}

// A draining target may own flows, and entries learn of the drain at different times.
BOOST_AUTO_TEST_CASE(DrainingTargetsKeepTheirRank)
{
    ServiceView view = makeView(7);
    CandidateTable const before = makeTable(view);
    targetNamed(view, "t2").draining = true;
    CandidateTable const after = makeTable(view);
    for (std::size_t bucket = 0; bucket < buckets; ++bucket)
        BOOST_TEST_REQUIRE((list(before, bucket) == list(after, bucket)));
    BOOST_TEST((after.status(targetNamed(view, "t2").data) == TargetStatus::Live));
}

BOOST_AUTO_TEST_CASE(DeadTargetsAreLeftOutOrAtTheTail)
{
    ServiceView view = makeView(6);
    CandidateTable const before = makeTable(view);
    targetNamed(view, "t1").dead = true;
    targetNamed(view, "t4").dead = true;
    Endpoint const first = targetNamed(view, "t1").data;
    Endpoint const second = targetNamed(view, "t4").data;
    CandidateTable const after = makeTable(view);
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        std::vector<Endpoint> const live = without(without(list(before, bucket), first), second);
        BOOST_TEST_REQUIRE((list(after, bucket, DeadTargets::Excluded) == live));
        BOOST_TEST_REQUIRE((list(after, bucket, DeadTargets::OnlyWithoutLive) == live));
        std::vector<Endpoint> tail = list(after, bucket, DeadTargets::AtTail);
        BOOST_TEST_REQUIRE(tail.size() == 6U);
        BOOST_TEST((tail[4] == first || tail[5] == first));
        BOOST_TEST((tail[4] == second || tail[5] == second));
        tail.resize(4);
        BOOST_TEST((tail == live));
    }
    BOOST_TEST((after.status(first) == TargetStatus::Dead));
    BOOST_TEST((after.status({ 1, 1 }) == TargetStatus::Unknown));
}

// A target may be called dead by mistake and own the flow, so that later packets must be able to reach it.
BOOST_AUTO_TEST_CASE(FullListKeepsRoomForTheBestDeadTarget)
{
    ServiceView view = makeView(12);
    CandidateTable const before = makeTable(view);
    targetNamed(view, "t3").dead = true;
    Endpoint const dead = targetNamed(view, "t3").data;
    CandidateTable const after = makeTable(view);
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        std::vector<Endpoint> const live = list(after, bucket, DeadTargets::Excluded);
        std::vector<Endpoint> const later = list(after, bucket, DeadTargets::AtTail);
        BOOST_TEST_REQUIRE(live.size() == maximumCandidates);
        BOOST_TEST_REQUIRE(later.size() == maximumCandidates);
        BOOST_TEST((std::ranges::find(live, dead) == live.end()));
        BOOST_TEST((later.back() == dead));
        BOOST_TEST(std::equal(live.begin(), live.end() - 1, later.begin()));
    }
}

BOOST_AUTO_TEST_CASE(OnlyDeadTargetsAreListedWhereAllowed)
{
    ServiceView view = makeView(3);
    for (ViewTarget& target : view.targets)
        target.dead = true;
    CandidateTable const table = makeTable(view);
    BOOST_TEST(list(table, 5, DeadTargets::Excluded).empty());
    BOOST_TEST(list(table, 5, DeadTargets::OnlyWithoutLive).size() == 3U);
    BOOST_TEST(list(table, 5, DeadTargets::AtTail).size() == 3U);
}

// A route with an unset candidate is refused by every agent.
BOOST_AUTO_TEST_CASE(TargetsWithoutEndpointAreLeftOut)
{
    ServiceView view = makeView(3);
    view.targets[1].data = {};
    BOOST_TEST(list(makeTable(view), 5).size() == 2U);
}

BOOST_AUTO_TEST_CASE(RebuildForgetsTheOldView)
{
    CandidateTable table = makeTable(makeView(9));
    table.rebuild(makeView(2).targets);
    BOOST_TEST(list(table, 77).size() == 2U);
    BOOST_TEST((table.status({ 0x0A090009, 6081 }) == TargetStatus::Unknown));
}
