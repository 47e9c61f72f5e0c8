#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Smallest round trip between an entry and the agents of each data centre.
///
/// Measured from an opening segment to the owner notice that answers it. The smallest value of the last minute leaves out
/// the waits in links and processes, which are no property of the distance.
class SiteDelays {
public:
    /// \param localDataCentre  gets index 0
    explicit SiteDelays(std::string localDataCentre);

    /// \brief Index of a data centre; adds it if it is new.
    [[nodiscard]] std::size_t indexOf(std::string_view dataCentre);

    [[nodiscard]] std::size_t size() const noexcept { return sites_.size(); }
    [[nodiscard]] std::string const& nameOf(std::size_t site) const noexcept { return sites_[site].name; }

    void record(std::size_t site, Duration roundTrip, TimePoint now) noexcept;

    /// \brief Time by which a round trip to the data centre exceeds one within the entry's own, in 0.1 ms.
    ///
    /// \returns empty if none of the two was measured in the last ten minutes
    [[nodiscard]] std::optional<double> extraTenthMs(std::size_t site, TimePoint now) const noexcept;

private:
    struct Site {
        std::string name;
        Duration current { 0 }; ///< smallest since windowStart
        Duration former { 0 }; ///< smallest of the window before
        TimePoint windowStart;
        TimePoint last; ///< last measurement; the epoch if there was none
        bool hasFormer { false };

        [[nodiscard]] Duration smallest() const noexcept;
    };

    std::vector<Site> sites_;
};

} // namespace plantaindrift
