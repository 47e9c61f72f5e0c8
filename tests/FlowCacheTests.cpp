// Guards against a cache that grows, confuses flows, or evicts flows that are in use.

#include "entry/FlowCache.h"
#include "plantaindrift/plantaindrift.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { std::chrono::hours { 5 } };

Endpoint ownerOf(std::uint64_t flow)
{
    return { static_cast<std::uint32_t>(0x0A000001 + flow % 1000), static_cast<std::uint16_t>(6000 + flow % 7) };
}

FlowHash flowHash(std::uint64_t flow)
{
    return FlowHash { mixHash(flow, 1) };
}

/// Flows of a cache with one set differ in the low bits only.
constexpr std::size_t oneSet = FlowCache::ways;

} // namespace

BOOST_AUTO_TEST_CASE(FindsWhatItLearned)
{
    FlowCache cache { 1024 };
    cache.learn(flowHash(1), ownerOf(1), start);
    std::optional<CachedOwner> const found = cache.find(flowHash(1), start + 17s);
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST((found->owner == ownerOf(1)));
    BOOST_TEST(found->age.count() == 17);
    BOOST_TEST(!cache.find(flowHash(2), start).has_value());
}

// The next notice counts from its own time, and the latest owner wins.
BOOST_AUTO_TEST_CASE(LearnsAnew)
{
    FlowCache cache { oneSet };
    cache.learn(flowHash(1), ownerOf(1), start);
    cache.learn(flowHash(2), ownerOf(2), start);
    cache.learn(flowHash(1), ownerOf(3), start + 10s);
    std::optional<CachedOwner> const found = cache.find(flowHash(1), start + 11s);
    BOOST_TEST((found->owner == ownerOf(3)));
    BOOST_TEST(found->age.count() == 1);
    BOOST_TEST((cache.find(flowHash(2), start)->owner == ownerOf(2)));
}

BOOST_AUTO_TEST_CASE(CapacityIsBounded)
{
    BOOST_TEST(FlowCache { 0 }.capacity() == 4U);
    BOOST_TEST(FlowCache { 4 }.capacity() == 4U);
    BOOST_TEST(FlowCache { 1000 }.capacity() == 512U);
    BOOST_TEST(FlowCache { 1U << 18 }.capacity() == 1U << 18);

    FlowCache cache { 1000 };
    constexpr std::uint64_t flows = 10000;
    for (std::uint64_t flow = 0; flow < flows; ++flow)
        cache.learn(flowHash(flow), ownerOf(flow), start);
    std::size_t kept = 0;
    for (std::uint64_t flow = 0; flow < flows; ++flow) {
        std::optional<CachedOwner> const found = cache.find(flowHash(flow), start);
        if (found.has_value()) {
            BOOST_TEST((found->owner == ownerOf(flow)));
            ++kept;
        }
    }
    // All sets are full after ten times the capacity.
    BOOST_TEST(kept == cache.capacity());
}

BOOST_AUTO_TEST_CASE(EvictsTheLeastRecentlyUsedOfASet)
{
    FlowCache cache { oneSet };
    for (std::uint64_t flow = 0; flow < oneSet; ++flow)
        cache.learn(flowHash(flow), ownerOf(flow), start);
    BOOST_TEST(cache.find(flowHash(0), start).has_value());
    cache.learn(flowHash(100), ownerOf(100), start);
    BOOST_TEST(!cache.find(flowHash(1), start).has_value());
    for (std::uint64_t const flow : { 0, 2, 3, 100 })
        BOOST_TEST((cache.find(flowHash(flow), start)->owner == ownerOf(flow)), "flow " << flow);
}

// The highest bits select the set, and the low bits are stored: flows that differ in any bit are told apart.
BOOST_AUTO_TEST_CASE(FlowsThatDifferInOneBitAreToldApart)
{
    FlowCache cache { 1U << 18 };
    std::uint64_t const flow = mixHash(7, 7);
    cache.learn(FlowHash { flow }, ownerOf(1), start);
    for (unsigned bit = 0; bit < 64; ++bit)
        BOOST_TEST(!cache.find(FlowHash { flow ^ (1ULL << bit) }, start).has_value(), "bit " << bit);
}

BOOST_AUTO_TEST_CASE(UnsetOwnerIsIgnored)
{
    FlowCache cache { oneSet };
    cache.learn(flowHash(1), ownerOf(1), start);
    cache.learn(flowHash(1), Endpoint {}, start);
    BOOST_TEST((cache.find(flowHash(1), start)->owner == ownerOf(1)));
}
