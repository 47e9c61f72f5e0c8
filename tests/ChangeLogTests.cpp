// Guards against changes that are applied out of order, twice, in part or after a gap, and against records
// that do not survive encoding.

#include "plantaindrift/plantaindrift.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace plantaindrift;

namespace {

Service makeService(std::string const& name, std::uint16_t port)
{
    Service service;
    service.name = name;
    service.addresses = { { { 0x0A000001, port }, Protocol::Tcp } };
    service.targets = { name + "-*" };
    return service;
}

ConfigurationChange makeChange(std::uint64_t position, std::vector<ServiceChange> services)
{
    return { position, "op-" + std::to_string(position), "ana", "test", 1'700'000'000'000, std::move(services) };
}

ConfigurationChange addition(std::uint64_t position)
{
    Service const service = makeService("s" + std::to_string(position), static_cast<std::uint16_t>(position));
    return makeChange(position, { { service.name, std::nullopt, service } });
}

} // namespace

BOOST_AUTO_TEST_CASE(ChangesApplyInOrder)
{
    ChangeLog log;
    Service const first = makeService("b", 80);
    Service second = makeService("a", 81);
    BOOST_TEST(log.apply(makeChange(1, { { "b", std::nullopt, first } })).value());
    BOOST_TEST(log.apply(makeChange(2, { { "a", std::nullopt, second } })).value());
    BOOST_TEST(log.position() == 2U);
    BOOST_TEST((log.configuration().services == std::vector<Service> { second, first }));
    Service changed = second;
    changed.limits.slots = 3;
    BOOST_TEST(log.apply(makeChange(3, { { "a", second, changed }, { "b", first, std::nullopt } })).value());
    BOOST_TEST((log.configuration().services == std::vector<Service> { changed }));
}

// A gossiped copy of an old change must not bring an old state back.
BOOST_AUTO_TEST_CASE(RepeatedChangesAreIgnored)
{
    ChangeLog log;
    Service const first = makeService("a", 80);
    Service const other = makeService("a", 81);
    BOOST_TEST(log.apply(makeChange(1, { { "a", std::nullopt, first } })).value());
    BOOST_TEST(log.apply(makeChange(2, { { "a", first, other } })).value());
    BOOST_TEST(!log.apply(makeChange(1, { { "a", std::nullopt, first } })).value());
    BOOST_TEST((log.configuration().services.front() == other));
    BOOST_TEST(log.position() == 2U);
}

BOOST_AUTO_TEST_CASE(GapsAreRefusedWithoutEffect)
{
    ChangeLog log;
    absl::StatusOr<bool> const result = log.apply(addition(2));
    BOOST_TEST((errorKind(result.status()) == ErrorKind::Refused));
    BOOST_TEST((std::string(result.status().message()).find("fetch position 1 first") != std::string::npos));
    BOOST_TEST((errorKind(log.apply(addition(0)).status()) == ErrorKind::InvalidMessage));
    BOOST_TEST(log.position() == 0U);
    BOOST_TEST(log.configuration().services.empty());
}

// Deliveries in any order, with repeats, end in the same state and the position never falls.
BOOST_AUTO_TEST_CASE(ShuffledDeliveriesConverge)
{
    constexpr std::uint64_t changes = 40;
    ChangeLog expected;
    for (std::uint64_t position = 1; position <= changes; ++position)
        BOOST_TEST_REQUIRE(expected.apply(addition(position)).value());
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        ChangeLog log;
        while (log.position() < changes) {
            std::uint64_t const before = log.position();
            absl::StatusOr<bool> const result = log.apply(addition((random() % changes) + 1));
            BOOST_TEST_REQUIRE(log.position() == before + (result.ok() && *result ? 1 : 0));
        }
        BOOST_TEST((log.configuration() == expected.configuration()));
    }
}

BOOST_AUTO_TEST_CASE(SnapshotsOnlyMoveForward)
{
    ChangeLog log;
    Configuration const snapshot { { makeService("b", 1), makeService("a", 2) } };
    BOOST_TEST(log.applySnapshot(64, snapshot));
    BOOST_TEST(log.position() == 64U);
    BOOST_TEST(log.configuration().services.front().name == "a");
    BOOST_TEST(!log.applySnapshot(64, {}));
    BOOST_TEST(!log.applySnapshot(10, {}));
    BOOST_TEST(log.configuration().services.size() == 2U);
    BOOST_TEST(log.apply(addition(65)).value());
    BOOST_TEST(log.changesAfter(63).empty());
    BOOST_TEST(log.changesAfter(64).size() == 1U);
}

BOOST_AUTO_TEST_CASE(KeptChangesAreBounded)
{
    ChangeLog log;
    constexpr std::uint64_t changes = ChangeLog::keptChanges + 10;
    for (std::uint64_t position = 1; position <= changes; ++position)
        BOOST_TEST_REQUIRE(log.apply(addition(position)).value());
    BOOST_TEST(log.changesAfter(9).empty());
    BOOST_TEST(log.changesAfter(10).size() == ChangeLog::keptChanges);
    BOOST_TEST(log.changesAfter(10).front().position == 11U);
    BOOST_TEST(log.changesAfter(changes - 1).size() == 1U);
    BOOST_TEST(log.changesAfter(changes).empty());
    BOOST_TEST(log.changesAfter(changes + 5).empty());
}

BOOST_AUTO_TEST_CASE(DifferencesLeadFromOneConfigurationToTheOther)
{
    Configuration const before { { makeService("a", 1), makeService("b", 2), makeService("c", 3) } };
    Configuration after { { makeService("b", 2), makeService("c", 4), makeService("d", 5) } };
    std::vector<ServiceChange> const changes = diffConfigurations(before, after);
    BOOST_TEST(changes.size() == 3U);
    ChangeLog log;
    BOOST_TEST(log.applySnapshot(1, before));
    BOOST_TEST(log.apply(makeChange(2, changes)).value());
    BOOST_TEST((log.configuration() == after));
    BOOST_TEST(diffConfigurations(after, after).empty());
}

BOOST_AUTO_TEST_CASE(ChangesRoundTrip)
{
    Service service = makeService("izposoja", 8080);
    service.addresses.push_back({ { 0x0A000002, 53 }, Protocol::Udp });
    service.dataCentres = { "Bohinj", "Kranj" };
    service.idempotent = true;
    service.limits = { 100, 3, 2, 8 };
    service.slowStart = std::chrono::seconds(12);
    service.drain.deadline = std::chrono::seconds(60);
    ConfigurationChange const change { 7, "op", "Žiga", "več \"vozičkov\"", 1'700'000'000'123, { { "izposoja", service, std::nullopt }, { "pregled", std::nullopt, makeService("pregled", 9) } } };
    absl::StatusOr<ConfigurationChange> const decoded = decodeChange(encodeChange(change));
    BOOST_TEST_REQUIRE(decoded.ok(), decoded.status());
    BOOST_TEST((*decoded == change));
    BOOST_TEST(encodeChange(*decoded) == encodeChange(change));
}

BOOST_AUTO_TEST_CASE(KeysSortInPositionOrder)
{
    BOOST_TEST(changeKey(7) == "log/000000000007");
    BOOST_TEST(changeKey(999'999'999'999) == "log/999999999999");
    BOOST_TEST((changeKey(9) < changeKey(10)));
}
