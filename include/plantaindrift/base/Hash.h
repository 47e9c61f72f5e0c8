#pragma once

#include "plantaindrift/base/Types.h"

#include <cstdint>
#include <string_view>

namespace plantaindrift {

/// \brief Hashes a flow key with XXH3; every process gets the same value.
[[nodiscard]] FlowHash hashFlow(FlowKey const& key) noexcept;

/// \brief Hashes a service name with XXH3.
[[nodiscard]] ServiceHash hashService(std::string_view name) noexcept;

/// \brief Hashes a text with XXH3 and a seed.
[[nodiscard]] std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0) noexcept;

/// \brief Combines two 64-bit values into one well-mixed value.
[[nodiscard]] std::uint64_t mixHash(std::uint64_t first, std::uint64_t second) noexcept;

/// \brief Score of weighted rendezvous hashing, -weight/ln(h); the highest score ranks first.
///
/// \param nameHash  hash of the candidate's name
/// \param key       hash of what is placed (a bucket, a target, a shard)
/// \param weight    relative share, above 0
[[nodiscard]] double rendezvousScore(std::uint64_t nameHash, std::uint64_t key, double weight) noexcept;

} // namespace plantaindrift
