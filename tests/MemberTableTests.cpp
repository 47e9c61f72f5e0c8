// Guards against records that depend on the order of arrival, lost draining flags, resurrection of members that
// left, tombstones without a bound, and digests that differ between equal tables.

#include "plantaindrift/membership/MemberTable.h"

#include "membership/RandomSource.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace plantaindrift;

namespace {

constexpr TimePoint start { std::chrono::hours { 1 } };

Member agent(std::string const& name, std::uint64_t incarnation, MemberState state = MemberState::Active)
{
    Member member;
    member.name = name;
    member.dataCentre = "kranj";
    member.service = "izposoja";
    member.incarnation = incarnation;
    member.state = state;
    member.data = { 0x0A000001, 6081 };
    member.control = { 0x0A000001, 7000 };
    return member;
}

Member const& recordOf(MemberTable const& table, std::string_view name)
{
    return table.find(name)->member;
}

} // namespace

BOOST_AUTO_TEST_CASE(TheHigherIncarnationWins)
{
    MemberTable table;
    table.merge(agent("a", 2, MemberState::Dead), start);
    BOOST_TEST((table.merge(agent("a", 1), start).outcome == MemberTable::Outcome::Older));
    BOOST_TEST((recordOf(table, "a").state == MemberState::Dead));
    BOOST_TEST((table.merge(agent("a", 3), start).outcome == MemberTable::Outcome::Changed));
    BOOST_TEST((recordOf(table, "a").state == MemberState::Active));
    BOOST_TEST((table.merge(agent("a", 3), start).outcome == MemberTable::Outcome::Same));
}

BOOST_AUTO_TEST_CASE(DrainingSurvivesSuspicion)
{
    MemberTable table;
    table.merge(agent("a", 1, MemberState::Draining), start);
    table.merge(agent("a", 1, MemberState::Suspect), start);
    BOOST_TEST((recordOf(table, "a").state == MemberState::Suspect));
    BOOST_TEST(recordOf(table, "a").draining);
    BOOST_TEST(table.view("izposoja").targets.front().draining);
}

BOOST_AUTO_TEST_CASE(LeftIsFinalForAnIncarnation)
{
    MemberTable table;
    table.merge(agent("a", 1, MemberState::Left), start);
    for (MemberState const state : { MemberState::Active, MemberState::Draining, MemberState::Suspect, MemberState::Dead })
        BOOST_TEST((table.merge(agent("a", 1, state), start).outcome == MemberTable::Outcome::Older));
    BOOST_TEST(table.view("izposoja").targets.empty());
}

// Two nodes that get the same records in any order, any number of times, must hold the same table.
BOOST_AUTO_TEST_CASE(OrderAndRepetitionDoNotMatter)
{
    std::vector<Member> records;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        for (MemberState const state : { MemberState::Active, MemberState::Draining, MemberState::Suspect, MemberState::Dead, MemberState::Left }) {
            records.push_back(agent("a", incarnation, state));
            records.push_back(records.back());
            records.back().weight = 50;
            records.push_back(records.back());
            records.back().service = "pregled";
        }
    }
    std::erase_if(records, [](Member const& member) { return member.incarnation == 3 && member.state >= MemberState::Dead; });
    RandomSource random(7);
    MemberTable reference;
    for (Member const& record : records)
        reference.merge(record, start);
    for (int round = 0; round < 200; ++round) {
        for (std::size_t left = records.size(); left > 1; --left)
            std::swap(records[random.below(left)], records[left - 1]);
        MemberTable table;
        for (std::size_t index = 0; index < records.size(); ++index) {
            table.merge(records[index], start);
            table.merge(records[random.below(index + 1)], start);
        }
        BOOST_REQUIRE((recordOf(table, "a") == recordOf(reference, "a")));
        BOOST_REQUIRE(table.digest(shardOf("a")) == reference.digest(shardOf("a")));
        BOOST_REQUIRE(table.view("izposoja").targets.size() + table.view("pregled").targets.size() == 1U);
    }
}

// Dead and live copies of one incarnation must settle, or they would travel for ever.
BOOST_AUTO_TEST_CASE(DeadAndLiveRecordsSettle)
{
    MemberTable first;
    MemberTable second;
    first.merge(agent("a", 4, MemberState::Dead), start);
    second.merge(agent("a", 4, MemberState::Active), start);
    int changes = 0;
    for (int round = 0; round < 10; ++round) {
        Member const toSecond = recordOf(first, "a");
        Member const toFirst = recordOf(second, "a");
        changes += first.merge(toFirst, start).outcome == MemberTable::Outcome::Changed ? 1 : 0;
        changes += second.merge(toSecond, start).outcome == MemberTable::Outcome::Changed ? 1 : 0;
    }
    BOOST_TEST(changes == 1);
    BOOST_TEST((recordOf(second, "a").state == MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(TombstonesExpireByTheAgeTheyBring)
{
    MemberTable table;
    table.merge(agent("fresh", 1, MemberState::Dead), start);
    table.merge(agent("old", 1, MemberState::Left), start, std::chrono::seconds { 500 });
    table.merge(agent("live", 1), start);
    BOOST_TEST(table.expire(start + std::chrono::seconds { 99 }).empty());
    std::vector<Member> const forgotten = table.expire(start + std::chrono::seconds { 101 });
    BOOST_REQUIRE(forgotten.size() == 1U);
    BOOST_TEST(forgotten.front().name == "old");
    BOOST_TEST(table.expire(start + MemberTable::tombstoneLifetime + std::chrono::seconds { 1 }).size() == 1U);
    BOOST_TEST(table.find("live") != nullptr);
    BOOST_TEST(table.size() == 1U);
    BOOST_TEST(table.tombstones() == 0U);
}

// A suspicion or a death must not renew the age of a tombstone, or it would never be forgotten.
BOOST_AUTO_TEST_CASE(AgeOfATombstoneIsNotRenewed)
{
    MemberTable table;
    table.merge(agent("a", 1, MemberState::Dead), start);
    table.merge(agent("a", 1, MemberState::Left), start + std::chrono::seconds { 300 });
    table.merge(agent("a", 1, MemberState::Left), start + std::chrono::seconds { 500 });
    BOOST_TEST(table.expire(start + MemberTable::tombstoneLifetime + std::chrono::seconds { 1 }).size() == 1U);
}

BOOST_AUTO_TEST_CASE(TombstonesAreBounded)
{
    MemberTable table;
    std::size_t const excess = 100;
    for (std::size_t index = 0; index < MemberTable::maximumTombstones + excess; ++index)
        table.merge(agent("agent-" + std::to_string(index), 1, MemberState::Dead), start + std::chrono::milliseconds { index });
    BOOST_TEST(table.expire(start + std::chrono::seconds { 20 }).size() == excess);
    BOOST_TEST(table.tombstones() == MemberTable::maximumTombstones);
    BOOST_TEST(table.find("agent-0") == nullptr);
}

// Nodes forget tombstones at slightly different times; that alone must not start an exchange.
BOOST_AUTO_TEST_CASE(DigestsIgnoreTombstones)
{
    MemberTable table;
    table.merge(agent("a", 1), start);
    std::uint32_t const with = table.digest(shardOf("a"));
    BOOST_TEST(with != 0U);
    table.merge(agent("a", 1, MemberState::Dead), start);
    BOOST_TEST(table.digest(shardOf("a")) == 0U);
    table.merge(agent("a", 2), start);
    BOOST_TEST(table.digest(shardOf("a")) != with);
}
