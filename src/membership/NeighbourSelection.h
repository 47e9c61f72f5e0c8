#pragma once

#include "membership/RandomSource.h"
#include "plantaindrift/membership/MemberTable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief Chooses the entries that receive gossip: 2 in the own data centre and 2 elsewhere.
///
/// One of each pair is the successor in the order of name hashes, so that every entry is somebody's neighbour;
/// the other is drawn anew for each round, so that a delta crosses the fleet in a logarithmic number of rounds.
class NeighbourSelection {
public:
    explicit NeighbourSelection(Member const& self);

    /// \brief Takes the live entries from the table.
    void update(MemberTable const& table);

    /// \brief Control endpoints for one round, without duplicates.
    [[nodiscard]] std::vector<Endpoint> choose(RandomSource& random) const;

    /// \brief A random live entry, unset if there is none.
    [[nodiscard]] Endpoint randomPeer(RandomSource& random) const;

    /// \brief Control endpoints of all live entries but this one.
    [[nodiscard]] std::vector<Endpoint> peers() const;

    /// \brief Live entries but this one.
    [[nodiscard]] std::size_t size() const noexcept { return here_.size() + elsewhere_.size(); }

private:
    using Ring = std::vector<std::pair<std::uint64_t, Endpoint>>;

    void chooseFrom(Ring const& ring, RandomSource& random, std::vector<Endpoint>& chosen) const;

    std::string name_;
    std::string dataCentre_;
    std::uint64_t hash_;
    Ring here_;
    Ring elsewhere_;
};

} // namespace plantaindrift
