// Guards against log lines that cannot be parsed: each event has to be one line of key=value pairs.

#include "plantaindrift/runtime/Log.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace plantaindrift;

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
