// Guards against failures of the division platform's store (unreachable, refused calls, lost history, malformed answers)
// that are taken for an empty configuration, and against changes that are missed and not read again.
#include "DivisionStore.h"
#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

constexpr Endpoint storeAddress { 0x7F000001U, 18731 };

// Answers each call with the next prepared answer and records the calls.
class StandInStore {
public:
    StandInStore()
        : server_(loop_, storeAddress, [this](HttpRequest const& request) { return answer(request); })
    {
        BOOST_TEST_REQUIRE(server_.start().ok());
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~StandInStore()
    {
        asio::post(loop_, [this] { server_.stop(); loop_.stop(); });
        thread_.join();
    }

    StandInStore(StandInStore const&) = delete;
    StandInStore& operator=(StandInStore const&) = delete;

    void prepare(int status, std::string body)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        answers_.push_back({ status, std::move(body), "application/json" });
    }

    void prepare(int status, std::string body, int era)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        answers_.push_back({ status, std::move(body), "application/json", { { "Store-Era", std::to_string(era) } } });
    }

    [[nodiscard]] std::vector<std::string> calls()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return calls_;
    }

private:
    asio::io_context loop_;
    HttpServer server_;
    std::thread thread_;
    std::mutex mutex_;
    std::vector<HttpAnswer> answers_;
    std::vector<std::string> calls_;

    HttpAnswer answer(HttpRequest const& request)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        calls_.push_back(request.method + ' ' + request.path + (request.query.empty() ? "" : '?' + request.query));
        if (answers_.empty())
            return { 503, "{}" };
        HttpAnswer next = answers_.front();
        answers_.erase(answers_.begin());
        return next;
    }
};

std::string const url = "http://127.0.0.1:18731";

std::string object(int version)
{
    nlohmann::json contents;
    contents["version"] = version;
    contents["routes"] = nlohmann::json::array();
    contents["services"] = nlohmann::json::array();
    return nlohmann::json { { "meta", { { "name", "main" }, { "revision", 3 } } }, { "spec", contents } }.dump();
}

std::string list(std::string const& items, int revision)
{
    return "{\"items\":[" + items + "],\"more\":false,\"store-revision\":" + std::to_string(revision) + '}';
}

std::string const goodRecord = R"({"meta":{"name":"front-1"},"spec":{"role":"entry","service":"","data_centre":"north","incarnation":42,"data":"10.1.0.1:7735","control":"10.1.0.1:7720"}})";

// Nests empty lists, or objects, as deeply as the largest value in the store allows.
std::string nested(std::string_view open, std::string_view innermost, std::string_view close)
{
    constexpr std::size_t largestValueBytes = 1000000;
    std::size_t const depth = largestValueBytes / (open.size() + close.size());
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
        text += open;
    text += innermost;
    for (std::size_t level = 0; level < depth; ++level)
        text += close;
    return text;
}

// Objects that others may have stored among those that are read.
std::vector<std::string> oddObjects()
{
    return {
        "7", "null", "[]", "\"]\"", "{}", R"({"meta":7})", R"({"meta":{}})", R"({"meta":{"name":7},"spec":{}})", R"({"meta":{"name":1e999}})",
        R"({"meta":{"name":"x"}})", R"({"meta":{"name":"x"},"spec":1e999})", R"({"meta":{"name":"x"},"spec":{"incarnation":1e999}})",
        R"({"meta":{"name":"x"},"spec":"}],{\"meta\":"})", nested("[", "", "]"), R"({"meta":{"name":"x"},"spec":)" + nested("[", "", "]") + '}',
        R"({"meta":{"name":"x"},"spec":{"role":)" + nested(R"({"a":)", "1", "}") + "}}", R"({"meta":)" + nested("[", "", "]") + '}'
    };
}

// Puts an object between two odd ones.
std::string between(std::string const& odd, std::string const& object)
{
    std::string text = odd;
    text.append(1, ',').append(object).append(1, ',').append(odd);
    return text;
}

Member someMember()
{
    Member member;
    member.name = "front-1";
    member.role = MemberRole::Entry;
    member.dataCentre = "north";
    member.incarnation = 42;
    member.data = { 0x0A010001U, 7735 };
    member.control = { 0x0A010001U, 7720 };
    return member;
}

} // namespace

BOOST_AUTO_TEST_CASE(AConfigurationIsReadAndAwaited)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(200, list(object(7), 530));
    standIn.prepare(200, "{\"events\":[{\"deleted\":false,\"object\":" + object(9) + "}],\"store-revision\":533}");
    standIn.prepare(200, "{\"events\":[],\"store-revision\":540}");
    BOOST_TEST(store.readConfiguration().value().value().version == 7U);
    BOOST_TEST(store.awaitConfiguration(100ms).value().value().version == 9U);
    BOOST_TEST(!store.awaitConfiguration(100ms).value().has_value());
    std::vector<std::string> const calls = standIn.calls();
    BOOST_TEST(calls[1] == "GET /plantaindrift/objects/config?watch=530&wait-ms=100");
    BOOST_TEST(calls[2] == "GET /plantaindrift/objects/config?watch=533&wait-ms=100");
}

// Versions that follow each other quickly come in one answer; one of them that cannot be read hid the newest.
BOOST_AUTO_TEST_CASE(OfSeveralVersionsInOneAnswerTheNewestCounts)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(200, list(object(7), 530));
    std::string const unreadable = R"({"meta":{"name":"main"},"spec":{"version":"eight"}})";
    standIn.prepare(200, "{\"events\":[{\"deleted\":false,\"object\":" + unreadable + "},{\"deleted\":false,\"object\":" + object(9) + "}],\"store-revision\":533}");
    standIn.prepare(200, "{\"events\":[{\"deleted\":false,\"object\":" + object(10) + "},{\"deleted\":false,\"object\":" + unreadable + "}],\"store-revision\":535}");
    BOOST_TEST(store.readConfiguration().ok());
    BOOST_TEST(store.awaitConfiguration(100ms).value().value().version == 9U);
    BOOST_TEST((errorKind(store.awaitConfiguration(100ms).status()) == ErrorKind::InvalidMessage));
}

BOOST_AUTO_TEST_CASE(AStoreWithoutConfigurationIsNoError)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(200, list("", 5));
    BOOST_TEST(!store.readConfiguration().value().has_value());
}

BOOST_AUTO_TEST_CASE(RefusedCallsAndMalformedAnswersAreErrors)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    struct InvalidCase {
        int status;
        std::string body;
    };
    std::vector<InvalidCase> const invalidCases {
        { 503, "{}" }, { 429, "{}" }, { 410, "{}" }, { 404, "{}" }, { 500, "" }, { 200, "" }, { 200, "[]" }, { 200, "{}" },
        { 200, "{\"items\":7,\"store-revision\":1}" }, { 200, "{\"items\":[]}" }, { 200, "{\"items\":[{}],\"store-revision\":1}" },
        { 200, list("{\"meta\":{\"name\":\"main\"},\"spec\":{}}", 1) }, { 200, "{\"items\":[" }
    };
    for (InvalidCase const& wrong : invalidCases) {
        standIn.prepare(wrong.status, wrong.body);
        BOOST_TEST(!store.readConfiguration().ok(), wrong.status << ' ' << wrong.body);
    }
}

BOOST_AUTO_TEST_CASE(AStoreThatDoesNotRespondIsUnreachable)
{
    division::DivisionStore store("http://127.0.0.1:18732");
    absl::StatusOr<std::optional<VersionedConfiguration>> const found = store.readConfiguration();
    BOOST_TEST((errorKind(found.status()) == ErrorKind::PlatformUnreachable));
}

BOOST_AUTO_TEST_CASE(MembersAreWrittenAndReadBack)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(409, "{}");
    standIn.prepare(200, "{}");
    BOOST_TEST(store.writeMember(someMember()).ok());
    BOOST_TEST(standIn.calls()[1] == "PUT /plantaindrift/objects/members/front-1");
    std::string const member = R"({"meta":{"name":"front-1"},"spec":{"role":"entry","service":"","data_centre":"north","incarnation":42,"data":"10.1.0.1:7735","control":"10.1.0.1:7720"}})";
    std::string const foreign = R"({"meta":{"name":"x"},"spec":{"role":7}})";
    standIn.prepare(200, list(member + ',' + foreign, 9));
    std::vector<Member> const members = store.readMembers(true).value();
    BOOST_TEST_REQUIRE(members.size() == 1U);
    BOOST_TEST((members[0] == someMember()));
}

BOOST_AUTO_TEST_CASE(ARecordThatIsGoneIsRemovedWithoutError)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(404, "{}");
    BOOST_TEST(store.removeMember("front-1").ok());
    BOOST_TEST(standIn.calls()[0] == "DELETE /plantaindrift/objects/members/front-1");
    standIn.prepare(503, "{}");
    BOOST_TEST(!store.removeMember("front-1").ok());
}

BOOST_AUTO_TEST_CASE(AllPagesOfMembersAreRead)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    std::string const first = R"({"meta":{"name":"a"},"spec":{"role":"agent","service":"desk","data_centre":"n","incarnation":1,"data":"10.1.0.1:1","control":"10.1.0.1:2"}})";
    standIn.prepare(200, "{\"items\":[" + first + "],\"more\":true,\"store-revision\":9}");
    standIn.prepare(200, list("", 9));
    BOOST_TEST(store.readMembers(false).value().size() == 1U);
    BOOST_TEST(standIn.calls()[1] == "GET /plantaindrift/objects/members?serializable=1&after=a");
}

// A record that was removed between the two calls is not written.
BOOST_AUTO_TEST_CASE(ARecordThatIsNeitherCreatedNorReplacedIsNotWritten)
{
    StandInStore standIn;
    division::DivisionStore client(url);
    standIn.prepare(409, "{}");
    standIn.prepare(404, "{}");
    Member member;
    member.name = "agent-1";
    BOOST_TEST(!client.writeMember(member).ok());
}

// One record that cannot be read failed the whole read, each time, so that no member was found any more.
BOOST_AUTO_TEST_CASE(AnOddRecordHidesNoOther)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    for (std::string const& odd : oddObjects()) {
        standIn.prepare(200, list(between(odd, goodRecord), 9));
        absl::StatusOr<std::vector<Member>> const members = store.readMembers(true);
        std::string const shown = odd.substr(0, 80);
        BOOST_TEST(members.ok(), shown << ": " << members.status());
        BOOST_TEST((members.ok() && *members == std::vector<Member> { someMember() }), shown);
    }
    BOOST_TEST(store.skippedObjects() == 2 * oddObjects().size());
}

// A record with a number, port, role or name out of range was taken as a member, or under the wrong role. Peers refuse what
// describes it, and an incarnation that is too high cannot be refuted by the member of that name.
BOOST_AUTO_TEST_CASE(ARecordOutOfRangeIsNotTaken)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    std::string const longName = '"' + std::string(254, 'a') + '"';
    std::vector<std::pair<std::string, std::string>> const fields {
        { "role", R"("gateway")" }, { "role", R"("")" }, { "role", R"("agent")" }, { "role", "7" }, { "service", R"("desk")" }, { "service", "null" },
        { "data_centre", longName }, { "data_centre", R"("a b")" }, { "data_centre", R"("\n")" }, { "data_centre", R"("\u00e9")" }, { "data_centre", "[]" },
        { "incarnation", "-1" }, { "incarnation", "1.5" }, { "incarnation", "1e30" }, { "incarnation", "-1e30" }, { "incarnation", "4611686018427387904" },
        { "incarnation", "18446744073709551615" }, { "incarnation", "18446744073709551616" }, { "incarnation", "true" }, { "incarnation", R"("42")" },
        { "data", R"("10.1.0.1:70000")" }, { "data", R"("10.1.0.1:0")" }, { "data", R"("10.1.0.1:-1")" }, { "data", R"("10.1.0.1:7735x")" },
        { "data", R"("10.1.0.1:4294974731")" }, { "data", R"("10.1.0.256:7735")" }, { "data", "7735" }, { "control", R"("10.1.0.1")" }, { "control", R"("")" }
    };
    for (auto const& [field, value] : fields) {
        nlohmann::json record = nlohmann::json::parse(goodRecord);
        record["spec"][field] = nlohmann::json::parse(value);
        record["meta"]["name"] = "x";
        standIn.prepare(200, list(record.dump() + ',' + goodRecord, 9));
        BOOST_TEST(store.readMembers(true).value().size() == 1U, field << ' ' << value);
    }
    for (std::string const& name : { std::string("\"\""), longName, std::string(R"("a b")"), std::string(R"("a\u0000")"), std::string(R"("\u00e9")") }) {
        nlohmann::json record = nlohmann::json::parse(goodRecord);
        record["meta"]["name"] = nlohmann::json::parse(name);
        standIn.prepare(200, list(record.dump() + ',' + goodRecord, 9));
        BOOST_TEST(store.readMembers(true).value().size() == 1U, name);
    }
}

// The name of a record that others wrote ended the query of the next page early or changed it, and a page on which no record
// follows the name that was asked for was read again without end.
BOOST_AUTO_TEST_CASE(PagesContinueAfterAnyName)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    std::string const odd = R"({"meta":{"name":"a&b=c #%?/\u00e9"}})";
    standIn.prepare(200, "{\"items\":[" + odd + "],\"more\":true,\"store-revision\":9}");
    standIn.prepare(200, list(goodRecord, 9));
    BOOST_TEST(store.readMembers(false).value().size() == 1U);
    BOOST_TEST(standIn.calls()[1] == "GET /plantaindrift/objects/members?serializable=1&after=a%26b%3Dc%20%23%25%3F%2F%C3%A9");
}

BOOST_AUTO_TEST_CASE(PagesThatDoNotContinueAreReadOnce)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    std::string const page = "{\"items\":[" + goodRecord + "],\"more\":true,\"store-revision\":9}";
    for (int call = 0; call < 3; ++call)
        standIn.prepare(200, page);
    absl::StatusOr<std::vector<Member>> const members = store.readMembers(true);
    BOOST_TEST(members.ok(), members.status());
    BOOST_TEST(standIn.calls().size() == 2U);
}

// One object beside the configuration that could not be read failed every read and watch of the configuration.
BOOST_AUTO_TEST_CASE(AnOddObjectDoesNotHideTheConfiguration)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    for (std::string const& odd : oddObjects()) {
        std::string const shown = odd.substr(0, 80);
        standIn.prepare(200, list(between(odd, object(7)), 530));
        absl::StatusOr<std::optional<VersionedConfiguration>> found = store.readConfiguration();
        BOOST_TEST(found.ok(), shown << ": " << found.status());
        BOOST_TEST((found.ok() && found->value().version == 7U), shown);
        std::string const event = "{\"deleted\":false,\"object\":" + odd + '}';
        standIn.prepare(200, "{\"events\":[" + between(event, "{\"deleted\":false,\"object\":" + object(9) + '}') + "],\"store-revision\":533}");
        found = store.awaitConfiguration(100ms);
        BOOST_TEST(found.ok(), shown << ": " << found.status());
        BOOST_TEST((found.ok() && found->value().version == 9U), shown);
    }
}

// Without a configuration, an object that cannot be read may be the configuration.
BOOST_AUTO_TEST_CASE(AnUnreadableObjectIsNotTakenForAnAbsentConfiguration)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(200, list(R"({"meta":{"name":1e999}})", 1));
    BOOST_TEST(!store.readConfiguration().ok());
    standIn.prepare(200, list(R"({"meta":{"name":"main"},"spec":{"version":1e999,"routes":[],"services":[]}})", 1));
    BOOST_TEST(!store.readConfiguration().ok());
    standIn.prepare(200, R"({"items":null,"more":false,"store-revision":1})");
    BOOST_TEST(!store.readConfiguration().ok());
    standIn.prepare(200, R"({"events":[{"deleted":false,"object":{}}],"store-revision":2})");
    BOOST_TEST(!store.awaitConfiguration(100ms).ok());
}

// Large objects of others fill the first page.
BOOST_AUTO_TEST_CASE(AConfigurationOnALaterPageIsRead)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(200, R"({"items":[{"meta":{"name":"large"}}],"more":true,"store-revision":530})");
    standIn.prepare(200, list(object(7), 531));
    standIn.prepare(200, "{\"events\":[],\"store-revision\":540}");
    BOOST_TEST_REQUIRE(store.readConfiguration().value().has_value());
    BOOST_TEST(standIn.calls()[1] == "GET /plantaindrift/objects/config?after=large");
    BOOST_TEST(store.awaitConfiguration(100ms).ok());
    BOOST_TEST(standIn.calls()[2] == "GET /plantaindrift/objects/config?watch=530&wait-ms=100");
}

// Guards against a restored store that nobody notices: each answer, refused ones too, names the generation.
BOOST_AUTO_TEST_CASE(AnswersNameTheStoresGeneration)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    BOOST_TEST(store.generation() == 0U);
    standIn.prepare(200, list(object(7), 530), 0);
    BOOST_TEST(store.readConfiguration().ok());
    BOOST_TEST(store.generation() == 1U);
    standIn.prepare(503, "{}", 4);
    BOOST_TEST(!store.readConfiguration().ok());
    BOOST_TEST(store.generation() == 5U);
    // An answer that was delayed does not make it fall, and one without the header leaves it.
    standIn.prepare(503, "{}", 2);
    standIn.prepare(503, "{}");
    BOOST_TEST(!store.readConfiguration().ok());
    BOOST_TEST(!store.readConfiguration().ok());
    BOOST_TEST(store.generation() == 5U);
}

// A revision that a restored store gives out again gets no 410, so that a watch from it misses changes.
BOOST_AUTO_TEST_CASE(ARevisionOfAnEarlierGenerationIsNotWatched)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(200, list(object(7), 530), 1);
    BOOST_TEST(store.readConfiguration().ok());
    // Another call is the first to be answered by the restored store.
    standIn.prepare(200, list("", 525), 2);
    BOOST_TEST(store.readMembers(true).ok());
    BOOST_TEST(!store.awaitConfiguration(100ms).ok());
    BOOST_TEST(standIn.calls().size() == 2U);
    standIn.prepare(200, list(object(9), 540), 2);
    standIn.prepare(200, "{\"events\":[],\"store-revision\":540}", 2);
    BOOST_TEST(store.readConfiguration().value().value().version == 9U);
    BOOST_TEST(store.awaitConfiguration(100ms).ok());
    BOOST_TEST(standIn.calls()[3] == "GET /plantaindrift/objects/config?watch=540&wait-ms=100");
}

// A restored store answers a watch that began before, from a revision that meant something else.
BOOST_AUTO_TEST_CASE(AnAnswerToAWatchFromAnEarlierGenerationIsDiscarded)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(200, list(object(7), 530), 1);
    BOOST_TEST(store.readConfiguration().ok());
    standIn.prepare(200, "{\"events\":[],\"store-revision\":531}", 2);
    BOOST_TEST(!store.awaitConfiguration(100ms).ok());
    BOOST_TEST(store.generation() == 3U);
}

// An answer from before the restore that arrives after it would bring back what is gone.
BOOST_AUTO_TEST_CASE(AnAnswerOfAnEarlierGenerationIsRefused)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(200, list(object(7), 530), 2);
    standIn.prepare(200, list(object(8), 531), 1);
    BOOST_TEST(store.readConfiguration().ok());
    BOOST_TEST(!store.readConfiguration().ok());
}

// Thousands of processes write their records again after a restore; most still have one.
BOOST_AUTO_TEST_CASE(ARecordThatStandsThereUnchangedIsNotReplaced)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(409, R"({"meta":{"name":"front-1","revision":3},"spec":{"role":"entry","service":"","data_centre":"north","incarnation":42,"data":"10.1.0.1:7735","control":"10.1.0.1:7720"}})");
    BOOST_TEST(store.writeMember(someMember()).ok());
    BOOST_TEST(standIn.calls().size() == 1U);
    standIn.prepare(409, R"({"meta":{"name":"front-1","revision":3},"spec":{"role":"entry","service":"","data_centre":"north","incarnation":41,"data":"10.1.0.1:7735","control":"10.1.0.1:7720"}})");
    standIn.prepare(200, "{}");
    BOOST_TEST(store.writeMember(someMember()).ok());
    BOOST_TEST(standIn.calls().size() == 3U);
}

namespace {

using Names = std::vector<std::string>;

std::string evacuation(std::string const& name)
{
    return R"({"meta":{"name":")" + name + R"(","revision":3},"spec":{}})";
}

std::string event(std::string const& object, bool isDeleted)
{
    return std::string(R"({"deleted":)") + (isDeleted ? "true" : "false") + R"(,"object":)" + object + '}';
}

std::string events(std::string const& list, int revision)
{
    return R"({"events":[)" + list + R"(],"store-revision":)" + std::to_string(revision) + '}';
}

} // namespace

// Guards against an evacuation, or its end, that a watch does not take over into the set.
BOOST_AUTO_TEST_CASE(EvacuationsAreReadAndWatched)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    BOOST_TEST(store.holdsEvacuations());
    standIn.prepare(200, list(evacuation("south") + ',' + evacuation("north"), 530), 1);
    standIn.prepare(200, events(event(evacuation("west"), false) + ',' + event(evacuation("north"), true), 533), 1);
    standIn.prepare(200, events("", 540), 1);
    standIn.prepare(200, events(event(evacuation("west"), true), 541), 1);
    StoredEvacuations found = store.readEvacuations().value();
    BOOST_TEST(found.set.dataCentres == (Names { "north", "south" }), boost::test_tools::per_element());
    BOOST_TEST((found.set.version == EvacuationVersion { 2, 530 }));
    found = store.awaitEvacuations(100ms).value().value();
    BOOST_TEST(found.set.dataCentres == (Names { "south", "west" }), boost::test_tools::per_element());
    BOOST_TEST(found.removed == Names { "north" }, boost::test_tools::per_element());
    BOOST_TEST((found.set.version == EvacuationVersion { 2, 533 }));
    BOOST_TEST(!store.awaitEvacuations(100ms).value().has_value());
    found = store.awaitEvacuations(100ms).value().value();
    BOOST_TEST(found.set.dataCentres == Names { "south" }, boost::test_tools::per_element());
    BOOST_TEST((found.set.version == EvacuationVersion { 2, 541 }));
    BOOST_TEST(standIn.calls()[1] == "GET /plantaindrift/objects/evacuations?watch=530&wait-ms=100");
    BOOST_TEST(standIn.calls()[3] == "GET /plantaindrift/objects/evacuations?watch=540&wait-ms=100");
}

// Guards against failures of the store that are taken for the end of all evacuations.
BOOST_AUTO_TEST_CASE(RefusedAndMalformedAnswersAreNoEvacuations)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    std::vector<std::pair<int, std::string>> const answers { { 503, "{}" }, { 410, "{}" }, { 404, "{}" }, { 200, "" }, { 200, "[]" }, { 200, "{}" }, { 200, R"({"items":7,"more":false,"store-revision":1})" } };
    for (auto const& [status, body] : answers) {
        standIn.prepare(status, body);
        BOOST_TEST(!store.readEvacuations().ok(), status << ' ' << body);
    }
    standIn.prepare(200, list(evacuation("north"), 530));
    BOOST_TEST(store.readEvacuations().ok());
    // The last one: a removed object whose name cannot be read may be any of them.
    std::vector<std::pair<int, std::string>> const watches { { 410, "{}" }, { 503, "{}" }, { 200, "{}" }, { 200, R"({"events":null,"store-revision":531})" }, { 200, R"({"events":[]})" }, { 200, events(event("{}", true), 531) } };
    for (auto const& [status, body] : watches) {
        standIn.prepare(status, body);
        BOOST_TEST(!store.awaitEvacuations(100ms).ok(), status << ' ' << body);
    }
}

// Guards against a watch that misses changes because a restored store gives out its revision again.
BOOST_AUTO_TEST_CASE(EvacuationsAreReadAgainAfterARestore)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(200, list(evacuation("north"), 530), 1);
    standIn.prepare(200, events("", 531), 2);
    standIn.prepare(200, list("", 520), 2);
    BOOST_TEST(store.readEvacuations().ok());
    BOOST_TEST(!store.awaitEvacuations(100ms).ok());
    // Without a new read, no watch is sent.
    BOOST_TEST(!store.awaitEvacuations(100ms).ok());
    BOOST_TEST(standIn.calls().size() == 2U);
    StoredEvacuations const found = store.readEvacuations().value();
    BOOST_TEST(found.set.dataCentres.empty());
    BOOST_TEST(found.removed.empty());
    BOOST_TEST((found.set.version == EvacuationVersion { 3, 520 }));
}

// Guards against one unusable object that hides the other evacuations.
BOOST_AUTO_TEST_CASE(AnOddObjectHidesNoEvacuation)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    for (std::string const& odd : oddObjects()) {
        std::string const shown = odd.substr(0, 80);
        standIn.prepare(200, list(between(odd, evacuation("north")), 530));
        absl::StatusOr<StoredEvacuations> const found = store.readEvacuations();
        BOOST_TEST_REQUIRE(found.ok(), shown);
        BOOST_TEST(found->set.contains("north"), shown);
        standIn.prepare(200, events(between(event(odd, false), event(evacuation("south"), false)), 533));
        absl::StatusOr<std::optional<StoredEvacuations>> const changed = store.awaitEvacuations(100ms);
        BOOST_TEST_REQUIRE((changed.ok() && changed->has_value()), shown);
        BOOST_TEST((*changed)->set.contains("south"), shown);
    }
    BOOST_TEST(store.skippedObjects() > 0U);
    standIn.prepare(200, list(evacuation("a b") + ',' + evacuation(""), 530));
    BOOST_TEST(store.readEvacuations().value().set.dataCentres.empty());
}

// Guards against evacuations on later pages of the list that are not read.
BOOST_AUTO_TEST_CASE(AllPagesOfEvacuationsAreRead)
{
    StandInStore standIn;
    division::DivisionStore store(url);
    standIn.prepare(200, "{\"items\":[" + evacuation("a") + "],\"more\":true,\"store-revision\":9}");
    standIn.prepare(200, list(evacuation("b"), 11));
    StoredEvacuations const found = store.readEvacuations().value();
    BOOST_TEST(found.set.dataCentres == (Names { "a", "b" }), boost::test_tools::per_element());
    // What changed between the pages is found by a watch from the first one.
    BOOST_TEST(found.set.version.revision == 9U);
}
