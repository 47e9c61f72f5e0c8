#pragma once

namespace plantaindrift::cli {

/// \brief Runs the operators' command line.
///
/// \returns the exit code: 0 ok, 1 failed, 2 usage or bad settings, 3 lost race, 4 deadline passed, 5 platform
///          unreachable
[[nodiscard]] int runCommandLine(int argc, char** argv);

} // namespace plantaindrift::cli
