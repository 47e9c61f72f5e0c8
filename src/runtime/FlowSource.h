#pragma once

#include "plantaindrift/base/Types.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Source of the list of a target's open flows; blocking.
class FlowSource {
public:
    virtual ~FlowSource() = default;

    /// \brief Lists the flows open at the target, with the caller as source.
    [[nodiscard]] virtual absl::StatusOr<std::vector<FlowKey>> list() = 0;
};

/// \brief Creates a source that requests a JSON list of {"source", "destination", "protocol"} from the target.
[[nodiscard]] std::unique_ptr<FlowSource> makeHttpFlowSource(std::string const& url, std::chrono::milliseconds timeout);

/// \brief Creates a source that reads the TCP socket table of this machine, which does not contain UDP flows.
///
/// \param file  "/proc/net/tcp", or a copy in tests
[[nodiscard]] std::unique_ptr<FlowSource> makeKernelFlowSource(std::string const& file);

/// \brief Parses the JSON list of flows; errors are InvalidMessage.
[[nodiscard]] absl::StatusOr<std::vector<FlowKey>> parseFlowList(std::string_view json);

/// \brief Parses the kernel's socket table.
///
/// \returns connections that are not in the state LISTEN, SYN_SENT, TIME_WAIT or CLOSE
[[nodiscard]] std::vector<FlowKey> parseSocketTable(std::string_view table);

} // namespace plantaindrift
