// Guards against datagrams that are lost because they arrived just before a planned stop, and against single errors that
// end a process.
#include "plantaindrift/base/Error.h"
#include "runtime/DaemonCore.h"
#include "runtime/FleetStoreThread.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace {

using namespace plantaindrift;
using namespace std::chrono_literals;

class CountingFilter final : public PacketFilter {
public:
    [[nodiscard]] PacketVerdict decide(std::span<std::byte const> /*datagram*/, Endpoint /*from*/, PacketTime const& time) noexcept override
    {
        ++count;
        longestWait = std::max(longestWait, time.maximumWait);
        return {};
    }
    std::size_t count { 0 };
    Duration longestWait {};
};

// A port that is free for UDP and for TCP: the HTTP endpoint binds it with TCP.
Endpoint freeEndpoint()
{
    asio::io_context loop;
    while (true) {
        asio::ip::udp::socket const socket(loop, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::uint16_t const port = socket.local_endpoint().port();
        asio::ip::tcp::acceptor acceptor(loop);
        acceptor.open(asio::ip::tcp::v4());
        asio::error_code isInUse;
        acceptor.bind(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port), isInUse);
        if (!isInUse)
            return { 0x7F000001U, port };
    }
}

CommonSettings makeSettings()
{
    CommonSettings settings;
    settings.name = "core";
    settings.data = freeEndpoint();
    settings.control = freeEndpoint();
    settings.http = freeEndpoint();
    settings.insecure = true;
    settings.controlTransport = ControlTransportKind::Datagram;
    return settings;
}

DaemonCore::Handlers makeHandlers(CountingFilter& filter)
{
    DaemonCore::Handlers handlers;
    handlers.packets = &filter;
    handlers.control = [](Endpoint, std::span<std::byte const>) {};
    handlers.tick = [](TimePoint) {};
    handlers.keys = [](KeyRing const&) {};
    handlers.ready = [] { return true; };
    handlers.metrics = [](MetricsPage&) {};
    handlers.stop = [] {};
    return handlers;
}

void sendDatagrams(Endpoint to, std::size_t count)
{
    asio::io_context loop;
    asio::ip::udp::socket socket(loop, asio::ip::udp::v4());
    std::array<std::byte, 40> const datagram {};
    for (std::size_t index = 0; index < count; ++index)
        socket.send_to(asio::buffer(datagram), asio::ip::udp::endpoint(asio::ip::address_v4(to.address), to.port));
}

// A store whose answers make the first calls throw.
class ThrowingStore final : public FleetStore {
public:
    explicit ThrowingStore(int& calls)
        : calls_(calls)
    {
    }
    absl::StatusOr<std::optional<VersionedConfiguration>> readConfiguration() override { return std::nullopt; }
    absl::StatusOr<std::optional<VersionedConfiguration>> awaitConfiguration(std::chrono::milliseconds /*time*/) override { return std::nullopt; }
    absl::StatusOr<std::vector<Member>> readMembers(bool /*fresh*/) override
    {
        if (++calls_ < 3)
            throw std::out_of_range("answer");
        return std::vector<Member> {};
    }
    absl::Status writeMember(Member const& /*member*/) override { return absl::OkStatus(); }
    absl::Status removeMember(std::string_view /*name*/) override
    {
        return ++calls_ < 3 ? absl::UnavailableError("down") : absl::OkStatus();
    }

private:
    int& calls_;
};

// Holds a configuration that cannot be read.
class UnusableConfigurationStore final : public FleetStore {
public:
    explicit UnusableConfigurationStore(std::atomic<int>& writes)
        : writes_(writes)
    {
    }
    absl::StatusOr<std::optional<VersionedConfiguration>> readConfiguration() override { return makeError(ErrorKind::InvalidMessage, "unusable"); }
    absl::StatusOr<std::optional<VersionedConfiguration>> awaitConfiguration(std::chrono::milliseconds /*time*/) override { return makeError(ErrorKind::InvalidMessage, "unusable"); }
    absl::StatusOr<std::vector<Member>> readMembers(bool /*fresh*/) override { return std::vector<Member> {}; }
    absl::Status writeMember(Member const& /*member*/) override
    {
        ++writes_;
        return absl::OkStatus();
    }
    absl::Status removeMember(std::string_view /*name*/) override { return absl::OkStatus(); }

private:
    std::atomic<int>& writes_;
};

} // namespace

BOOST_AUTO_TEST_CASE(DatagramsThatArrivedBeforeAStopAreProcessed)
{
    constexpr std::size_t count = 200;
    CountingFilter filter;
    CommonSettings const settings = makeSettings();
    DaemonCore::Handlers handlers = makeHandlers(filter);
    DaemonCore* running = nullptr;
    handlers.tick = [&](TimePoint) {
        sendDatagrams(settings.data, count);
        running->finish(absl::OkStatus());
    };
    DaemonCore core(settings, {}, handlers);
    running = &core;
    BOOST_TEST(core.run().ok());
    BOOST_TEST(filter.count == count);
}

// Guards against datagrams that waited while the process stood still and are processed as if they had just arrived.
BOOST_AUTO_TEST_CASE(DatagramsThatArrivedDuringAStallAreMarked)
{
    constexpr std::chrono::milliseconds stall = StallDetector::minimumStall + 50ms;
    CountingFilter filter;
    CommonSettings const settings = makeSettings();
    DaemonCore::Handlers handlers = makeHandlers(filter);
    DaemonCore* running = nullptr;
    bool wasStalled = false;
    handlers.tick = [&](TimePoint) {
        if (filter.count > 0)
            running->finish(absl::OkStatus());
        if (std::exchange(wasStalled, true))
            return;
        sendDatagrams(settings.data, 1);
        std::this_thread::sleep_for(stall);
    };
    DaemonCore core(settings, {}, handlers);
    running = &core;
    BOOST_TEST(core.run().ok());
    BOOST_TEST(filter.count == 1U);
    BOOST_TEST((filter.longestWait >= stall));
}

// Guards against a second owner of an open flow: opening segments that waited while an entry was starting were offered as
// if they had just arrived.
BOOST_AUTO_TEST_CASE(DatagramsThatWereHeldAreMarked)
{
    constexpr std::chrono::milliseconds hold = StallDetector::minimumStall;
    CountingFilter filter;
    CommonSettings const settings = makeSettings();
    DaemonCore::Handlers handlers = makeHandlers(filter);
    handlers.holdPackets = true;
    DaemonCore* running = nullptr;
    std::optional<TimePoint> sent;
    handlers.tick = [&](TimePoint now) {
        if (!sent) {
            sendDatagrams(settings.data, 1);
            sent = now;
        }
        if (now - *sent >= hold)
            running->releasePackets();
        if (filter.count > 0)
            running->finish(absl::OkStatus());
    };
    DaemonCore core(settings, {}, handlers);
    running = &core;
    BOOST_TEST(core.run().ok());
    BOOST_TEST(filter.count == 1U);
    BOOST_TEST((filter.longestWait >= hold));
}

BOOST_AUTO_TEST_CASE(AnErrorInAHandlerDoesNotEndTheProcess)
{
    CountingFilter filter;
    DaemonCore::Handlers handlers = makeHandlers(filter);
    DaemonCore* running = nullptr;
    int ticks = 0;
    handlers.tick = [&](TimePoint) {
        if (++ticks == 3)
            running->finish(absl::OkStatus());
        throw std::length_error("handler");
    };
    DaemonCore core(makeSettings(), {}, handlers);
    running = &core;
    asio::post(core.loop(), [] { throw std::length_error("posted"); });
    BOOST_TEST(core.run().ok());
    BOOST_TEST(ticks == 3);
}

BOOST_AUTO_TEST_CASE(AnErrorOfTheStoreIsRetried)
{
    asio::io_context loop;
    int calls = 0;
    bool wasRead = false;
    FleetStoreThread::Handlers handlers;
    handlers.members = [&](std::vector<Member> const&, bool) { wasRead = true; };
    FleetStoreThread store(loop, std::make_unique<ThrowingStore>(calls), {}, handlers);
    store.start();
    std::chrono::steady_clock::time_point const end = std::chrono::steady_clock::now() + 60s;
    while (!wasRead && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_for(20ms);
    }
    BOOST_TEST(wasRead);
}

// Calls to the store must not grow with the number of entries.
BOOST_AUTO_TEST_CASE(AllEntriesTogetherRenewFewWatches)
{
    BOOST_TEST((watchTimeoutFor(0) == 2000ms));
    BOOST_TEST((watchTimeoutFor(6) == 2000ms));
    for (std::size_t const entries : { 6U, 20U, 59U })
        BOOST_TEST(static_cast<double>(entries) / std::chrono::duration<double>(watchTimeoutFor(entries)).count() <= 3.1);
    BOOST_TEST((watchTimeoutFor(1000) == 20s));
}

// A record that is left in the store would be used again after a restart of all entries.
BOOST_AUTO_TEST_CASE(ARecordIsRemovedThoughTheStoreFailsAtFirst)
{
    asio::io_context loop;
    int calls = 0;
    FleetStoreThread store(loop, std::make_unique<ThrowingStore>(calls), {}, {});
    store.removeSelf();
    BOOST_TEST(calls == 3);
}

// An entry neither read the members nor wrote its record while the configuration in the store was unusable.
BOOST_AUTO_TEST_CASE(AnUnusableConfigurationDoesNotHideTheMembers)
{
    asio::io_context loop;
    std::atomic<int> writes { 0 };
    bool wasRead = false;
    FleetStoreThread::Handlers handlers;
    handlers.configuration = [](VersionedConfiguration const&) {};
    handlers.members = [&](std::vector<Member> const&, bool) { wasRead = true; };
    FleetStoreThread store(loop, std::make_unique<UnusableConfigurationStore>(writes), Member {}, handlers);
    store.start();
    TimePoint const end = std::chrono::steady_clock::now() + 5s;
    while ((!wasRead || writes == 0) && std::chrono::steady_clock::now() < end) {
        loop.run_for(50ms);
        loop.restart();
    }
    BOOST_TEST(wasRead);
    BOOST_TEST(writes > 0);
}
