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
