#pragma once

#include "plantaindrift/membership/ServiceView.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Logs how the views of services change: one line for each target that was added, removed or changed its state.
class ViewLog {
public:
    /// \brief Maximum number of lines about targets for one change of a view; the first view of a start exceeds it.
    static constexpr std::size_t maximumTargetLines = 32;

    /// \brief Logs the differences to the service's previous view, and the view's size and fingerprint.
    void recordView(ServiceView const& view);

private:
    std::map<std::string, std::vector<ViewTarget>, std::less<>> targets_; ///< by service, sorted by name
    std::size_t targetLines_ { 0 }; ///< lines about the present change

    void logDifferences(ServiceView const& view, std::vector<ViewTarget> const& previous);
    void logTarget(std::string_view change, std::string_view service, ViewTarget const& target);
};

} // namespace plantaindrift
