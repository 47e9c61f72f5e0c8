#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace plantaindrift {

/// \brief Smallest and largest accepted value of a numeric field.
struct NumberRange {
    std::uint64_t least;
    std::uint64_t most;
};

inline constexpr NumberRange connectionsRange { 1, 1'000'000 };
inline constexpr NumberRange slotsRange { 1, 65'535 };
inline constexpr NumberRange queuePerSlotRange { 0, 1'000 };
// The route option carries up to 8 candidates.
inline constexpr NumberRange huntLimitRange { 1, 8 };
inline constexpr NumberRange slowStartSecondsRange { 0, 3'600 };
// A deadline of 0 would cut off requests in progress at a planned stop; the upper bound is 30 days.
inline constexpr NumberRange drainDeadlineSecondsRange { 1, 2'592'000 };
// In thousandths of a request per second.
inline constexpr NumberRange coldRateRange { 0, 10'000'000 };

inline constexpr std::size_t longestName = 63;
inline constexpr std::size_t longestOperationId = 128;
inline constexpr std::size_t longestAuthor = 128;
inline constexpr std::size_t longestReason = 1'024;
inline constexpr std::size_t mostServices = 10'000;
inline constexpr std::size_t mostAddresses = 1'024;
inline constexpr std::size_t mostTargets = 1'024;
inline constexpr std::size_t mostDataCentres = 64;

/// \brief True for 1 to 63 letters, digits, '.', '_' and '-', starting with a letter or digit.
///
/// Names become parts of platform keys, so '/' and characters that URLs escape are not allowed.
[[nodiscard]] bool isName(std::string_view text) noexcept;

/// \brief True for a name, a name's start followed by '*', or '*' alone.
[[nodiscard]] bool isTargetPattern(std::string_view text) noexcept;

/// \brief True for valid UTF-8 without control characters.
[[nodiscard]] bool isPrintableText(std::string_view text) noexcept;

/// \brief Position of the first byte that is not valid UTF-8, or npos.
[[nodiscard]] std::size_t findInvalidUtf8(std::string_view text) noexcept;

inline constexpr std::string_view nameRemedy = "use 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit";
inline constexpr std::string_view targetPatternRemedy = "use a target name, or the start of one followed by '*'";

} // namespace plantaindrift
