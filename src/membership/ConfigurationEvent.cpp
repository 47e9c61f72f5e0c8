#include "plantaindrift/membership/ConfigurationEvent.h"

#include <array>

namespace plantaindrift {

std::string_view configurationStepName(ConfigurationStep step) noexcept
{
    constexpr std::array<std::string_view, 6> names { "peer_ahead", "changes_requested", "fetch_started", "fetch_completed", "fetch_abandoned", "answer_withheld" };
    return names[static_cast<std::size_t>(step)];
}

} // namespace plantaindrift
