// Guards against daemons that exit with another code than the documented 2 when started with invalid arguments.

#include "support/ChildProcess.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace {

struct WrongStart {
    std::vector<std::string> arguments;
    std::string remedy;
};

std::vector<WrongStart> const wrongStarts {
    { {}, "no settings file is named" },
    { { "--settings" }, "flag --settings has no value" },
    { { "--setting=x" }, "unknown flag --setting" },
    { { "--settings=/nonexistent", "--check=perhaps" }, "flag --check has a value of the wrong type" },
    { { "--settings=/nonexistent", "file" }, "unexpected argument file" },
    { { "--settings=/nonexistent" }, "check its path and permissions" },
};

} // namespace

BOOST_AUTO_TEST_CASE(InvalidArgumentsExitWithCode2)
{
    for (std::string const& program : { std::string("plantaindrift-entry"), std::string("plantaindrift-agent") }) {
        for (WrongStart const& wrong : wrongStarts) {
            std::vector<std::string> command { std::string(PLANTAINDRIFT_BINARY_DIR) + "/bin/" + program };
            command.insert(command.end(), wrong.arguments.begin(), wrong.arguments.end());
            plantaindrift::test::ChildProcess::Result const result = plantaindrift::test::ChildProcess(command).finish(std::chrono::seconds(60));
            BOOST_TEST(result.exitCode == 2, program << ' ' << wrong.remedy);
            BOOST_TEST(result.errors.find(wrong.remedy) != std::string::npos, program << ": " << result.errors);
        }
    }
}
