// Guards against malformed and foreign control messages that crash a node, change its state or are not counted,
// and against conversions that lose a field.

#include "ControlFleet.h"

#include "configuration/ProtobufConversion.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace plantaindrift;
using namespace plantaindrift::testing;
using namespace std::chrono_literals;

namespace {

std::span<std::byte const> bytesOf(std::string const& text)
{
    return std::as_bytes(std::span(text));
}

Member fullMember()
{
    Member member;
    member.role = MemberRole::Agent;
    member.name = "agent-9";
    member.dataCentre = "kranj";
    member.service = "izposoja";
    member.incarnation = 77;
    member.state = MemberState::Suspect;
    member.draining = true;
    member.data = { 0x0A000009, 6081 };
    member.control = { 0x0A000009, 7000 };
    member.weight = 40;
    member.slots = 3;
    member.connections = 2000;
    return member;
}

Service fullService()
{
    Service service;
    service.name = "izposoja";
    service.addresses = { { { 0xC0A80001, 443 }, Protocol::Tcp }, { { 0xC0A80001, 5000 }, Protocol::Udp } };
    service.targets = { "a", "b-*" };
    service.dataCentres = { "bohinj", "kranj" };
    service.idempotent = true;
    service.limits = { 11, 12, 13, 14 };
    service.slowStart = 15s;
    service.drain.deadline = 16s;
    return service;
}

void startFleet(ControlFleet& fleet)
{
    for (std::uint32_t index = 1; index <= 3; ++index)
        fleet.seeds.push_back(ControlFleet::endpointOf(index));
    for (int index = 0; index < 4; ++index)
        fleet.addEntry("entry-" + std::to_string(index), "kranj");
    for (int index = 0; index < 6; ++index)
        fleet.addAgent("agent-" + std::to_string(index), "kranj", "izposoja");
    BOOST_REQUIRE((fleet.runUntil([&fleet] { return fleet.isConverged(); }, 60s) <= 60s));
}

// Messages of every kind as they occur in a fleet that joins, drains, loses a node, has one that stands still and changes its configuration.
std::map<int, std::string> collectMessages()
{
    ControlFleet fleet({ 51, 0, 0, 1ms, 20ms });
    std::map<int, std::string> kinds;
    fleet.observe = [&kinds](Member const&, Member const&, std::string const& bytes) {
        std::string& longest = kinds[static_cast<unsigned char>(bytes.front())];
        if (bytes.size() > longest.size())
            longest = bytes;
    };
    startFleet(fleet);
    std::vector<ConfigurationChange> const changes { makeChange(1, "izposoja"), makeChange(2, "pregled") };
    fleet.entry("entry-0").addChanges(changes, fleet.now());
    fleet.agent("agent-1").setDraining(true, fleet.now());
    fleet.kill("agent-2");
    fleet.addEntry("joiner", "kranj");
    fleet.pause("agent-3", true);
    fleet.run(5s);
    fleet.pause("agent-3", false);
    fleet.run(30s);
    return kinds;
}

void flipBit(std::string& bytes, RandomSource& random)
{
    char& byte = bytes[random.below(bytes.size())];
    byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << random.below(8)));
}

control::Envelope gossipOf(control::Member const& member)
{
    control::Envelope envelope;
    *envelope.mutable_gossip()->add_members() = member;
    return envelope;
}

} // namespace

BOOST_AUTO_TEST_CASE(MembersRoundTrip)
{
    control::Member message;
    toProtobuf(fullMember(), 9s, message);
    BOOST_TEST((fromProtobuf(message).value() == fullMember()));
    BOOST_TEST(message.tombstone_age_s() == 9U);
}

BOOST_AUTO_TEST_CASE(ServicesAndChangesRoundTrip)
{
    ConfigurationChange change = makeChange(12, "izposoja");
    change.services.front().before = fullService();
    change.services.push_back({ "pregled", fullService(), std::nullopt });
    change.services.back().before->name = "pregled";
    control::ConfigurationChange message;
    toProtobuf(change, message);
    BOOST_TEST((fromProtobuf(message).value() == change));
}

// A peer's copy of a configuration sent flows to a service whose share of the address is 0.
BOOST_AUTO_TEST_CASE(AnAddressWithoutAShareKeepsNone)
{
    Service service = fullService();
    service.addresses.front().share = 0;
    service.addresses.back().share = 30;
    control::Service message;
    toProtobuf(service, message);
    std::string const bytes = message.SerializeAsString();
    BOOST_TEST_REQUIRE(message.ParseFromString(bytes));
    BOOST_TEST((fromProtobuf(message).value() == service));
}

BOOST_AUTO_TEST_CASE(MembersOutOfRangeAreRefused)
{
    using Spoil = void (*)(control::Member&);
    std::vector<Spoil> const spoils {
        [](control::Member& member) { member.set_name(""); },
        [](control::Member& member) { member.set_name(std::string(maximumNameLength + 1, 'a')); },
        [](control::Member& member) { member.set_name("two words"); },
        [](control::Member& member) { member.set_service(""); },
        [](control::Member& member) { member.set_role(control::ROLE_ENTRY); },
        [](control::Member& member) { member.set_role(static_cast<control::Role>(7)); },
        [](control::Member& member) { member.set_state(static_cast<control::State>(5)); },
        [](control::Member& member) { member.set_state(static_cast<control::State>(-1)); },
        [](control::Member& member) { member.set_incarnation(maximumIncarnation + 1); },
        [](control::Member& member) { member.set_incarnation(std::numeric_limits<std::uint64_t>::max()); },
        [](control::Member& member) { member.set_weight(0); },
        [](control::Member& member) { member.set_weight(65536); },
        [](control::Member& member) { member.set_slots(65536); },
        [](control::Member& member) { member.mutable_data()->set_port(65536); },
        [](control::Member& member) { member.mutable_control()->set_port(70000); },
    };
    for (Spoil const spoil : spoils) {
        control::Member message;
        toProtobuf(fullMember(), 0s, message);
        spoil(message);
        BOOST_TEST(!fromProtobuf(message).has_value());
    }
}

BOOST_AUTO_TEST_CASE(EveryKindOfMessageOccurs)
{
    BOOST_TEST(collectMessages().size() == 8U);
}

// A truncated message may still parse; it must then be harmless, and otherwise be counted.
BOOST_AUTO_TEST_CASE(TruncationAtEveryLengthIsHarmless)
{
    ControlFleet fleet({ 52, 0, 0, 1ms, 20ms });
    startFleet(fleet);
    std::vector<Member> const before = fleet.entry("entry-0").members();
    for (auto const& [kind, message] : collectMessages()) {
        for (std::size_t length = 0; length < message.size(); ++length) {
            std::string const cut = message.substr(0, length);
            for (std::string const node : { "entry-0", "agent-0" })
                fleet.deliver(node, ControlFleet::endpointOf(99), bytesOf(cut));
        }
    }
    BOOST_TEST(fleet.entry("entry-0").counts().malformed > 0U);
    BOOST_TEST(fleet.agent("agent-0").counts().malformed > 0U);
    for (Member const& member : before)
        BOOST_TEST((fleet.recordAt("entry-0", member.name).has_value()), member.name);
    BOOST_TEST((fleet.runUntil([&fleet] { return fleet.isConverged(); }, 60s) <= 60s));
}

BOOST_AUTO_TEST_CASE(RandomBytesAreCountedAndHarmless)
{
    ControlFleet fleet({ 53, 0, 0, 1ms, 20ms });
    startFleet(fleet);
    RandomSource random(53);
    std::uint64_t const before = fleet.entry("entry-0").counts().malformed;
    constexpr int rounds = 20000;
    for (int round = 0; round < rounds; ++round) {
        std::string bytes(random.below(120), '\0');
        for (char& byte : bytes)
            byte = static_cast<char>(random.next());
        fleet.deliver("entry-0", ControlFleet::endpointOf(99), bytesOf(bytes));
        fleet.deliver("agent-0", ControlFleet::endpointOf(99), bytesOf(bytes));
    }
    BOOST_TEST(fleet.entry("entry-0").counts().malformed - before > static_cast<std::uint64_t>(rounds) * 9 / 10);
    BOOST_TEST((fleet.runUntil([&fleet] { return fleet.isConverged(); }, 60s) <= 60s));
}

BOOST_AUTO_TEST_CASE(FlippedBitsAreHarmless)
{
    std::map<int, std::string> const messages = collectMessages();
    RandomSource random(54);
    for (int round = 0; round < 200; ++round) {
        ControlFleet fleet({ 54, 0, 0, 1ms, 20ms });
        fleet.addEntry("entry-0", "kranj");
        fleet.addAgent("agent-0", "kranj", "izposoja");
        fleet.run(300ms);
        for (auto const& [kind, message] : messages) {
            std::string spoiled = message;
            for (int flip = 0; flip < 3; ++flip)
                flipBit(spoiled, random);
            fleet.deliver("entry-0", ControlFleet::endpointOf(99), bytesOf(spoiled));
            fleet.deliver("agent-0", ControlFleet::endpointOf(99), bytesOf(spoiled));
        }
        fleet.run(300ms);
    }
}

BOOST_AUTO_TEST_CASE(ForeignMessagesAreCounted)
{
    ControlFleet fleet({ 55, 0, 0, 1ms, 20ms });
    startFleet(fleet);
    control::Envelope share;
    share.mutable_load_share()->set_name("agent-1");
    std::uint64_t const atEntry = fleet.entry("entry-0").counts().malformed;
    fleet.deliver("entry-0", ControlFleet::endpointOf(99), bytesOf(share.SerializeAsString()));
    BOOST_TEST(fleet.entry("entry-0").counts().malformed == atEntry + 1);
    control::Member member;
    toProtobuf(fullMember(), 0s, member);
    std::uint64_t const atAgent = fleet.agent("agent-0").counts().malformed;
    fleet.deliver("agent-0", ControlFleet::endpointOf(99), bytesOf(gossipOf(member).SerializeAsString()));
    BOOST_TEST(fleet.agent("agent-0").counts().malformed == atAgent + 1);
    share.mutable_load_share()->set_busy_fraction(std::numeric_limits<float>::quiet_NaN());
    fleet.deliver("agent-0", ControlFleet::endpointOf(99), bytesOf(share.SerializeAsString()));
    share.mutable_load_share()->set_busy_fraction(-1);
    fleet.deliver("agent-0", ControlFleet::endpointOf(99), bytesOf(share.SerializeAsString()));
    BOOST_TEST(fleet.agent("agent-0").counts().malformed == atAgent + 3);
    BOOST_TEST(fleet.agent("agent-0").takePeerLoads().size() <= 5U);
}

// A reply with an incarnation that cannot be exceeded would make a member mute.
BOOST_AUTO_TEST_CASE(ImpossibleIncarnationsAreRefused)
{
    ControlFleet fleet({ 56, 0, 0, 1ms, 20ms });
    startFleet(fleet);
    control::Envelope reply;
    reply.mutable_heartbeat_reply()->set_refute_incarnation(std::numeric_limits<std::uint64_t>::max());
    for (std::string const node : { "entry-0", "agent-0" })
        fleet.deliver(node, ControlFleet::endpointOf(2), bytesOf(reply.SerializeAsString()));
    fleet.run(5s);
    BOOST_TEST((fleet.stateAt("entry-1", "agent-0") == MemberState::Active));
    BOOST_TEST(fleet.recordAt("entry-1", "agent-0")->incarnation < 10U);
}

// Agents do not poll the store, so they learn from heartbeat replies that it was restored.
BOOST_AUTO_TEST_CASE(AgentsLearnTheStoresGenerationFromEntries)
{
    ControlFleet fleet({ 47, 0, 0, 1ms, 20ms });
    fleet.seeds = { ControlFleet::endpointOf(1) };
    fleet.addEntry("entry", "kegalle");
    fleet.addAgent("agent", "kegalle", "desk");
    fleet.run(3s);
    BOOST_TEST(fleet.agent("agent").storeGeneration() == 0U);
    fleet.entry("entry").setStoreGeneration(5);
    fleet.run(3s);
    BOOST_TEST(fleet.agent("agent").storeGeneration() == 5U);
    // An entry that does not know the restore yet changes nothing.
    fleet.entry("entry").setStoreGeneration(4);
    fleet.run(3s);
    BOOST_TEST(fleet.agent("agent").storeGeneration() == 5U);
}
