#pragma once

#include "plantaindrift/membership/EvacuationSet.h"
#include "runtime/MetricsPage.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief Logs starts and ends of evacuations and reports those in force.
class EvacuationLog {
public:
    /// \brief Logs evacuation_started and evacuation_ended for each data centre that changed.
    void record(EvacuationChange const& change, std::chrono::system_clock::time_point now);

    /// \brief Adds the evacuated data centres and since when this process has known of them.
    void addMetrics(MetricsPage& page) const;

private:
    std::map<std::string, std::chrono::system_clock::time_point> evacuations_; ///< start by data centre
    std::uint64_t started_ { 0 };
    std::uint64_t ended_ { 0 };

    static void log(std::string_view event, std::string const& dataCentre, EvacuationChange const& change);
};

} // namespace plantaindrift
