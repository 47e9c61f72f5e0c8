#pragma once

#include "plantaindrift/base/Types.h"
#include "relay/HashTable.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace plantaindrift {

/// \brief Owners of flows at other targets, as reported by entries, or known from opening segments that were passed on.
///
/// A record may be wrong: the owner confirms or refutes it.
class OwnerRecords {
public:
    /// \brief Records the owner of a flow; without an effect if the table is full.
    void record(std::uint64_t flowHash, Endpoint owner, TimePoint expires);

    /// \brief The recorded owner of a flow; empty if there is none or its record has expired.
    [[nodiscard]] std::optional<Endpoint> find(std::uint64_t flowHash, TimePoint now) noexcept;

    /// \brief Discards expired records.
    void sweep(TimePoint now);

private:
    struct Record {
        std::uint64_t hash { 0 };
        bool used { false };
        Endpoint owner;
        TimePoint expires;
    };

    static constexpr std::size_t maximumRecords = 1U << 15U;

    HashTable<Record> records_ { maximumRecords };
};

} // namespace plantaindrift
