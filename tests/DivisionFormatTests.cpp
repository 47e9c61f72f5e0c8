// Guards against packets, configurations and announcements of the division platform that are misread, or that are
// applied although they are invalid.
#include "AnnouncementFormat.h"
#include "ConfigurationFormat.h"
#include "SegmentFormat.h"
#include "plantaindrift/base/Error.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

using namespace plantaindrift;

using Bytes = std::vector<std::byte>;

Bytes fromHex(std::string_view text)
{
    Bytes bytes;
    for (std::size_t index = 0; index + 1 < text.size(); index += 3)
        bytes.push_back(static_cast<std::byte>(std::stoi(std::string(text.substr(index, 2)), nullptr, 16)));
    return bytes;
}

// The example in the platform's protocol documentation.
Bytes const openingExample = fromHex("d5 c3 b2 a1 44 33 22 11 00 00 00 00 00 00 00 00 00 00 bb 01 07 00 40 64 01 00 12 c6 41 9c 20");
Bytes const resetExample = fromHex("00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 41 9c 01 00 12 c6 07 00 40 64 bb 01 04");

nlohmann::json goodConfiguration()
{
    return nlohmann::json::parse(R"({"version":7,"routes":[
        {"name":"r-1","host":"198.18.0.1","path-prefix":"/8080/","kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":2},
        {"name":"r-2","host":"198.18.0.1","path-prefix":"/8443/","kind":"idempotent","timeout-ms":2500,"target-latency-ms":250,"priority":2,"backends":[{"service":"desk","weight":90},{"service":"store","weight":10}]}],
        "services":[{"name":"desk","health-path":"/health","max-conns":2000},{"name":"store","health-path":"/health","max-conns":1500,"cold-per-s":2.5}],
        "limits":{"idle-timeout-ms":15000}})");
}

HttpRequest report(std::string body)
{
    HttpRequest request;
    request.method = "PUT";
    request.path = "/plantaindrift/instances/i-7f3a91c2";
    request.body = std::move(body);
    return request;
}

std::string const goodReport = R"({"service":"desk","address":"10.128.0.9:8080","zone":"bohinj","version":"v1","slots":3,"state":"ready","warmup-left-ms":1500,"seq":4,"born":1765432109876})";

} // namespace

BOOST_AUTO_TEST_CASE(TheDocumentedPacketIsDecoded)
{
    division::SegmentFormat const format;
    std::optional<Segment> const segment = format.decode(openingExample);
    BOOST_TEST_REQUIRE(segment.has_value());
    BOOST_TEST((segment->source == Endpoint { 0x64400007U, 40001 }));
    BOOST_TEST((segment->destination == Endpoint { 0xC6120001U, 443 }));
    BOOST_TEST(segment->sequence == 0x11223344U);
    BOOST_TEST(segment->isOpenRequest());
}

BOOST_AUTO_TEST_CASE(TheDocumentedResetIsEncoded)
{
    division::SegmentFormat const format;
    Bytes reset(format.headerBytes(), std::byte { 0xFF });
    format.writeReset(*format.decode(openingExample), reset);
    BOOST_TEST((reset == resetExample));
}

// The checksum covers neither the token nor the flag of a returned packet; all other fields must stay unchanged.
BOOST_AUTO_TEST_CASE(ACopiedHeaderDiffersInTokenAndReturnedFlagOnly)
{
    division::SegmentFormat const format;
    Bytes returned = openingExample;
    returned[30] |= std::byte { 128 };
    Bytes copied(format.headerBytes());
    format.copyHeader(returned, 0x01020304U, copied);
    Bytes expected = openingExample;
    expected[12] = std::byte { 4 };
    expected[13] = std::byte { 3 };
    expected[14] = std::byte { 2 };
    expected[15] = std::byte { 1 };
    BOOST_TEST((copied == expected));
}

BOOST_AUTO_TEST_CASE(WrongPacketsAreRefused)
{
    division::SegmentFormat const format;
    for (std::size_t size = 0; size < openingExample.size(); ++size)
        BOOST_TEST(!format.decode(std::span(openingExample).first(size)).has_value());
    Bytes longer = openingExample;
    longer.push_back(std::byte { 1 });
    BOOST_TEST(!format.decode(longer).has_value());
    Bytes wrongLength = openingExample;
    wrongLength[16] = std::byte { 1 };
    BOOST_TEST(!format.decode(wrongLength).has_value());
    Bytes foreignFlags = openingExample;
    foreignFlags[30] = std::byte { 64 };
    BOOST_TEST(!format.decode(foreignFlags).has_value());
    Bytes tooLong(31 + 1201);
    tooLong[16] = std::byte { 0xB1 };
    tooLong[17] = std::byte { 0x04 };
    BOOST_TEST(!format.decode(tooLong).has_value());
}

BOOST_AUTO_TEST_CASE(AConfigurationIsTranslated)
{
    absl::StatusOr<VersionedConfiguration> const found = division::readConfigurationObject(goodConfiguration());
    BOOST_TEST_REQUIRE(found.ok());
    BOOST_TEST(found->version == 7U);
    std::vector<Service> const& services = found->configuration.services;
    BOOST_TEST_REQUIRE(services.size() == 2U);
    BOOST_TEST(services[0].name == "desk");
    BOOST_TEST_REQUIRE(services[0].addresses.size() == 2U);
    BOOST_TEST((services[0].addresses[0].endpoint == Endpoint { 0xC6120001U, 8080 }));
    BOOST_TEST(services[0].addresses[0].share == 100U);
    BOOST_TEST(services[0].addresses[1].share == 90U);
    BOOST_TEST(services[1].addresses[0].share == 10U);
    BOOST_TEST(services[1].limits.connections == 1500U);
    BOOST_TEST((services[0].addresses[0].targetLatency == std::chrono::milliseconds { 300 }));
    BOOST_TEST(services[0].addresses[0].priority == 1U);
    // In thousandths; a service without the field has no limit.
    BOOST_TEST(services[0].coldRate == 0U);
    BOOST_TEST(services[1].coldRate == 2500U);
}

BOOST_AUTO_TEST_CASE(WrongConfigurationsAreRefused)
{
    struct InvalidCase {
        char const* pointer;
        char const* value;
    };
    constexpr std::array<InvalidCase, 14> invalidCases { {
        { "/version", "\"7\"" },
        { "/version", "null" },
        { "/routes", "7" },
        { "/routes/0/host", "\"198.18.0\"" },
        { "/routes/0/host", "7" },
        { "/routes/0/path-prefix", "\"8080\"" },
        { "/routes/0/path-prefix", "\"/0/\"" },
        { "/routes/0/path-prefix", "\"/70000/\"" },
        { "/routes/0/path-prefix", "\"/80x/\"" },
        { "/routes/0/service", "[]" },
        { "/routes/1/backends", "\"desk\"" },
        { "/routes/1/backends/0/weight", "\"90\"" },
        { "/services", "null" },
        { "/services/0/name", "1" },
    } };
    for (InvalidCase const& wrong : invalidCases) {
        nlohmann::json contents = goodConfiguration();
        contents[nlohmann::json::json_pointer(wrong.pointer)] = nlohmann::json::parse(wrong.value);
        absl::StatusOr<VersionedConfiguration> const found = division::readConfigurationObject(contents);
        BOOST_TEST(!found.ok(), wrong.pointer << " = " << wrong.value);
        BOOST_TEST((errorKind(found.status()) == ErrorKind::InvalidMessage));
    }
    BOOST_TEST(!division::readConfigurationObject(nlohmann::json()).ok());
}

// Numbers out of range were converted: a version of -1 became the highest of all, so that no later one was taken.
BOOST_AUTO_TEST_CASE(ConfigurationsWithNumbersOutOfRangeAreRefused)
{
    for (char const* const pointer : { "/version", "/routes/0/priority", "/routes/0/target-latency-ms", "/routes/1/backends/0/weight", "/services/0/max-conns", "/services/1/cold-per-s" }) {
        for (char const* const value : { "-1", "1e30", "-1e30", "18446744073709551616", "true", "null" }) {
            nlohmann::json contents = goodConfiguration();
            contents[nlohmann::json::json_pointer(pointer)] = nlohmann::json::parse(value);
            BOOST_TEST(!division::readConfigurationObject(contents).ok(), pointer << " = " << value);
        }
    }
    nlohmann::json floating = goodConfiguration();
    floating["routes"][0]["target-latency-ms"] = 300.0;
    BOOST_TEST(division::readConfigurationObject(floating).ok());
    for (char const* const pointer : { "/routes/0/priority", "/routes/1/backends/0/weight" }) {
        nlohmann::json contents = goodConfiguration();
        contents[nlohmann::json::json_pointer(pointer)] = 65536;
        BOOST_TEST(!division::readConfigurationObject(contents).ok(), pointer);
    }
}

BOOST_AUTO_TEST_CASE(AnAnnouncementIsRead)
{
    absl::StatusOr<TargetAnnouncement> const read = division::readAnnouncement(report(goodReport));
    BOOST_TEST_REQUIRE(read.ok());
    BOOST_TEST(read->id == "i-7f3a91c2");
    BOOST_TEST(read->service == "desk");
    BOOST_TEST((read->address == Endpoint { 0x0A800009U, 8080 }));
    BOOST_TEST(read->slots == 3U);
    BOOST_TEST(read->sequence == 4U);
    BOOST_TEST(read->startTimeMs == 1765432109876);
    BOOST_TEST((read->remainingWarmUp == std::chrono::milliseconds { 1500 }));
    BOOST_TEST(!read->isDraining);
}

BOOST_AUTO_TEST_CASE(WrongAnnouncementsAreRefused)
{
    struct InvalidCase {
        char const* key;
        char const* value;
    };
    constexpr std::array<InvalidCase, 16> invalidCases { {
        { "service", "7" },
        { "service", "null" },
        { "address", "\"10.128.0.9\"" },
        { "address", "8080" },
        { "address", "\"10.128.0.9:99999\"" },
        { "slots", "\"3\"" },
        { "slots", "-1" },
        { "slots", "0" },
        { "slots", "70000" },
        { "slots", "2.5" },
        { "state", "\"asleep\"" },
        { "state", "true" },
        { "warmup-left-ms", "-5" },
        { "seq", "\"4\"" },
        { "seq", "-4" },
        { "born", "\"yesterday\"" },
    } };
    for (InvalidCase const& wrong : invalidCases) {
        nlohmann::json body = nlohmann::json::parse(goodReport);
        body[wrong.key] = nlohmann::json::parse(wrong.value);
        BOOST_TEST(!division::readAnnouncement(report(body.dump())).ok(), wrong.key << " = " << wrong.value);
    }
    for (char const* const missing : { "service", "address", "slots", "state", "warmup-left-ms", "seq" }) {
        nlohmann::json body = nlohmann::json::parse(goodReport);
        body.erase(missing);
        BOOST_TEST(!division::readAnnouncement(report(body.dump())).ok(), missing);
    }
    for (char const* const text : { "", "{", "[]", "null", "\xff\xfe" })
        BOOST_TEST(!division::readAnnouncement(report(text)).ok());
    HttpRequest other = report(goodReport);
    other.path = "/plantaindrift/instances/";
    BOOST_TEST(!division::readAnnouncement(other).ok());
    other = report(goodReport);
    other.method = "GET";
    BOOST_TEST(!division::readAnnouncement(other).ok());
}
