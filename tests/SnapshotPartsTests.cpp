// Guards against configurations that lose or mix something on their way from one entry to another in parts.

#include "ControlFleet.h"
#include "membership/SnapshotParts.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace plantaindrift;
using namespace plantaindrift::testing;
using namespace std::chrono_literals;

namespace {

Configuration makeConfiguration(std::size_t addresses)
{
    Configuration configuration;
    for (char const* const name : { "alone", "large", "small" }) {
        Service& service = configuration.services.emplace_back();
        service.name = name;
        service.targets = { "a", "b-*" };
        service.limits = { 11, 12, 13, 14 };
        service.coldRate = 2500;
    }
    for (std::uint32_t index = 0; index < addresses; ++index)
        configuration.services[1].addresses.push_back({ { 0xC6120000U + index, 8443 }, Protocol::Tcp, 0, 3, 200ms });
    configuration.services[2].addresses.push_back({ { 0xC6120000U, 443 }, Protocol::Udp });
    return configuration;
}

std::vector<control::SnapshotPart> partsOf(std::uint64_t position, std::size_t addresses)
{
    ChangeLog log;
    log.applySnapshot(position, makeConfiguration(addresses));
    return splitSnapshot(log);
}

// Takes all parts but one.
void takeAllBut(SnapshotAssembly& assembly, std::vector<control::SnapshotPart> const& parts, std::size_t left)
{
    for (std::size_t index = 0; index < parts.size(); ++index) {
        if (index != left)
            BOOST_TEST(assembly.take(parts[index]));
    }
}

std::string gossipBytes(std::uint64_t position)
{
    control::Envelope envelope;
    envelope.mutable_gossip()->set_position(position);
    return envelope.SerializeAsString();
}

} // namespace

BOOST_AUTO_TEST_CASE(PartsInAnyOrderGiveTheConfiguration)
{
    for (std::size_t const addresses : { 0U, 1U, 400U, 5000U }) {
        std::vector<control::SnapshotPart> parts = partsOf(9, addresses);
        for (control::SnapshotPart const& part : parts)
            BOOST_TEST(part.ByteSizeLong() < snapshotPartBytes + 200);
        std::reverse(parts.begin(), parts.end());
        SnapshotAssembly assembly;
        for (control::SnapshotPart const& part : parts) {
            BOOST_TEST(!assembly.takeComplete().has_value());
            BOOST_TEST(assembly.take(part));
            BOOST_TEST(assembly.take(part));
        }
        std::optional<Snapshot> const snapshot = assembly.takeComplete();
        BOOST_TEST_REQUIRE(snapshot.has_value());
        BOOST_TEST(snapshot->position == 9U);
        BOOST_TEST((snapshot->configuration == makeConfiguration(addresses)));
    }
}

BOOST_AUTO_TEST_CASE(AnEmptyConfigurationArrives)
{
    ChangeLog log;
    log.applySnapshot(4, {});
    SnapshotAssembly assembly;
    for (control::SnapshotPart const& part : splitSnapshot(log))
        BOOST_TEST(assembly.take(part));
    BOOST_TEST((assembly.takeComplete().value().configuration == Configuration {}));
}

BOOST_AUTO_TEST_CASE(OnlyMissingPartsAreRequestedAgain)
{
    std::vector<control::SnapshotPart> const parts = partsOf(9, 3000);
    BOOST_TEST_REQUIRE(parts.size() > 3U);
    SnapshotAssembly assembly;
    takeAllBut(assembly, parts, 2);
    control::SnapshotRequest request;
    assembly.addMissing(request);
    BOOST_TEST(request.position() == 9U);
    BOOST_TEST_REQUIRE(request.parts_size() == 1);
    BOOST_TEST(request.parts(0) == 2U);
    BOOST_TEST(assembly.take(parts[2]));
    BOOST_TEST(assembly.takeComplete().has_value());
}

BOOST_AUTO_TEST_CASE(PartsOfTwoConfigurationsAreNotMixed)
{
    std::vector<control::SnapshotPart> const older = partsOf(9, 3000);
    std::vector<control::SnapshotPart> const newer = partsOf(12, 3001);
    SnapshotAssembly assembly;
    takeAllBut(assembly, older, 0);
    takeAllBut(assembly, newer, 1);
    BOOST_TEST(assembly.take(older[0]));
    BOOST_TEST(!assembly.takeComplete().has_value());
    BOOST_TEST(assembly.take(newer[1]));
    std::optional<Snapshot> const snapshot = assembly.takeComplete();
    BOOST_TEST_REQUIRE(snapshot.has_value());
    BOOST_TEST(snapshot->position == 12U);
    BOOST_TEST((snapshot->configuration == makeConfiguration(3001)));
}

// The only peer with the newer configuration ended before all parts had arrived.
BOOST_AUTO_TEST_CASE(AnOlderConfigurationThatIsRequestedTakesThePlaceOfOneThatNobodyHas)
{
    std::vector<control::SnapshotPart> const gone = partsOf(12, 3000);
    SnapshotAssembly assembly;
    takeAllBut(assembly, gone, 0);
    control::SnapshotRequest request;
    assembly.addMissing(request);
    for (control::SnapshotPart const& part : partsOf(9, 3000))
        BOOST_TEST(assembly.take(part));
    BOOST_TEST(assembly.takeComplete().value().position == 9U);
}

BOOST_AUTO_TEST_CASE(PartsOutOfRangeAreRefused)
{
    using Spoil = void (*)(control::SnapshotPart&);
    std::vector<Spoil> const spoils {
        [](control::SnapshotPart& part) { part.set_position(0); },
        [](control::SnapshotPart& part) { part.set_part(part.parts()); },
        [](control::SnapshotPart& part) { part.set_parts(0); },
        [](control::SnapshotPart& part) { part.set_parts(maximumSnapshotParts + 1); },
        [](control::SnapshotPart& part) { part.add_services()->set_name("two words"); },
    };
    for (Spoil const spoil : spoils) {
        control::SnapshotPart part = partsOf(9, 1).front();
        spoil(part);
        SnapshotAssembly assembly;
        BOOST_TEST(!assembly.take(part));
        BOOST_TEST(!assembly.takeComplete().has_value());
    }
}

// Other gossip of a peer that is ahead names no position.
BOOST_AUTO_TEST_CASE(GossipWithoutAPositionDoesNotHideAPeerThatIsAhead)
{
    ControlFleet fleet({ 61, 0, 0, 1ms, 5ms });
    fleet.addEntry("entry-0", "kranj");
    fleet.run(200ms);
    Endpoint const peer = ControlFleet::endpointOf(99);
    EntryControl& entry = fleet.entry("entry-0");
    for (std::uint64_t const position : { 7U, 0U }) {
        std::string const bytes = gossipBytes(position);
        entry.receive(peer, std::as_bytes(std::span(bytes)), fleet.now());
    }
    entry.tick(fleet.now() + 100ms);
    std::vector<ControlMessage> const messages = entry.takeMessages();
    BOOST_TEST((std::any_of(messages.begin(), messages.end(), [peer](ControlMessage const& message) { return message.to == peer; })));
}
