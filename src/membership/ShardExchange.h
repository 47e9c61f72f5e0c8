#pragma once

#include "plantaindrift/configuration/ChangeLog.h"
#include "plantaindrift/membership/MemberTable.h"

#include "control.pb.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantaindrift {

/// \brief Most bytes of records or changes in one answer to a comparison.
inline constexpr std::size_t answerBytes = 6000;

/// \brief Most record versions in one request; 8 bytes each.
inline constexpr std::size_t versionsPerRequest = 320;

/// \brief Writes the digests of all shards.
void writeDigests(MemberTable const& table, control::DigestRequest& request);

/// \brief Shards whose digests differ; false in `valid` if the message has another number of them.
[[nodiscard]] std::vector<std::uint32_t> differingShards(MemberTable const& table, control::DigestRequest const& request);

/// \brief Adds a shard and the versions of its records to a request.
void addVersions(MemberTable const& table, std::uint32_t shard, control::ShardRequest& request);

/// \brief True if all shards of a request exist.
[[nodiscard]] bool isValid(control::ShardRequest const& request) noexcept;

/// \brief Adds the records that the request asks for, and the keys of those that this node lacks.
void answerMembers(MemberTable const& table, control::ShardRequest const& request, TimePoint now, control::ShardReply& reply);

/// \brief Adds the services of the requested shards to a reply, and sets services_left_out if some do not fit into the message.
void answerServices(ChangeLog const& log, control::ShardRequest const& request, std::size_t maximumBytes, control::ShardReply& reply);

/// \brief Adds the changes after the requested position, oldest first, up to answerBytes, and none from the first on that does not fit
/// into the message: a requester that gets no change requests the whole configuration.
void answerChanges(ChangeLog const& log, control::ShardRequest const& request, std::size_t maximumBytes, control::ShardReply& reply);

} // namespace plantaindrift
