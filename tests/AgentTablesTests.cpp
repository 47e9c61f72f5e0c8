// Guards against tables that lose or invent entries when they fill, erase and wrap around, and against allocation on
// the packet path.

#include "AgentScene.h"
#include "agent/FlowTable.h"
#include "agent/PassNotes.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <map>
#include <new>
#include <random>

using namespace plantaindrift;
using namespace plantaindrift::testing;

namespace {

std::size_t allocations = 0;

} // namespace

void* operator new(std::size_t size)
{
    ++allocations;
    if (void* const memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

BOOST_AUTO_TEST_CASE(FlowTableAgreesWithAMap)
{
    std::mt19937_64 random(7);
    FlowTable table;
    table.resize(200);
    std::map<std::uint64_t, bool> expected; // flow -> closing
    TimePoint const now = TimePoint {} + 1s;
    for (int step = 0; step < 50000; ++step) {
        // Few values in the high bits make long runs and wrap around the end.
        std::uint64_t const value = (0xFFF0ULL + random() % 32) << 48U | random() % 16;
        Flow* const flow = table.find(FlowHash { value });
        BOOST_REQUIRE((flow != nullptr) == expected.contains(value));
        if (flow == nullptr) {
            bool const inserted = table.insert(FlowHash { value }, Protocol::Tcp, now) != nullptr;
            BOOST_REQUIRE(inserted == (expected.size() < 200));
            if (inserted)
                expected[value] = false;
        } else if (random() % 3 == 0) {
            table.erase(*flow);
            expected.erase(value);
        } else {
            table.setInProgress(*flow, random() % 2 == 0);
            bool const closes = random() % 2 == 0;
            closes ? table.close(*flow, FlowState::Finished) : table.reopen(*flow);
            expected[value] = closes;
        }
        BOOST_REQUIRE(table.size() == expected.size());
    }
    std::size_t const open = static_cast<std::size_t>(std::count_if(expected.begin(), expected.end(), [](auto const& item) { return !item.second; }));
    BOOST_TEST(table.openCount() == open);
    table.resize(1000);
    for (auto const& [value, closing] : expected)
        BOOST_TEST((table.find(FlowHash { value }) != nullptr && table.find(FlowHash { value })->isClosing() == closing));
    table.eraseIf([](Flow const&) { return true; });
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(table.inProgressCount() == 0U);
}

BOOST_AUTO_TEST_CASE(NotesAgreeWithAMap)
{
    std::mt19937_64 random(8);
    PassNotes notes(100);
    std::map<std::uint64_t, std::uint16_t> expected;
    TimePoint const now = TimePoint {} + 1s;
    for (int step = 0; step < 50000; ++step) {
        std::uint64_t const value = (0xFFF0ULL + random() % 32) << 48U | random() % 8;
        PassNote* const found = notes.find(FlowHash { value }, now);
        BOOST_REQUIRE((found != nullptr) == expected.contains(value));
        if (found != nullptr)
            BOOST_REQUIRE(found->owner.port == expected[value]);
        if (found != nullptr && random() % 2 == 0) {
            notes.erase(*found);
            expected.erase(value);
            continue;
        }
        PassNote note;
        note.flow = FlowHash { value };
        note.expires = now + 70s;
        note.owner = { 1, static_cast<std::uint16_t>(random()) };
        if (notes.put(note) != nullptr)
            expected[value] = note.owner.port;
        else
            BOOST_REQUIRE(expected.size() == 100U);
    }
    BOOST_TEST(notes.size() == expected.size());
    BOOST_TEST((notes.find(FlowHash { expected.begin()->first }, now + 70s) == nullptr));
    for (int step = 0; step < 4; ++step)
        notes.sweep(now + 70s, 4);
    BOOST_TEST(notes.size() == 0U);
}

// The stated memory: 64 bytes a flow and 32 bytes a note, in tables filled to at most one half.
BOOST_AUTO_TEST_CASE(EntriesHaveTheStatedSize)
{
    BOOST_TEST(sizeof(Flow) <= 64U);
    BOOST_TEST(sizeof(PassNote) <= 32U);
}

BOOST_AUTO_TEST_CASE(PacketPathDoesNotAllocate)
{
    AgentScene scene = AgentScene::settled({ "a", "b", "c" });
    RouteOption const route = scene.route({ "a", "b", "c" });
    RouteOption strange = route;
    strange.viewFingerprint += 1;
    AgentPipeline& agent = *scene.agents["a"];
    std::size_t const before = allocations;
    std::uint64_t decided = 0;
    for (std::uint16_t flow = 1; flow < 2000; ++flow) {
        for (RouteOption const& along : { route, strange }) {
            for (InnerPacket const& packet : { scene.syn(flow), scene.data(flow), scene.finish(flow) })
                decided += agent.decide(along, packet, scene.now).action == AgentAction::Deliver ? 1 : 0;
        }
        agent.acceptRedirect(scene.syn(static_cast<std::uint16_t>(flow + 5000)).flow, AgentScene::endpoint("b"), scene.now);
        LoadReport report;
        report.busySlots = flow % 7;
        agent.setLoadReport(report, scene.now);
        (void)agent.tick(scene.now, scene.redirects);
    }
    BOOST_TEST(allocations == before);
    BOOST_TEST(decided > 0U);
}
