// Guards against figures in docs/CAPACITY.md that the code no longer gives.

#include <boost/test/unit_test.hpp>

#include <array>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <regex>
#include <string>

namespace {

struct Quoted {
    double value { 0 };
    double tolerance { 0 };
};

// Rows "| key | value | tolerance |" of the page whose value and tolerance are numbers.
std::map<std::string, Quoted> readPage()
{
    std::ifstream page(PLANTAINDRIFT_SOURCE_DIR "/docs/CAPACITY.md");
    std::regex const row(R"(\| ([a-z_]+) \| ([0-9.]+) \| ([0-9.]+) \|)");
    std::map<std::string, Quoted> quoted;
    for (std::string line; std::getline(page, line);) {
        std::smatch match;
        if (std::regex_match(line, match, row))
            quoted[match[1]] = { std::stod(match[2]), std::stod(match[3]) };
    }
    return quoted;
}

std::map<std::string, double> measure()
{
    std::map<std::string, double> measured;
    std::FILE* const output = popen(PLANTAINDRIFT_BINARY_DIR "/bin/bench-capacity --exact 2>/dev/null", "r");
    BOOST_REQUIRE(output != nullptr);
    std::array<char, 256> line {};
    while (std::fgets(line.data(), static_cast<int>(line.size()), output) != nullptr) {
        std::string const text(line.data());
        std::size_t const equals = text.find('=');
        if (equals != std::string::npos)
            measured[text.substr(0, equals)] = std::stod(text.substr(equals + 1));
    }
    BOOST_REQUIRE(pclose(output) == 0);
    return measured;
}

} // namespace

BOOST_AUTO_TEST_CASE(QuotedFiguresEqualMeasuredOnes)
{
    std::map<std::string, Quoted> const page = readPage();
    std::map<std::string, double> const measured = measure();
    BOOST_REQUIRE(page.size() >= 14U);
    for (auto const& [key, quoted] : page) {
        BOOST_REQUIRE_MESSAGE(measured.contains(key), key << " is on the page but is not measured");
        double const value = measured.at(key);
        BOOST_TEST(std::abs(value - quoted.value) <= quoted.tolerance * quoted.value, key << " is " << value << ", the page says " << quoted.value);
    }
}
