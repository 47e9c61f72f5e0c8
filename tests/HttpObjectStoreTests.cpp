// Guards against writes that are repeated after a lost answer, outcomes that are reported with the wrong kind, and
// calls that load a platform that is down.

#include "plantaindrift/plantaindrift.h"
#include "store/CircuitBreaker.h"
#include "support/PlatformProcess.h"

#include <asio.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace plantaindrift;
using namespace std::chrono_literals;

namespace {

HttpObjectStoreOptions optionsFor(std::string const& url)
{
    HttpObjectStoreOptions options;
    options.url = url;
    options.timeout = 10s;
    options.firstBackoff = 1ms;
    options.longestBackoff = 5ms;
    return options;
}

// Long enough for a busy machine to answer, short enough for tests in which no answer comes.
HttpObjectStoreOptions impatientOptionsFor(std::string const& url)
{
    HttpObjectStoreOptions options = optionsFor(url);
    options.timeout = 1s;
    return options;
}

ErrorKind kindOf(absl::Status const& status)
{
    BOOST_TEST_REQUIRE(!status.ok());
    return errorKind(status);
}

// Answers reads and closes the connection at a write, without an answer.
class ClosingServer {
public:
    ClosingServer()
        : acceptor_(context_, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~ClosingServer()
    {
        context_.stop();
        thread_.join();
    }

    [[nodiscard]] std::string url() const { return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    [[nodiscard]] int writes() const noexcept { return writes_; }

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        asio::ip::tcp::socket socket;
        asio::streambuf buffer;
    };

    void accept()
    {
        acceptor_.async_accept([this](asio::error_code const& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            serve(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void serve(std::shared_ptr<Connection> const& connection)
    {
        asio::async_read_until(connection->socket, connection->buffer, "\r\n\r\n", [this, connection](asio::error_code const& error, std::size_t) {
            if (error)
                return;
            std::string const head(asio::buffers_begin(connection->buffer.data()), asio::buffers_end(connection->buffer.data()));
            connection->buffer.consume(connection->buffer.size());
            if (!head.starts_with("GET")) {
                ++writes_;
                return;
            }
            asio::write(connection->socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 1\r\n\r\nx")));
            serve(connection);
        });
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<int> writes_ { 0 };
    std::thread thread_;
};

} // namespace

BOOST_AUTO_TEST_CASE(ObjectsAreCreatedReadChangedAndRemoved)
{
    test::PlatformProcess platform;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(optionsFor(platform.url()));
    BOOST_TEST((kindOf(store->get("a/b").status()) == ErrorKind::NotFound));
    std::uint64_t const first = store->create("a/b", "{\"x\": \"ž\"}").value();
    BOOST_TEST(store->get("a/b").value().value == "{\"x\": \"ž\"}");
    BOOST_TEST(store->get("a/b").value().version == first);
    std::uint64_t const second = store->update("a/b", "2", first).value();
    BOOST_TEST(second > first);
    BOOST_TEST((kindOf(store->update("a/b", "3", first).status()) == ErrorKind::LostRace));
    BOOST_TEST((kindOf(store->create("a/b", "3").status()) == ErrorKind::LostRace));
    BOOST_TEST((kindOf(store->update("a/c", "3", 1).status()) == ErrorKind::NotFound));
    BOOST_TEST((kindOf(store->remove("a/b", first)) == ErrorKind::LostRace));
    BOOST_TEST(store->get("a/b").value().value == "2");
    BOOST_TEST(store->remove("a/b", second).ok());
    BOOST_TEST((kindOf(store->remove("a/b", second)) == ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(ListsAreSortedAndLimited)
{
    test::PlatformProcess platform;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(optionsFor(platform.url()));
    for (std::string_view const key : { "log/3", "log/1", "log/2", "other/1" })
        BOOST_TEST_REQUIRE(store->create(key, key).ok());
    std::vector<StoredObject> const all = store->list("log/", "", 10).value();
    BOOST_TEST_REQUIRE(all.size() == 3U);
    BOOST_TEST(all[0].key == "log/1");
    BOOST_TEST(all[2].value == "log/3");
    BOOST_TEST(store->list("log/", "log/1", 1).value().front().key == "log/2");
    BOOST_TEST(store->list("none/", "", 10).value().empty());
}

BOOST_AUTO_TEST_CASE(WatchesEndAtAChangeOrTheTimeout)
{
    test::PlatformProcess platform;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(optionsFor(platform.url()));
    std::uint64_t const version = store->create("log/1", "1").value();
    BOOST_TEST(store->watch("log/", version, 50ms).value().empty());
    std::thread writer([&platform] {
        std::unique_ptr<ObjectStore> const other = makeHttpObjectStore(optionsFor(platform.url()));
        while (platform.count("watch") < 2)
            std::this_thread::sleep_for(5ms);
        (void)other->create("elsewhere/1", "1");
        (void)other->create("log/2", "2");
    });
    absl::StatusOr<std::vector<StoredObject>> const changed = store->watch("log/", version, 30s);
    writer.join();
    BOOST_TEST_REQUIRE(changed.ok());
    BOOST_TEST_REQUIRE(changed->size() == 1U);
    BOOST_TEST(changed->front().key == "log/2");
}

BOOST_AUTO_TEST_CASE(LostAnswersAreReportedAndNotRepeated)
{
    test::PlatformProcess platform;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(impatientOptionsFor(platform.url()));
    platform.setFaults({ { "lost_answers", 1 } });
    BOOST_TEST((kindOf(store->create("log/1", "mine").status()) == ErrorKind::OutcomeUnknown));
    BOOST_TEST(platform.count("create") == 1U);
    BOOST_TEST(store->get("log/1").value().value == "mine");
}

// libcurl repeats a request by itself when a reused connection closes without an answer.
BOOST_AUTO_TEST_CASE(ClosedConnectionsDoNotRepeatWrites)
{
    ClosingServer server;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(optionsFor(server.url()));
    BOOST_TEST_REQUIRE(store->get("a").ok());
    BOOST_TEST((kindOf(store->create("a", "1").status()) == ErrorKind::OutcomeUnknown));
    BOOST_TEST(server.writes() == 1);
    BOOST_TEST((kindOf(store->remove("a", 1)) == ErrorKind::OutcomeUnknown));
    BOOST_TEST(server.writes() == 2);
}

BOOST_AUTO_TEST_CASE(OutagesHaveNoEffectAndEnd)
{
    test::PlatformProcess platform;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(optionsFor(platform.url()));
    platform.setFaults({ { "outage", true } });
    BOOST_TEST((kindOf(store->create("a", "1").status()) == ErrorKind::PlatformUnreachable));
    BOOST_TEST((kindOf(store->get("a").status()) == ErrorKind::PlatformUnreachable));
    platform.setFaults({ { "outage", false } });
    std::this_thread::sleep_for(10ms);
    BOOST_TEST((kindOf(store->get("a").status()) == ErrorKind::NotFound));
    BOOST_TEST(store->create("a", "1").ok());
}

BOOST_AUTO_TEST_CASE(AnswersThatNeverComeAreUnreachableForReads)
{
    test::PlatformProcess platform;
    HttpObjectStoreOptions options = optionsFor(platform.url());
    options.timeout = 100ms;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(options);
    platform.setFaults({ { "silent", true } });
    BOOST_TEST((kindOf(store->get("a").status()) == ErrorKind::PlatformUnreachable));
    BOOST_TEST((kindOf(store->create("a", "1").status()) == ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(SlowAnswersAreWaitedFor)
{
    test::PlatformProcess platform;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(optionsFor(platform.url()));
    platform.setFaults({ { "slow_ms", 50 } });
    BOOST_TEST(store->create("a", "1").ok());
    BOOST_TEST(store->get("a").value().value == "1");
}

BOOST_AUTO_TEST_CASE(RefusedConnectionsHaveNoEffect)
{
    test::PlatformProcess platform;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(optionsFor(platform.url()));
    platform.stop();
    absl::Status const status = store->create("a", "1").status();
    BOOST_TEST((kindOf(status) == ErrorKind::PlatformUnreachable));
    BOOST_TEST(exitCode(status) == 5);
}

// The open breaker bounds how many calls reach a platform that is down.
BOOST_AUTO_TEST_CASE(OpenBreakerSparesThePlatform)
{
    test::PlatformProcess platform;
    HttpObjectStoreOptions options = optionsFor(platform.url());
    options.longestBackoff = 1h;
    options.firstBackoff = 1ms;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(options);
    platform.setFaults({ { "outage", true } });
    constexpr int calls = 400;
    for (int call = 0; call < calls; ++call)
        BOOST_TEST((kindOf(store->get("a").status()) == ErrorKind::PlatformUnreachable));
    std::uint64_t const reached = platform.count("get");
    BOOST_TEST(reached >= static_cast<std::uint64_t>(CircuitBreaker::threshold));
    BOOST_TEST(reached < static_cast<std::uint64_t>(calls));
}

BOOST_AUTO_TEST_CASE(BreakerOpensAndLetsATrialThrough)
{
    TimePoint now {};
    CircuitBreaker breaker(100ms, 10s, 1);
    for (int failure = 1; failure < CircuitBreaker::threshold; ++failure) {
        breaker.recordFailure(now);
        BOOST_TEST(breaker.allows(now));
        BOOST_TEST(!breaker.isOpen());
    }
    breaker.recordFailure(now);
    BOOST_TEST(breaker.isOpen());
    BOOST_TEST(!breaker.allows(now));
    BOOST_TEST(breaker.allows(now + 10s));
    breaker.recordSuccess();
    BOOST_TEST(!breaker.isOpen());
    BOOST_TEST(breaker.allows(now));
}

BOOST_AUTO_TEST_CASE(BackoffDoublesWithFullJitter)
{
    Backoff backoff(100ms, 10s, 3);
    BOOST_TEST((backoff.bound(0) == 100ms));
    BOOST_TEST((backoff.bound(3) == 800ms));
    BOOST_TEST((backoff.bound(1000) == 10s));
    bool hasLow = false;
    bool hasHigh = false;
    for (int draw = 0; draw < 1000; ++draw) {
        std::chrono::milliseconds const wait = backoff.wait(4);
        BOOST_TEST_REQUIRE((wait >= 0ms && wait <= 1600ms));
        hasLow = hasLow || wait < 400ms;
        hasHigh = hasHigh || wait > 1200ms;
    }
    BOOST_TEST(hasLow);
    BOOST_TEST(hasHigh);
}

BOOST_AUTO_TEST_CASE(BadSettingsAreNamed)
{
    for (std::string const& url : { std::string(), std::string("127.0.0.1:1"), std::string("ftp://127.0.0.1:1"), std::string("http://localhost:1"), std::string("http://127.0.0.1:1/"), std::string("https://127.0.0.1:1") }) {
        std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(optionsFor(url));
        BOOST_TEST((kindOf(store->get("a").status()) == ErrorKind::InvalidSettings), url);
    }
}

BOOST_AUTO_TEST_CASE(TooLargeValuesAreRefused)
{
    test::PlatformProcess platform;
    std::unique_ptr<ObjectStore> const store = makeHttpObjectStore(optionsFor(platform.url()));
    BOOST_TEST((kindOf(store->create("a", std::string(1'048'577, 'x')).status()) == ErrorKind::Refused));
    BOOST_TEST(platform.count("create") == 0U);
    BOOST_TEST(store->create("a", std::string(1'048'576, 'x')).ok());
    BOOST_TEST(store->get("a").value().value.size() == 1'048'576U);
}
