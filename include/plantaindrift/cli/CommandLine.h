#pragma once

namespace plantaindrift::cli {

/// \brief Main function of the operators' command-line tool.
///
/// \returns exit code: 0 success, 1 failure, 2 wrong usage or invalid settings, 3 a concurrent change was accepted
///          first, 4 deadline passed, 5 platform unreachable
[[nodiscard]] int runCommandLine(int argc, char** argv);

} // namespace plantaindrift::cli
