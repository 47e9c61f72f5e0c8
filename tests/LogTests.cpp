// Guards against log lines that cannot be parsed: each event has to be one line of key=value pairs. Guards against
// processes that stand still, or end, because of the reader of their log.

#include "plantaindrift/runtime/Log.h"

#include "runtime/LogOutput.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace plantaindrift;
using namespace std::chrono_literals;

namespace {

constexpr int lineCount = 5000;

/// A pipe or a connected pair of sockets; the test closes or reads the first end.
struct Channel {
    int reader { -1 };
    int writer { -1 };

    static Channel openPipe()
    {
        std::array<int, 2> ends {};
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
        return { ends[0], ends[1] };
    }

    static Channel openSockets()
    {
        std::array<int, 2> ends {};
        BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
        return { ends[0], ends[1] };
    }

    /// Reads what has arrived.
    [[nodiscard]] std::string read() const
    {
        (void)::fcntl(reader, F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> part {};
        for (ssize_t count = 0; (count = ::read(reader, part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(count));
        return text;
    }
};

/// Runs a function in a process whose standard output is the channel. \returns its wait status, or nothing if it did not end
/// within five seconds
std::optional<int> runChild(Channel const& channel, std::function<void()> const& body)
{
    pid_t const child = ::fork();
    BOOST_REQUIRE(child >= 0);
    if (child == 0) {
        (void)std::signal(SIGPIPE, SIG_DFL);
        (void)::dup2(channel.writer, STDOUT_FILENO);
        (void)::close(channel.writer);
        (void)::close(channel.reader);
        body();
        ::_exit(0);
    }
    ::close(channel.writer);
    std::chrono::steady_clock::time_point const end = std::chrono::steady_clock::now() + 5s;
    int status = 0;
    while (std::chrono::steady_clock::now() < end) {
        if (::waitpid(child, &status, WNOHANG) == child)
            return status;
        std::this_thread::sleep_for(10ms);
    }
    (void)::kill(child, SIGKILL);
    (void)::waitpid(child, &status, 0);
    return std::nullopt;
}

void logManyLines()
{
    startLog(LogLevel::Info, "");
    for (int line = 0; line < lineCount; ++line)
        logEvent(LogLevel::Info, "flow", { { "number", line }, { "text", std::string(200, 'x') } });
}

std::string countNotice(std::uint64_t lines)
{
    return "left out " + std::to_string(lines);
}

std::size_t lineCountOf(std::string const& text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

BOOST_AUTO_TEST_CASE(ValuesAreQuotedWhenNeeded)
{
    std::vector<std::pair<std::string, std::string>> const rows {
        { "plain", "plain" },
        { "10.0.0.1:6081", "10.0.0.1:6081" },
        { "", "\"\"" },
        { "two words", "\"two words\"" },
        { "a=b", "\"a=b\"" },
        { "say \"no\"", "\"say \\\"no\\\"\"" },
        { "back\\slash", "\"back\\\\slash\"" },
        { "line\nbreak", "\"line\\nbreak\"" },
        { "tab\there", "\"tab\\there\"" },
        { std::string("nul\0x", 5), "\"nul\\x00x\"" },
        { "\x1b[31m", "\"\\x1b[31m\"" },
        { "Vozički", "Vozički" },
    };
    for (std::pair<std::string, std::string> const& row : rows)
        BOOST_TEST(escapeLogValue(row.first) == row.second);
}

BOOST_AUTO_TEST_CASE(AnEventIsOneLine)
{
    std::string const line = formatLogLine(LogLevel::Warning, "target_lost", { { "name", "t 1" }, { "flows", 3 }, { "dead", true }, { "error", "first\nsecond event=fake" } });
    BOOST_TEST(line == "level=warning event=target_lost name=\"t 1\" flows=3 dead=true error=\"first\\nsecond event=fake\"");
    BOOST_TEST(line.find('\n') == std::string::npos);
}

// An agent stood still for 30 s while the platform did not read its log.
BOOST_AUTO_TEST_CASE(AProcessGoesOnWhileNobodyReadsItsLog)
{
    for (Channel const& channel : { Channel::openPipe(), Channel::openSockets() }) {
        std::optional<int> const status = runChild(channel, logManyLines);
        BOOST_REQUIRE(status.has_value());
        BOOST_TEST(*status == 0);
        std::string const text = channel.read();
        BOOST_TEST(text.find("number=0 ") != std::string::npos);
        BOOST_TEST(lineCountOf(text) < static_cast<std::size_t>(lineCount));
        ::close(channel.reader);
    }
}

// A process ended with SIGPIPE at its next line when the reader closed the pipe.
BOOST_AUTO_TEST_CASE(AProcessGoesOnWhenTheReaderOfItsLogCloses)
{
    for (Channel const& channel : { Channel::openPipe(), Channel::openSockets() }) {
        ::close(channel.reader);
        std::optional<int> const status = runChild(channel, logManyLines);
        BOOST_REQUIRE(status.has_value());
        BOOST_TEST(*status == 0);
    }
}

BOOST_AUTO_TEST_CASE(LinesAreAppendedToAFile)
{
    std::string const folder = std::string(PLANTAINDRIFT_BINARY_DIR) + "/log-test-" + std::to_string(::getpid());
    std::string const file = folder + "/entry.log";
    Channel const channel = Channel::openPipe();
    for (int run = 0; run < 2; ++run) {
        std::optional<int> const status = runChild(Channel { ::dup(channel.reader), ::dup(channel.writer) }, [&file] {
            startLog(LogLevel::Info, file);
            logEvent(LogLevel::Info, "started");
        });
        BOOST_TEST((status == 0));
    }
    Channel const written { ::open(file.c_str(), O_RDONLY), -1 };
    BOOST_TEST(lineCountOf(written.read()) == 2U);
    BOOST_TEST(channel.read().empty());
    std::filesystem::remove_all(folder);
}

// The reader has to learn how many lines it lacks, and each line has to be whole.
BOOST_AUTO_TEST_CASE(OmittedLinesAreCountedAndReported)
{
    Channel const channel = Channel::openPipe();
    LogOutput output(channel.writer, 10000, countNotice);
    std::string const line(99, 'x');
    for (int count = 0; count < 2000; ++count)
        output.write(line);
    std::uint64_t const omitted = output.omittedLines();
    BOOST_TEST(omitted > 0U);
    std::string text;
    for (int round = 0; round < 10; ++round) {
        text += channel.read();
        output.flush();
    }
    output.write("last");
    text += channel.read();
    BOOST_TEST(output.omittedLines() == 0U);
    std::string const end = "left out " + std::to_string(omitted) + "\nlast\n";
    BOOST_TEST(text.ends_with(end));
    std::size_t const written = 2000 - omitted;
    BOOST_TEST(text.size() == written * 100 + end.size());
    for (std::size_t index = 0; index < written; ++index)
        BOOST_REQUIRE(text.substr(100 * index, 100) == line + '\n');
    ::close(channel.reader);
    ::close(channel.writer);
}

// Other processes may write to the same pipe, and would fail if it no longer made them wait.
BOOST_AUTO_TEST_CASE(TheDescriptionOfAPipeIsLeftAsItIs)
{
    Channel const channel = Channel::openPipe();
    LogOutput const output(channel.writer, 10000, countNotice);
    BOOST_TEST((::fcntl(channel.writer, F_GETFL) & O_NONBLOCK) == 0);
    ::close(channel.reader);
    ::close(channel.writer);
}
