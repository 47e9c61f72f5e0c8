// Guards against announcements, drain requests and status reports that do not survive the platform, and against drain
// requests that are lost or doubled when answers are lost.

#include "plantaindrift/plantaindrift.h"
#include "plantaindrift/store/StatusObjects.h"
#include "support/FakeObjectStore.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using test::FakeObjectStore;
using test::SharedObjects;

namespace {

Member makeMember(std::string const& service, std::string const& name)
{
    Member member;
    member.name = name;
    member.dataCentre = "Kranj";
    member.service = service;
    member.incarnation = 0xFFFFFFFFFFFFFFFFU;
    member.state = MemberState::Draining;
    member.draining = true;
    member.data = { 0x0A000001, 6081 };
    member.control = { 0x0A000001, 6082 };
    member.weight = 50;
    member.slots = 3;
    member.connections = 2000;
    return member;
}

} // namespace

BOOST_AUTO_TEST_CASE(MembersRoundTrip)
{
    Member const member = makeMember("izposoja", "izposoja-1");
    BOOST_TEST((decodeMember(encodeMember(member)).value() == member));
    Member entry;
    entry.role = MemberRole::Entry;
    entry.name = "entry-1";
    BOOST_TEST((decodeMember(encodeMember(entry)).value() == entry));
}

BOOST_AUTO_TEST_CASE(WrongMembersAreRefused)
{
    std::string const valid = encodeMember(makeMember("izposoja", "izposoja-1"));
    struct Row {
        std::string_view part;
        std::string_view replacement;
        std::string_view field;
    };
    std::vector<Row> const rows {
        { "\"weight\":50", "\"weight\":0", "weight" },
        { "\"weight\":50", "\"weight\":65536", "weight" },
        { "\"state\":\"draining\"", "\"state\":\"asleep\"", "state" },
        { "\"role\":\"agent\"", "\"role\":\"x\"", "role" },
        { "10.0.0.1:6081", "10.0.0.1:0", "data" },
        { "\"slots\":3", "\"slots\":-3", "slots" },
        { "\"format\":1", "\"format\":2", "format" },
        { "\"slots\":3", "\"slots\":3,\"colour\":1", "colour" },
        { "izposoja-1", "a/b", "name" },
    };
    for (Row const& row : rows) {
        std::string text = valid;
        text.replace(text.find(row.part), row.part.size(), row.replacement);
        absl::StatusOr<Member> const member = decodeMember(text);
        BOOST_TEST_REQUIRE(!member.ok(), row.replacement);
        BOOST_TEST((errorKind(member.status()) == ErrorKind::InvalidMessage));
        BOOST_TEST((std::string(member.status().message()).find("field " + std::string(row.field) + ' ') != std::string::npos), member.status());
    }
}

BOOST_AUTO_TEST_CASE(AnnouncementsAreListedByService)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    // "a" is a prefix of "a-b", whose targets must not appear among its own.
    for (std::string const& service : { std::string("a"), std::string("a-b") }) {
        for (int target = 0; target < 60; ++target) {
            Member const member = makeMember(service, service + "-" + std::to_string(target));
            BOOST_TEST_REQUIRE(store.create(announcementKey(service, member.name), encodeMember(member)).ok());
        }
    }
    BOOST_TEST(listAnnouncements(store, "").value().size() == 120U);
    BOOST_TEST(listAnnouncements(store, "a").value().size() == 60U);
}

BOOST_AUTO_TEST_CASE(DrainRequestsAreSafeToRepeat)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        SharedObjects shared;
        FakeObjectStore store(shared, seed);
        store.faults = { 0, 30, 0, 30 };
        DrainRequest const request { "a", "a-1", "ana", "kernel update", 5 };
        absl::StatusOr<DrainRequest> result = requestDrain(store, request);
        while (!result.ok()) {
            BOOST_TEST((errorKind(result.status()) == ErrorKind::OutcomeUnknown));
            result = requestDrain(store, request);
        }
        BOOST_TEST((*result == request));
        DrainRequest const later { "a", "a-1", "bor", "again", 6 };
        BOOST_TEST((requestDrain(store, later).value() == request));
        BOOST_TEST((readDrainRequest(store, "a", "a-1").value() == request));
        BOOST_TEST(listDrainRequests(store).value().size() == 1U);
        store.faults = {};
        BOOST_TEST(withdrawDrain(store, "a", "a-1").value());
        BOOST_TEST(!withdrawDrain(store, "a", "a-1").value());
        BOOST_TEST(!readDrainRequest(store, "a", "a-1").value().has_value());
    }
}

BOOST_AUTO_TEST_CASE(WrongDrainRequestsHaveNoEffect)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    BOOST_TEST((errorKind(requestDrain(store, { "a", "a/1", "ana", "x", 1 }).status()) == ErrorKind::Refused));
    BOOST_TEST((errorKind(requestDrain(store, { "a", "a-1", "ana", "", 1 }).status()) == ErrorKind::Refused));
    BOOST_TEST(shared.writes == 0U);
}

// Guards against an evacuation that a lost answer records twice or leaves in place.
BOOST_AUTO_TEST_CASE(EvacuationRequestsAreSafeToRepeat)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        SharedObjects shared;
        FakeObjectStore store(shared, seed);
        store.faults = { 0, 30, 0, 30 };
        EvacuationRequest const request { "Kegalle", "ana", "power works", 5 };
        absl::StatusOr<EvacuationRequest> result = requestEvacuation(store, request);
        while (!result.ok()) {
            BOOST_TEST((errorKind(result.status()) == ErrorKind::OutcomeUnknown));
            result = requestEvacuation(store, request);
        }
        BOOST_TEST((*result == request));
        BOOST_TEST((requestEvacuation(store, { "Kegalle", "bor", "again", 6 }).value() == request));
        BOOST_TEST((listEvacuationRequests(store).value() == std::vector<EvacuationRequest> { request }));
        store.faults = {};
        BOOST_TEST(withdrawEvacuation(store, "Kegalle").value());
        BOOST_TEST(!withdrawEvacuation(store, "Kegalle").value());
        BOOST_TEST(listEvacuationRequests(store).value().empty());
    }
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    BOOST_TEST((errorKind(requestEvacuation(store, { "a/b", "ana", "x", 1 }).status()) == ErrorKind::Refused));
    BOOST_TEST((errorKind(requestEvacuation(store, { "a", "ana", "", 1 }).status()) == ErrorKind::Refused));
    BOOST_TEST(shared.writes == 0U);
}

BOOST_AUTO_TEST_CASE(EntryStatusRoundTrips)
{
    SharedObjects shared;
    FakeObjectStore store(shared, 1);
    EntryStatus const status { "entry-1", "Bohinj", 17, 1'700'000'000'000, 2500 };
    BOOST_TEST_REQUIRE(store.create(entryStatusKey(status.name), encodeEntryStatus(status)).ok());
    std::vector<EntryStatus> const listed = listEntryStatus(store).value();
    BOOST_TEST_REQUIRE(listed.size() == 1U);
    BOOST_TEST((listed.front() == status));
    BOOST_TEST(!decodeEntryStatus("{}").ok());
}
