#pragma once

#include "division/FlowEnd.h"
#include "division/Judge.h"
#include "plantaindrift/runtime/HttpClient.h"
#include "plantaindrift/runtime/UdpSocket.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace plantaindrift::standins {

/// \brief Where a target and its agent are.
struct TargetPlace {
    std::string service;
    std::string dataCentre;
    Endpoint app; ///< takes packets of its agent
    Endpoint output; ///< its agent takes packets here
    Endpoint announcements; ///< its agent takes announcements here
};

/// \brief A server beside an agent: slots, a queue, flows, announcements, draining and crashes.
class Target {
public:
    Target(asio::io_context& loop, Judge& judge, TargetPlace place, std::uint64_t seed);
    ~Target();
    Target(Target const&) = delete;
    Target& operator=(Target const&) = delete;

    /// \brief Starts a new process of the target, which holds no flows.
    void start(TimePoint now);

    /// \brief Announces that it drains; ends some time after that was acknowledged.
    void drain();

    /// \brief Ends at once and says nothing.
    void crash();

    /// \brief The next process serves another service.
    void setService(std::string service) { place_.service = std::move(service); }

    void tick(TimePoint now);

    [[nodiscard]] bool isUp() const noexcept { return up_; }
    [[nodiscard]] std::string const& service() const noexcept { return place_.service; }
    [[nodiscard]] std::uint32_t address() const noexcept { return place_.app.address; }
    [[nodiscard]] std::uint64_t requests() const noexcept { return requests_; }
    [[nodiscard]] std::uint64_t returned() const noexcept { return returned_; }

private:
    struct Flow {
        std::unique_ptr<FlowEnd> end;
        bool open { false };
        TimePoint last;
    };

    struct Work {
        FlowEnds flow;
        std::string answer;
        Duration time { 0 };
        TimePoint due;
    };

    asio::io_context& loop_;
    Judge& judge_;
    TargetPlace place_;
    UdpSocket socket_;
    std::mt19937_64 random_;
    bool up_ { false };
    std::map<FlowEnds, Flow> flows_;
    std::deque<Work> working_;
    std::deque<Work> waiting_;
    std::uint64_t requests_ { 0 };
    std::uint64_t returned_ { 0 };
    TimePoint started_;
    TimePoint drainedAt_;
    bool draining_ { false };

    // Announcements go out from a thread, because the calls block.
    std::thread announcer_;
    std::atomic<bool> stopping_ { false };
    std::atomic<bool> announces_ { false };
    std::mutex mutex_;
    std::string id_;
    std::string service_;
    std::int64_t born_ { 0 };
    std::uint64_t sequence_ { 0 };
    bool sayDraining_ { false };
    bool sayEnd_ { false };

    void end();
    void receive(std::span<std::byte const> datagram, TimePoint now);
    void takeOpening(Packet const& packet, std::span<std::byte const> datagram, TimePoint now);
    void takeLater(Flow& flow, FlowEnds const& ends, Packet const& packet, TimePoint now);
    void giveBack(std::span<std::byte const> datagram);
    void readRequests(Flow& flow, FlowEnds const& ends, TimePoint now);
    void startWork(Work work, TimePoint now);
    void finishWork(TimePoint now);
    void announceAlways();
    void announceOnce(HttpClient& client);
};

} // namespace plantaindrift::standins
