#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/membership/Member.h"
#include "plantaindrift/membership/ServiceView.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantaindrift {

/// \brief Number of shards that anti-entropy compares.
inline constexpr std::size_t shardCount = 64;

/// \brief Shard of a member's or service's name.
[[nodiscard]] std::size_t shardOf(std::string_view name) noexcept;

/// \brief 32-bit hash of a name, used where records are listed.
[[nodiscard]] std::uint32_t nameKey(std::string_view name) noexcept;

/// \brief The newest record of every member, merged so that the order of arrival does not matter.
///
/// The higher incarnation wins. Within one incarnation the later state wins and `draining` stays set once it
/// is set, so left is final. Dead and left records are kept as tombstones for a limited time and number.
class MemberTable {
public:
    /// \brief Time for which a dead or left record is kept, counted from when it was first seen as such anywhere.
    ///
    /// Longer than a record can travel: otherwise a late copy of the live record would bring it back.
    static constexpr std::chrono::seconds tombstoneLifetime { 600 };

    /// \brief Most tombstones kept; a lost region leaves 4,900 at the two-year size.
    static constexpr std::size_t maximumTombstones = 16384;

    struct Record {
        Member member;
        std::uint32_t version { 0 }; ///< hash of the whole record
        std::uint32_t base { 0 }; ///< hash of the record without incarnation, state and draining
        TimePoint goneSince; ///< when it became dead or left
    };

    enum class Outcome : std::uint8_t {
        Changed, ///< the table took the record, or a part of it
        Same, ///< the table holds the same record
        Older ///< the table holds a newer record
    };

    struct Merge {
        Outcome outcome { Outcome::Same };
        std::optional<Member> before; ///< the replaced record, if there was one and it changed
    };

    /// \brief Merges a record.
    ///
    /// \param tombstoneAge  for a dead or left record, the time since it was first seen as such
    Merge merge(Member const& member, TimePoint now, std::chrono::seconds tombstoneAge = std::chrono::seconds { 0 });

    /// \brief Forgets a member at once.
    void erase(std::string_view name);

    /// \brief Forgets tombstones that are too old or too many.
    ///
    /// \returns the records that were forgotten
    std::vector<Member> expire(TimePoint now);

    [[nodiscard]] Record const* find(std::string_view name) const;

    /// \brief The record with this name key and base, if there is one.
    [[nodiscard]] Record const* findBase(std::uint32_t key, std::uint32_t base) const;

    /// \brief Age of a tombstone; 0 for other records.
    [[nodiscard]] static std::chrono::seconds tombstoneAge(Record const& record, TimePoint now) noexcept;

    [[nodiscard]] std::map<std::string, Record, std::less<>> const& shard(std::size_t index) const noexcept { return shards_[index]; }

    /// \brief Sum of the versions of a shard's records without tombstones.
    ///
    /// Tombstones are left out because nodes forget them at slightly different times.
    [[nodiscard]] std::uint32_t digest(std::size_t shard) const noexcept { return digests_[shard]; }

    /// \brief Records of the entries, by name.
    [[nodiscard]] std::map<std::string_view, Record const*> const& entries() const noexcept { return entries_; }

    /// \brief Records of a service's agents, tombstones included.
    [[nodiscard]] std::vector<Record const*> ofService(std::string_view service) const;

    [[nodiscard]] ServiceView view(std::string_view service) const;

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] std::size_t tombstones() const noexcept { return tombstones_.size(); }

private:
    using Shard = std::map<std::string, Record, std::less<>>;

    Merge insert(Member const& member, TimePoint goneSince);
    void replace(Record& record, Member const& member, TimePoint goneSince);
    void link(Record const& record);
    void unlink(Record const& record);
    void forget(Record const& record);

    std::array<Shard, shardCount> shards_;
    std::array<std::uint32_t, shardCount> digests_ {};
    std::unordered_multimap<std::uint32_t, Record const*> byBase_;
    std::map<std::string_view, Record const*> entries_;
    std::map<std::string, std::set<std::string_view>, std::less<>> services_;
    std::set<std::pair<TimePoint, std::string_view>> tombstones_;
    std::size_t size_ { 0 };
};

} // namespace plantaindrift
