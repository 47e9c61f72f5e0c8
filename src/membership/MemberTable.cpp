#include "plantaindrift/membership/MemberTable.h"

#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <tuple>

namespace plantaindrift {

namespace {

    [[nodiscard]] bool isGone(Member const& member) noexcept
    {
        return member.state == MemberState::Dead || member.state == MemberState::Left;
    }

    // Everything but incarnation, state and draining; only a new incarnation may change it.
    [[nodiscard]] auto describe(Member const& member)
    {
        return std::tie(member.role, member.dataCentre, member.service, member.data, member.control, member.weight, member.slots, member.connections);
    }

    [[nodiscard]] std::uint64_t pack(Endpoint endpoint) noexcept
    {
        return (static_cast<std::uint64_t>(endpoint.address) << 16U) | endpoint.port;
    }

    [[nodiscard]] std::uint32_t versionOf(Member const& member) noexcept
    {
        std::uint64_t const state = (static_cast<std::uint64_t>(member.state) << 2U) | (member.draining ? 2U : 0U) | static_cast<std::uint64_t>(member.role);
        std::uint64_t const numbers = (static_cast<std::uint64_t>(member.connections) << 32U) | (static_cast<std::uint64_t>(member.weight) << 16U) | member.slots;
        std::uint64_t hash = hashText(member.name, member.incarnation);
        hash = mixHash(hash, state);
        hash = mixHash(hash, hashText(member.dataCentre, hashText(member.service)));
        hash = mixHash(hash, pack(member.data));
        hash = mixHash(hash, pack(member.control));
        hash = mixHash(hash, numbers);
        return static_cast<std::uint32_t>(hash >> 32U);
    }

    [[nodiscard]] std::uint32_t baseOf(Member const& member)
    {
        Member base = member;
        base.state = MemberState::Active;
        base.draining = false;
        base.incarnation = 0;
        return versionOf(base);
    }

    // Joins two records of one incarnation; the result does not depend on the order.
    [[nodiscard]] Member join(Member const& first, Member const& second)
    {
        Member joined = describe(first) < describe(second) ? second : first;
        joined.state = std::max(first.state, second.state);
        // The flag has no meaning for a tombstone; without it, late drain records leave the tombstone as it is.
        joined.draining = !isGone(joined) && (first.draining || second.draining || joined.state == MemberState::Draining);
        // A suspect record hides a draining state; the flag keeps it, and the state of a draining member follows the flag.
        if (joined.state == MemberState::Active && joined.draining)
            joined.state = MemberState::Draining;
        return joined;
    }

} // namespace

std::size_t shardOf(std::string_view name) noexcept
{
    return hashText(name) % shardCount;
}

std::uint32_t nameKey(std::string_view name) noexcept
{
    return static_cast<std::uint32_t>(hashText(name) >> 32U);
}

MemberTable::Merge MemberTable::merge(Member const& member, TimePoint now, std::chrono::seconds tombstoneAge)
{
    Member const normal = join(member, member);
    TimePoint const goneSince = now - std::min(tombstoneAge, tombstoneLifetime);
    Shard& shard = shards_[shardOf(member.name)];
    Shard::iterator const found = shard.find(member.name);
    if (found == shard.end())
        return insert(normal, goneSince);
    Record& record = found->second;
    if (normal.incarnation < record.member.incarnation)
        return { Outcome::Older, std::nullopt };
    Member const joined = normal.incarnation > record.member.incarnation ? normal : join(record.member, normal);
    if (joined == record.member)
        return { joined == normal ? Outcome::Same : Outcome::Older, std::nullopt };
    Merge merge { Outcome::Changed, record.member };
    replace(record, joined, isGone(*merge.before) && isGone(joined) ? record.goneSince : goneSince);
    return merge;
}

MemberTable::Merge MemberTable::insert(Member const& member, TimePoint goneSince)
{
    Record& record = shards_[shardOf(member.name)][member.name];
    record = { member, versionOf(member), baseOf(member), goneSince };
    link(record);
    ++size_;
    return { Outcome::Changed, std::nullopt };
}

void MemberTable::replace(Record& record, Member const& member, TimePoint goneSince)
{
    unlink(record);
    record.member = member;
    record.version = versionOf(member);
    record.base = baseOf(member);
    record.goneSince = goneSince;
    link(record);
}

void MemberTable::link(Record const& record)
{
    Member const& member = record.member;
    byBase_.emplace(record.base, &record);
    if (member.role == MemberRole::Entry)
        entries_[member.name] = &record;
    else
        services_[member.service].insert(member.name);
    if (isGone(member))
        tombstones_.emplace(record.goneSince, member.name);
    else
        digests_[shardOf(member.name)] += record.version;
}

void MemberTable::unlink(Record const& record)
{
    Member const& member = record.member;
    auto const [first, last] = byBase_.equal_range(record.base);
    byBase_.erase(std::find_if(first, last, [&record](std::pair<std::uint32_t const, Record const*> const& known) { return known.second == &record; }));
    if (member.role == MemberRole::Entry) {
        entries_.erase(member.name);
    } else {
        auto const service = services_.find(member.service);
        service->second.erase(member.name);
        if (service->second.empty())
            services_.erase(service);
    }
    if (isGone(member))
        tombstones_.erase({ record.goneSince, member.name });
    else
        digests_[shardOf(member.name)] -= record.version;
}

void MemberTable::erase(std::string_view name)
{
    Record const* const record = find(name);
    if (record != nullptr)
        forget(*record);
}

void MemberTable::forget(Record const& record)
{
    unlink(record);
    Shard& shard = shards_[shardOf(record.member.name)];
    shard.erase(shard.find(record.member.name));
    --size_;
}

std::vector<Member> MemberTable::expire(TimePoint now)
{
    std::vector<Member> forgotten;
    while (!tombstones_.empty()) {
        bool const tooOld = now - tombstones_.begin()->first > tombstoneLifetime;
        if (!tooOld && tombstones_.size() <= maximumTombstones)
            break;
        Record const* const record = find(tombstones_.begin()->second);
        forgotten.push_back(record->member);
        forget(*record);
    }
    return forgotten;
}

MemberTable::Record const* MemberTable::find(std::string_view name) const
{
    Shard const& shard = shards_[shardOf(name)];
    Shard::const_iterator const found = shard.find(name);
    return found == shard.end() ? nullptr : &found->second;
}

MemberTable::Record const* MemberTable::findBase(std::uint32_t key, std::uint32_t base) const
{
    auto const [first, last] = byBase_.equal_range(base);
    auto const found = std::find_if(first, last, [key](std::pair<std::uint32_t const, Record const*> const& known) { return nameKey(known.second->member.name) == key; });
    return found == last ? nullptr : found->second;
}

std::chrono::seconds MemberTable::tombstoneAge(Record const& record, TimePoint now) noexcept
{
    if (!isGone(record.member) || now < record.goneSince)
        return std::chrono::seconds { 0 };
    return std::chrono::duration_cast<std::chrono::seconds>(now - record.goneSince);
}

std::vector<MemberTable::Record const*> MemberTable::ofService(std::string_view service) const
{
    std::vector<Record const*> records;
    auto const found = services_.find(service);
    if (found == services_.end())
        return records;
    for (std::string_view const name : found->second)
        records.push_back(find(name));
    return records;
}

ServiceView MemberTable::view(std::string_view service) const
{
    std::vector<Member> members;
    for (Record const* const record : ofService(service))
        members.push_back(record->member);
    return makeServiceView(service, members);
}

} // namespace plantaindrift
