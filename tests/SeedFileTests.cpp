// Guards against processes that know the entries which the settings named at their start, and no others.
#include "plantaindrift/base/Error.h"
#include "runtime/SeedFile.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

TimePoint const start { 1000s };
Endpoint const first { 0x0A010001U, 7720 };
Endpoint const second { 0x0A010002U, 7720 };

/// A settings file, and what a reader makes of it: one seed for each line; a line that is not a number is invalid.
struct Settings {
    std::string folder { (std::filesystem::temp_directory_path() / "plantaindrift-seeds-XXXXXX").string() };
    std::string path;
    int reads { 0 };

    Settings()
    {
        BOOST_TEST_REQUIRE(mkdtemp(folder.data()) != nullptr);
        path = folder + "/settings.toml";
    }
    Settings(Settings const&) = delete;
    Settings& operator=(Settings const&) = delete;
    ~Settings() { std::filesystem::remove_all(folder); }

    void write(std::string const& text) const { std::ofstream(path) << text; }

    SeedFile::Reader reader()
    {
        return [this]() -> absl::StatusOr<std::vector<Endpoint>> {
            ++reads;
            std::ifstream stream(path);
            std::vector<Endpoint> seeds;
            for (std::uint32_t number = 0; stream >> number;)
                seeds.push_back({ 0x0A010000U + number, 7720 });
            if (!stream.eof())
                return makeError(ErrorKind::InvalidSettings, "not a number");
            return seeds;
        };
    }
};

using Seeds = std::vector<Endpoint>;

} // namespace

BOOST_AUTO_TEST_CASE(AChangeIsSeenWithoutASignal)
{
    Settings settings;
    settings.write("1");
    SeedFile file(settings.path, settings.reader());
    BOOST_TEST((file.takeChange(start) == Seeds { first }));
    settings.write("1 2");
    BOOST_TEST(!file.takeChange(start + 1s).has_value());
    BOOST_TEST((file.takeChange(start + 2s) == Seeds { first, second }));
    BOOST_TEST(!file.takeChange(start + 4s).has_value());
}

BOOST_AUTO_TEST_CASE(ASignalReadsTheFileAtOnce)
{
    Settings settings;
    settings.write("1");
    SeedFile file(settings.path, settings.reader());
    BOOST_TEST(file.takeChange(start).has_value());
    settings.write("2");
    file.requestRead();
    BOOST_TEST((file.takeChange(start + 100ms) == Seeds { second }));
}

// The platform may be writing the file at the moment.
BOOST_AUTO_TEST_CASE(AnInvalidFileChangesNothing)
{
    Settings settings;
    settings.write("1");
    SeedFile file(settings.path, settings.reader());
    BOOST_TEST(file.takeChange(start).has_value());
    settings.write("1 x");
    BOOST_TEST(!file.takeChange(start + 2s).has_value());
    settings.write("1 2");
    BOOST_TEST((file.takeChange(start + 4s) == Seeds { first, second }));
}

BOOST_AUTO_TEST_CASE(AFileThatDidNotChangeIsNotReadAgain)
{
    Settings settings;
    settings.write("1");
    SeedFile file(settings.path, settings.reader());
    for (int second = 0; second < 60; ++second)
        (void)file.takeChange(start + std::chrono::seconds { second });
    BOOST_TEST(settings.reads == 1);
}
