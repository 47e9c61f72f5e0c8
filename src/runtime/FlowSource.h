#pragma once

#include "plantaindrift/base/Types.h"

#include "absl/status/statusor.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Where the list of a target's open flows comes from; blocking.
class FlowSource {
public:
    virtual ~FlowSource() = default;

    /// \brief Flows open at the target, with the caller as source.
    [[nodiscard]] virtual absl::StatusOr<std::vector<FlowKey>> list() = 0;
};

/// \brief Reads a JSON list of {"source", "destination", "protocol"} from the target's own endpoint.
[[nodiscard]] std::unique_ptr<FlowSource> makeHttpFlowSource(std::string const& url, std::chrono::milliseconds timeout);

/// \brief Reads the TCP socket table of this machine; UDP flows have no entry there.
///
/// \param file  "/proc/net/tcp", or a copy in tests
[[nodiscard]] std::unique_ptr<FlowSource> makeKernelFlowSource(std::string const& file);

/// \brief Reads the JSON list of flows; errors are InvalidMessage.
[[nodiscard]] absl::StatusOr<std::vector<FlowKey>> parseFlowList(std::string_view json);

/// \brief Reads the kernel's socket table: connections that are neither listening nor in TIME_WAIT.
[[nodiscard]] std::vector<FlowKey> parseSocketTable(std::string_view table);

} // namespace plantaindrift
