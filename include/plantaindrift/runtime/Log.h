#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief Severity of a log line, lowest first.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error
};

/// \brief One key=value pair of a log line.
struct LogField {
    std::string key;
    std::string value;

    LogField(std::string_view fieldKey, std::string_view text);
    LogField(std::string_view fieldKey, char const* text);
    LogField(std::string_view fieldKey, bool flag);
    template <std::integral Number>
    LogField(std::string_view fieldKey, Number number)
        : key(fieldKey)
        , value(std::to_string(number))
    {
    }
    template <std::floating_point Number>
    LogField(std::string_view fieldKey, Number number)
        : key(fieldKey)
        , value(std::to_string(number))
    {
    }
};

/// \brief Quotes a value if it is empty or contains characters that would break the key=value format.
///
/// Quotes, backslashes and control characters are escaped, so that each event is one line.
[[nodiscard]] std::string escapeLogValue(std::string_view value);

/// \brief Formats an event without its time, such as "level=info event=started name=e1".
[[nodiscard]] std::string formatLogLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// \brief Sets the minimum level and the output: standard output if `file` is empty, else the file of this path.
///
/// The process never waits for the reader of the output, and ignores SIGPIPE from then on. Lines that do not fit into a
/// buffer while nobody reads are left out; the event lines_left_out gives their number.
void startLog(LogLevel minimum, std::string const& file);

/// \brief Writes buffered lines as far as the output takes them; call periodically.
void flushLog();

/// \brief Writes one event with the current time in UTC, unless its level is below the minimum.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace plantaindrift
