// Guards against a soak whose store keeps what a store that comes back from an older copy has lost.
#include "division/Store.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

namespace {

using namespace plantaindrift;
using namespace plantaindrift::standins;
using namespace std::chrono_literals;

constexpr Endpoint storeAddress { 0x7F000001U, 18'737 };
constexpr std::string_view members = "/plantaindrift/objects/members";
constexpr std::string_view configuration = "/plantaindrift/objects/config";

struct Answer {
    int status { 0 }; ///< 0 if the connection was closed without an answer
    std::string era;
    nlohmann::json body;
};

std::string textBetween(std::string const& text, std::string_view before, std::string_view after)
{
    std::size_t const found = text.find(before);
    if (found == std::string::npos)
        return {};
    std::size_t const start = found + before.size();
    return text.substr(start, text.find(after, start) - start);
}

class StoreProcess {
public:
    StoreProcess()
        : store_(loop_, storeAddress, [](nlohmann::json const&) {})
    {
        store_.start();
        thread_ = std::thread([this] { loop_.run(); });
        awaitListening();
    }

    ~StoreProcess()
    {
        asio::post(loop_, [this] { loop_.stop(); });
        thread_.join();
    }

    StoreProcess(StoreProcess const&) = delete;
    StoreProcess& operator=(StoreProcess const&) = delete;

    void restore(std::chrono::steady_clock::time_point taken)
    {
        std::promise<void> done;
        asio::post(loop_, [&] { store_.restore(taken); done.set_value(); });
        done.get_future().wait();
    }

    // The connection is this call's own, and sends all of the answer before it closes.
    static Answer call(std::string const& method, std::string const& path, std::string const& body = "")
    {
        asio::io_context loop;
        asio::ip::tcp::socket socket(loop);
        socket.connect({ asio::ip::make_address_v4(storeAddress.address), storeAddress.port });
        std::string const request = method + ' ' + path + " HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::write(socket, asio::buffer(request));
        std::string text;
        asio::error_code ended;
        asio::read(socket, asio::dynamic_buffer(text), ended);
        if (text.empty())
            return {};
        std::size_t const head = text.find("\r\n\r\n");
        return { std::stoi(text.substr(text.find(' ') + 1)), textBetween(text, "Store-Era: ", "\r\n"), nlohmann::json::parse(text.substr(head + 4), nullptr, false) };
    }

    static std::uint64_t write(std::string_view kind, std::string const& name, int value)
    {
        nlohmann::json const object { { "meta", { { "name", name } } }, { "spec", { { "value", value } } } };
        std::string const path(kind);
        Answer answer = call("POST", path, object.dump());
        if (answer.status == 409)
            answer = call("PUT", path + '/' + name, object.dump());
        BOOST_TEST_REQUIRE(answer.status == 200);
        return answer.body["meta"]["revision"].get<std::uint64_t>();
    }

    static std::map<std::string, int> list(std::string_view kind)
    {
        std::map<std::string, int> values;
        Answer const answer = call("GET", std::string(kind));
        for (nlohmann::json const& object : answer.body["items"])
            values[object["meta"]["name"].get<std::string>()] = object["spec"]["value"].get<int>();
        return values;
    }

    static Answer watch(std::string_view kind, std::uint64_t revision, int waitMilliseconds)
    {
        return call("GET", std::string(kind) + "?watch=" + std::to_string(revision) + "&wait-ms=" + std::to_string(waitMilliseconds));
    }

private:
    asio::io_context loop_;
    Store store_;
    std::thread thread_;

    // The store listens some time after its start.
    static void awaitListening()
    {
        asio::io_context loop;
        for (int attempt = 0; attempt < 500; ++attempt) {
            asio::ip::tcp::socket socket(loop);
            asio::error_code refused;
            socket.connect({ asio::ip::make_address_v4(storeAddress.address), storeAddress.port }, refused);
            if (!refused)
                return;
            std::this_thread::sleep_for(10ms);
        }
        BOOST_FAIL("the store does not listen");
    }
};

using Values = std::map<std::string, int>;

// Later than every write before, and not later than any write after.
std::chrono::steady_clock::time_point momentBetweenWrites()
{
    std::this_thread::sleep_for(1ms);
    return std::chrono::steady_clock::now();
}

} // namespace

BOOST_AUTO_TEST_CASE(ARestoredStoreHasWhatItsCopyHad)
{
    StoreProcess store;
    store.write(members, "changed", 1);
    store.write(members, "removed", 1);
    std::uint64_t const last = store.write(members, "kept", 1);
    std::chrono::steady_clock::time_point const taken = momentBetweenWrites();
    store.write(members, "changed", 2);
    store.write(members, "changed", 3);
    store.call("DELETE", std::string(members) + "/removed");
    std::uint64_t const lost = store.write(members, "new", 1);
    store.restore(taken);
    BOOST_TEST((store.list(members) == Values { { "changed", 1 }, { "removed", 1 }, { "kept", 1 } }));
    BOOST_TEST(store.call("GET", std::string(members)).body["store-revision"].get<std::uint64_t>() == last);
    // Revisions are given out again.
    BOOST_TEST(store.write(members, "later", 1) == last + 1);
    BOOST_TEST(lost > last + 1);
}

BOOST_AUTO_TEST_CASE(WhatTheOperatorWroteIsWrittenAgain)
{
    StoreProcess store;
    std::uint64_t const first = store.write(configuration, "main", 1);
    std::chrono::steady_clock::time_point const taken = momentBetweenWrites();
    store.write(members, "new", 1);
    store.write(configuration, "main", 2);
    std::uint64_t const confirmed = store.write(configuration, "main", 3);
    store.restore(taken);
    BOOST_TEST((store.list(configuration) == Values { { "main", 3 } }));
    BOOST_TEST(store.list(members).empty());
    Answer const object = store.call("GET", std::string(configuration) + "/main");
    BOOST_TEST(object.body["meta"]["revision"].get<std::uint64_t>() == first + 2);
    BOOST_TEST(confirmed == first + 3);
}

// Guards against a soak in which a restored store never lacks an evacuation, or lacks it for ever.
BOOST_AUTO_TEST_CASE(EvacuationsAreRepeatedSomeSecondsAfterARestore)
{
    constexpr std::string_view evacuations = "/plantaindrift/objects/evacuations";
    auto const isListed = [evacuations](std::string const& name) { return StoreProcess::call("GET", std::string(evacuations) + '/' + name).status == 200; };
    StoreProcess store;
    store.write(evacuations, "withdrawn", 1);
    store.write(evacuations, "kept", 1);
    std::chrono::steady_clock::time_point const taken = momentBetweenWrites();
    store.call("DELETE", std::string(evacuations) + "/withdrawn");
    store.write(evacuations, "new", 1);
    store.write(evacuations, "changed", 1);
    store.restore(taken);
    std::chrono::steady_clock::time_point const restored = std::chrono::steady_clock::now();
    BOOST_TEST(isListed("withdrawn"));
    BOOST_TEST(!isListed("new"));
    // What the operator does himself meanwhile is not undone.
    store.write(evacuations, "changed", 2);
    store.call("DELETE", std::string(evacuations) + "/changed");
    while (!isListed("new") && std::chrono::steady_clock::now() - restored < 20s)
        std::this_thread::sleep_for(50ms);
    BOOST_TEST((std::chrono::steady_clock::now() - restored >= Store::evacuationRepeatDelay));
    BOOST_TEST(isListed("new"));
    BOOST_TEST(isListed("kept"));
    BOOST_TEST(!isListed("withdrawn"));
    BOOST_TEST(!isListed("changed"));
}

BOOST_AUTO_TEST_CASE(AWatchFromARevisionThatTheStoreLacksIsGone)
{
    StoreProcess store;
    std::uint64_t const kept = store.write(members, "kept", 1);
    std::chrono::steady_clock::time_point const taken = momentBetweenWrites();
    store.write(members, "new", 1);
    std::uint64_t const lost = store.write(members, "new", 2);
    store.restore(taken);
    BOOST_TEST(store.watch(members, lost, 0).status == 410);
    BOOST_TEST(store.watch(members, kept, 0).status == 200);
    // Once the revision is given out again, nothing distinguishes the watch from one of the new history.
    store.write(members, "other", 1);
    BOOST_TEST(store.write(members, "last", 1) == lost);
    Answer const misled = store.watch(members, lost, 0);
    BOOST_TEST(misled.status == 200);
    BOOST_TEST(misled.body["events"].empty());
    BOOST_TEST(store.watch(members, kept, 0).body["events"].size() == 2U);
}

BOOST_AUTO_TEST_CASE(ARestoreCutsWaitingWatches)
{
    StoreProcess store;
    std::uint64_t const revision = store.write(members, "kept", 1);
    std::future<Answer> waiting = std::async(std::launch::async, [revision] { return StoreProcess::watch(members, revision, 20'000); });
    BOOST_TEST((waiting.wait_for(300ms) == std::future_status::timeout));
    store.restore(std::chrono::steady_clock::now());
    BOOST_TEST_REQUIRE((waiting.wait_for(5s) == std::future_status::ready));
    BOOST_TEST(waiting.get().status == 0);
}

BOOST_AUTO_TEST_CASE(EveryAnswerNamesTheEra)
{
    StoreProcess store;
    store.write(members, "kept", 1);
    for (std::string const era : { "1", "2", "3" }) {
        std::string const object = R"({"meta": {"name": "kept"}, "spec": {"value": 1}})";
        BOOST_TEST(store.call("GET", std::string(members)).era == era);
        BOOST_TEST(store.call("GET", std::string(members) + "/none").era == era);
        BOOST_TEST(store.call("GET", "/elsewhere").era == era);
        BOOST_TEST(store.call("POST", std::string(members), object).era == era);
        BOOST_TEST(store.watch(members, 1'000'000, 0).era == era);
        BOOST_TEST(store.watch(members, 1, 0).era == era);
        store.call("POST", "/faults", R"({"outage": true})");
        Answer const refused = store.call("GET", std::string(members));
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(refused.era == era);
        store.call("POST", "/faults", R"({"outage": false})");
        store.restore(std::chrono::steady_clock::now());
    }
}

// A later restore may go back behind an earlier one, and behind history that is no longer available.
BOOST_AUTO_TEST_CASE(RestoresFollowEachOther)
{
    StoreProcess store;
    std::uint64_t const first = store.write(members, "first", 1);
    std::chrono::steady_clock::time_point const early = momentBetweenWrites();
    store.write(members, "second", 1);
    std::chrono::steady_clock::time_point const late = momentBetweenWrites();
    store.write(members, "third", 1);
    store.restore(late);
    store.write(members, "fourth", 1);
    store.call("POST", "/forget");
    store.restore(early);
    BOOST_TEST((store.list(members) == Values { { "first", 1 } }));
    BOOST_TEST(store.watch(members, first, 0).status == 200);
}
