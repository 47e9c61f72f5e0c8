#include "membership/ShardExchange.h"

#include "configuration/ProtobufConversion.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace plantaindrift {

namespace {

    constexpr unsigned halfBits = 32;

    // Tag and length of a field, and of the reply in its envelope.
    constexpr std::size_t framingBytes = 16;

    using Versions = std::unordered_map<std::uint32_t, std::uint32_t>;

    [[nodiscard]] Versions readVersions(control::ShardRequest const& request)
    {
        Versions versions;
        for (std::uint64_t const packed : request.versions())
            versions[static_cast<std::uint32_t>(packed >> halfBits)] = static_cast<std::uint32_t>(packed);
        return versions;
    }

    // Removes the record's key and returns true if the requester has this version.
    [[nodiscard]] bool takeSame(Versions& versions, MemberTable::Record const& record)
    {
        auto const found = versions.find(nameKey(record.member.name));
        if (found == versions.end())
            return false;
        bool const same = found->second == record.version;
        versions.erase(found);
        return same;
    }

} // namespace

void writeDigests(MemberTable const& table, control::DigestRequest& request)
{
    for (std::size_t shard = 0; shard < shardCount; ++shard)
        request.add_digests(table.digest(shard));
}

std::vector<std::uint32_t> differingShards(MemberTable const& table, control::DigestRequest const& request)
{
    std::vector<std::uint32_t> shards;
    for (std::size_t shard = 0; shard < shardCount; ++shard) {
        if (request.digests(static_cast<int>(shard)) != table.digest(shard))
            shards.push_back(static_cast<std::uint32_t>(shard));
    }
    return shards;
}

void addVersions(MemberTable const& table, std::uint32_t shard, control::ShardRequest& request)
{
    request.add_shards(shard);
    for (auto const& [name, record] : table.shard(shard))
        request.add_versions((static_cast<std::uint64_t>(nameKey(name)) << halfBits) | record.version);
}

bool isValid(control::ShardRequest const& request) noexcept
{
    bool const few = static_cast<std::size_t>(request.shards_size()) <= shardCount;
    return few && std::all_of(request.shards().begin(), request.shards().end(), [](std::uint32_t shard) { return shard < shardCount; });
}

void answerMembers(MemberTable const& table, control::ShardRequest const& request, TimePoint now, control::ShardReply& reply)
{
    Versions versions = readVersions(request);
    std::size_t bytes = 0;
    for (std::uint32_t const shard : request.shards()) {
        reply.add_shards(shard);
        for (auto const& [name, record] : table.shard(shard)) {
            bool const full = !request.everything() && bytes >= answerBytes;
            if (takeSame(versions, record) || full)
                continue;
            control::Member& member = *reply.add_members();
            toProtobuf(record.member, MemberTable::tombstoneAge(record, now), member);
            bytes += member.ByteSizeLong();
        }
    }
    for (auto const& [key, version] : versions)
        reply.add_wanted(key);
}

void answerServices(ChangeLog const& log, control::ShardRequest const& request, std::size_t maximumBytes, control::ShardReply& reply)
{
    std::size_t bytes = reply.ByteSizeLong() + framingBytes;
    std::vector<bool> asked(shardCount);
    for (std::uint32_t const shard : request.shards())
        asked[shard] = true;
    for (Service const& service : log.configuration().services) {
        if (!asked[shardOf(service.name)])
            continue;
        control::Service message;
        toProtobuf(service, message);
        std::size_t const added = message.ByteSizeLong() + framingBytes;
        if (bytes + added > maximumBytes) {
            reply.set_services_left_out(true);
            continue;
        }
        bytes += added;
        *reply.add_services() = std::move(message);
    }
}

void answerChanges(ChangeLog const& log, control::ShardRequest const& request, std::size_t maximumBytes, control::ShardReply& reply)
{
    std::size_t const otherBytes = reply.ByteSizeLong() + framingBytes;
    std::size_t bytes = 0;
    for (ConfigurationChange const& change : log.changesAfter(request.after_position())) {
        if (bytes >= answerBytes)
            break;
        control::ConfigurationChange message;
        toProtobuf(change, message);
        bytes += message.ByteSizeLong() + framingBytes;
        if (otherBytes + bytes > maximumBytes)
            break;
        *reply.add_changes() = std::move(message);
    }
}

} // namespace plantaindrift
