#include "plantaindrift/runtime/Log.h"

#include "runtime/LogOutput.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <easylogging++.h>
#include <fcntl.h>
#include <filesystem>
#include <memory>
#include <system_error>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

    // Lines of about a second at the limit of DecisionLog; instances have little memory.
    constexpr std::size_t logBufferBytes = std::size_t { 256 } * 1024;

    LogLevel minimumLevel = LogLevel::Info;
    std::unique_ptr<LogOutput> output;

    bool isPlain(std::string_view value) noexcept
    {
        for (char const character : value) {
            unsigned char const byte = static_cast<unsigned char>(character);
            if (byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' || byte == 0x7F)
                return false;
        }
        return !value.empty();
    }

    std::string timeText()
    {
        std::chrono::system_clock::time_point const now = std::chrono::system_clock::now();
        std::time_t const seconds = std::chrono::system_clock::to_time_t(now);
        std::int64_t const milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 32> date {};
        std::size_t const length = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::array<char, 8> fraction {};
        std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(milliseconds));
        return std::string(date.data(), length) + fraction.data();
    }

    void appendEscaped(std::string& output, char character)
    {
        unsigned char const byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            output += '\\';
            output += character;
        } else if (character == '\n') {
            output += "\\n";
        } else if (character == '\t') {
            output += "\\t";
        } else if (byte < ' ' || byte == 0x7F) {
            std::array<char, 8> code {};
            std::snprintf(code.data(), code.size(), "\\x%02x", byte);
            output += code.data();
        } else {
            output += character;
        }
    }

    std::string formatTimedLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    {
        return "time=" + timeText() + ' ' + formatLogLine(level, event, fields);
    }

    std::string formatOmittedLines(std::uint64_t lines)
    {
        return formatTimedLine(LogLevel::Warning, "lines_left_out", { { "lines", lines }, { "reason", "log_not_read" } });
    }

    /// Replaces the library's writer, which waits for the reader of a pipe on the thread that logs.
    class OutputCallback final : public el::LogDispatchCallback {
    protected:
        void handle(el::LogDispatchData const* data) override { output->write(data->logMessage()->message()); }
    };

    /// Opens the log file for appending. \returns a descriptor, or -1
    int openLogFile(std::string const& file)
    {
        std::error_code ignored;
        std::filesystem::create_directories(std::filesystem::path(file).parent_path(), ignored);
        constexpr mode_t permissions = 0644;
        return ::open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC | O_NONBLOCK, permissions);
    }

} // namespace

LogField::LogField(std::string_view fieldKey, std::string_view text)
    : key(fieldKey)
    , value(text)
{
}

LogField::LogField(std::string_view fieldKey, char const* text)
    : key(fieldKey)
    , value(text)
{
}

LogField::LogField(std::string_view fieldKey, bool flag)
    : key(fieldKey)
    , value(flag ? "true" : "false")
{
}

std::string escapeLogValue(std::string_view value)
{
    if (isPlain(value))
        return std::string(value);
    std::string output = "\"";
    for (char const character : value)
        appendEscaped(output, character);
    return output + '"';
}

std::string formatLogLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "level=";
    line += levelNames[static_cast<std::size_t>(level)];
    line += " event=";
    line += escapeLogValue(event);
    for (LogField const& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += escapeLogValue(field.value);
    }
    return line;
}

void startLog(LogLevel minimum, std::string const& file)
{
    minimumLevel = minimum;
    // The reader of the log may close its end of the pipe.
    (void)std::signal(SIGPIPE, SIG_IGN);
    int const opened = file.empty() ? -1 : openLogFile(file);
    output = std::make_unique<LogOutput>(opened >= 0 ? opened : STDOUT_FILENO, logBufferBytes, formatOmittedLines);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    el::Loggers::setDefaultConfigurations(configuration, true);
    el::Helpers::installLogDispatchCallback<OutputCallback>("PlantaindriftLogOutput");
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    if (!file.empty() && opened < 0)
        logEvent(LogLevel::Error, "log_file_not_opened", { { "file", file } });
}

void flushLog()
{
    if (output)
        output->flush();
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel)
        return;
    std::string const line = formatTimedLine(level, event, fields);
    if (level == LogLevel::Debug)
        LOG(DEBUG) << line;
    else if (level == LogLevel::Info)
        LOG(INFO) << line;
    else if (level == LogLevel::Warning)
        LOG(WARNING) << line;
    else
        LOG(ERROR) << line;
}

} // namespace plantaindrift
