#include "plantaindrift/membership/ConfigurationEvent.h"

#include <array>

namespace plantaindrift {

std::string_view configurationStepName(ConfigurationStep step) noexcept
{
    constexpr std::array<std::string_view, 5> names { "peer_ahead", "changes_requested", "snapshot_requested", "snapshot_taken", "answer_withheld" };
    return names[static_cast<std::size_t>(step)];
}

} // namespace plantaindrift
