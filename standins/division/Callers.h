#pragma once

#include "division/FlowEnd.h"
#include "division/Judge.h"
#include "division/Request.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <span>
#include <string>

namespace plantaindrift::standins {

/// \brief A route that callers use.
struct CallerRoute {
    Endpoint address;
    std::string service;
};

/// \brief Counts since start.
struct CallerCounts {
    std::uint64_t asked { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t failed { 0 };
    std::uint64_t flows { 0 };
    std::uint64_t reset { 0 }; ///< flows that were open
    std::uint64_t refused { 0 };
    std::uint64_t unanswered { 0 }; ///< flows that never opened
};

/// \brief Callers of one address: long feeds, bookings that must not run twice, and uploads, each with retries.
class Callers {
public:
    using Send = std::function<void(FlowEnds const&, std::span<std::byte const>)>;

    Callers(Judge& judge, std::uint32_t address, std::vector<CallerRoute> routes, Send send, std::uint64_t seed);

    /// \param rate   new requests a second that have a flow of their own
    /// \param feeds  flows that stay open for many requests
    void setTraffic(double rate, std::size_t feeds) noexcept;

    /// \brief Takes a packet that was sent to a caller.
    void receive(std::span<std::byte const> datagram, Endpoint from, TimePoint now);

    void tick(TimePoint now);

    /// \brief Requests that have no outcome yet.
    [[nodiscard]] std::size_t pending() const noexcept { return sessions_.size(); }

    [[nodiscard]] nlohmann::json counts() const;

private:
    struct Session {
        CallerRoute route;
        Request request;
        bool isFeed { false };
        int tries { 0 };
        TimePoint deadline;
        TimePoint nextRequest;
        TimePoint feedEnd;
        bool waiting { false }; ///< for an answer
        FlowEnds ends;
        std::unique_ptr<FlowEnd> flow;
    };

    Judge& judge_;
    std::uint32_t address_;
    std::vector<CallerRoute> routes_;
    Send send_;
    std::mt19937_64 random_;
    double rate_ { 0 };
    std::size_t feeds_ { 0 };
    double due_ { 0 };
    TimePoint last_;
    std::uint64_t requestNumber_ { 0 };
    std::uint32_t flowNumber_ { 0 };
    std::list<Session> sessions_;
    std::map<FlowEnds, Session*> byEnds_;
    CallerCounts counts_;

    [[nodiscard]] Request makeRequest(CallerRoute const& route, bool isFeed);
    void startSession(bool isFeed, TimePoint now);
    void openFlow(Session& session, TimePoint now);
    void ask(Session& session, TimePoint now);
    void closeFlow(Session& session, TimePoint now);
    [[nodiscard]] bool step(Session& session, TimePoint now);
    [[nodiscard]] bool endTry(Session& session, TimePoint now);
    void takeAnswer(Session& session, TimePoint now);
    [[nodiscard]] std::size_t feedCount() const;
};

} // namespace plantaindrift::standins
