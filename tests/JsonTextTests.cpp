// Guards against objects that others wrote and that spoil the reading of the objects beside them.
#include "JsonText.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace plantaindrift;

std::vector<std::string> split(std::string_view text, char open)
{
    std::vector<std::string> found;
    division::JsonParts parts(text, open);
    while (std::optional<std::string_view> const part = parts.next())
        found.emplace_back(*part);
    return found;
}

nlohmann::json randomValue(std::minstd_rand& random, int depth)
{
    static std::string const letters = "a,:[]{}\"\\\n e1";
    std::size_t const count = random() % 4;
    switch (random() % (depth > 0 ? 5 : 3)) {
    case 0:
        return random() % 100;
    case 1:
        return nullptr;
    case 2: {
        std::string text;
        for (std::size_t index = 0; index < count; ++index)
            text += letters[random() % letters.size()];
        return text;
    }
    case 3: {
        nlohmann::json list = nlohmann::json::array();
        for (std::size_t index = 0; index < count; ++index)
            list.push_back(randomValue(random, depth - 1));
        return list;
    }
    default: {
        nlohmann::json object = nlohmann::json::object();
        for (std::size_t index = 0; index < count; ++index)
            object[randomValue(random, 0).dump()] = randomValue(random, depth - 1);
        return object;
    }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(AListIsSplitAtItsOutermostCommas)
{
    std::vector<std::string> const expected { "1", R"({"a":[1,2],"b":{}})", R"("],{\",")", "[[],[]]", "1e999" };
    BOOST_TEST(split(R"( [ 1 , {"a":[1,2],"b":{}},"],{\",", [[],[]],1e999 ] )", '[') == expected, boost::test_tools::per_element());
    BOOST_TEST(split("[]", '[').empty());
    BOOST_TEST(split(" [ \n ] ", '[').empty());
}

BOOST_AUTO_TEST_CASE(TextsOfOtherFormHaveNoParts)
{
    for (std::string_view const text : { "", " ", "7", "[", "]", "[1", "1]", "{}", "[1],[2]", "[1]]", "[[1]", "[\"]", "[\"\\\"]", "[}", "[1] x", "x [1]" }) {
        BOOST_TEST(!division::JsonParts(text, '[').isValid(), text);
        BOOST_TEST(split(text, '[').empty(), text);
    }
    BOOST_TEST(!division::JsonParts("[]", '{').isValid());
    BOOST_TEST(division::JsonParts("{}", '{').isValid());
}

BOOST_AUTO_TEST_CASE(TheFieldsOfAnObjectAreFound)
{
    std::string_view const object = R"({"a":{"b":1},"b" : [2,3] ,"c":"\"b\":4","\u0064":5,"e":6,"e":7,8,"f"})";
    BOOST_TEST(division::findField(object, "a").value() == R"({"b":1})");
    BOOST_TEST(division::findField(object, "b").value() == "[2,3]");
    BOOST_TEST(division::findField(object, "c").value() == R"("\"b\":4")");
    BOOST_TEST(division::findField(object, "d").value() == "5");
    BOOST_TEST(division::findField(object, "e").value() == "7");
    BOOST_TEST(!division::findField(object, "f").has_value());
    BOOST_TEST(!division::findField("[\"a\":1]", "a").has_value());
    BOOST_TEST(!division::findField("", "a").has_value());
}

BOOST_AUTO_TEST_CASE(OnlyBoundedValuesAreParsed)
{
    BOOST_TEST(division::parseJson("[1]", 3).value().size() == 1U);
    BOOST_TEST(!division::parseJson("[12]", 3).has_value());
    BOOST_TEST(!division::parseJson("1e999", 100).has_value());
    BOOST_TEST(!division::parseJson("", 100).has_value());
    BOOST_TEST(!division::parseJson("{", 100).has_value());
    BOOST_TEST(division::parseJson(std::string(32, '[') + std::string(32, ']'), 100).has_value());
    BOOST_TEST(!division::parseJson(std::string(33, '[') + std::string(33, ']'), 100).has_value());
    BOOST_TEST(division::parseJson('"' + std::string(50, '[') + '"', 100).has_value());
}

// Parts and fields of random values equal what the parser finds.
BOOST_AUTO_TEST_CASE(RandomValuesAreSplitAsTheyAreParsed)
{
    for (std::minstd_rand::result_type seed = 1; seed <= 2000; ++seed) {
        std::minstd_rand random(seed);
        nlohmann::json const value = randomValue(random, 4);
        std::string const text = value.dump(seed % 2 == 0 ? -1 : 2);
        BOOST_TEST(division::JsonParts(text, '[').isValid() == value.is_array(), text);
        BOOST_TEST(division::JsonParts(text, '{').isValid() == value.is_object(), text);
        nlohmann::json rebuilt = nlohmann::json::array();
        for (std::string const& part : split(text, '['))
            rebuilt.push_back(nlohmann::json::parse(part));
        if (value.is_array())
            BOOST_TEST((rebuilt == value), text);
        if (!value.is_object())
            continue;
        for (auto const& field : value.items())
            BOOST_TEST((nlohmann::json::parse(division::findField(text, field.key()).value()) == field.value()), text);
    }
}

// Whatever the text, the parts lie in it and the splitting ends.
BOOST_AUTO_TEST_CASE(RandomTextsAreSplitWithinTheirBounds)
{
    static std::string const letters = "[]{},:\"\\ 1a";
    for (std::minstd_rand::result_type seed = 1; seed <= 20000; ++seed) {
        std::minstd_rand random(seed);
        std::string text = "[";
        for (std::size_t length = random() % 30; length > 0; --length)
            text += letters[random() % letters.size()];
        text += ']';
        std::size_t total = 0;
        for (std::string const& part : split(text, '['))
            total += part.size() + 1;
        BOOST_TEST(total <= text.size(), seed << ' ' << text);
        text.front() = '{';
        text.back() = '}';
        BOOST_TEST(division::findField(text, "a").value_or("").size() < text.size(), seed << ' ' << text);
    }
}
