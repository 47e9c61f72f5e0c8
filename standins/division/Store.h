#pragma once

#include "common/FaultyServer.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace plantaindrift::standins {

/// \brief The division's store: objects by kind and name, one revision counter, conditions, lists and watches.
class Store {
public:
    using ConfigurationObserver = std::function<void(nlohmann::json const&)>;

    using EvacuationObserver = std::function<void(std::string const& dataCentre, bool isEvacuated)>;

    /// \brief Time after a restore in which the operator has not yet repeated evacuations and their withdrawals.
    static constexpr std::chrono::seconds evacuationRepeatDelay { 3 };

    /// \param configured  is told of each configuration that is written
    /// \param evacuated   called for each evacuation that the operator writes or removes; may be empty
    Store(asio::io_context& loop, Endpoint listen, ConfigurationObserver configured, EvacuationObserver evacuated = {});

    void start() { server_.start(); }

    /// \brief Comes back from a copy that was taken at a moment: what the system wrote since is gone, revisions are given
    /// out again, waiting watches are cut, and what the operator wrote since is written again: the configuration at once,
    /// evacuations and their withdrawals some seconds later.
    void restore(std::chrono::steady_clock::time_point taken);

private:
    using Request = standin::FaultyServer::Request;
    using Reply = standin::FaultyServer::Reply;
    using Kind = std::map<std::string, nlohmann::json>; ///< objects by name

    struct Change {
        std::uint64_t revision { 0 };
        std::string kind;
        nlohmann::json object;
        bool deleted { false };
        nlohmann::json before; ///< null if there was no such object
        std::chrono::steady_clock::time_point time;
    };

    struct Waiter {
        Request request;
        std::string kind;
        std::uint64_t after { 0 };
        asio::steady_timer timer;
    };

    asio::io_context& loop_;
    ConfigurationObserver configured_;
    EvacuationObserver evacuated_;
    asio::steady_timer repeatTimer_;
    std::map<std::string, bool> owedEvacuations_; ///< by data centre, what the operator has to repeat
    std::map<std::string, Kind> kinds_;
    std::vector<Change> history_;
    std::uint64_t revision_ { 500 };
    std::uint64_t forgotten_ { 0 }; ///< history up to this revision is no longer available
    std::uint64_t era_ { 1 }; ///< rises with each restore
    std::list<Waiter> waiters_;
    standin::FaultyServer server_;

    void answer(Request const& request, Reply reply);
    void handle(Request const& request, std::string const& path);
    void handleRead(Request const& request, std::string const& kind, std::string const& name);
    void handleWatch(Request const& request, std::string const& kind, std::uint64_t after);
    void handleWrite(Request const& request, std::string const& kind, std::string name);
    [[nodiscard]] Reply list(Request const& request, std::string const& kind) const;
    [[nodiscard]] Reply write(Request const& request, std::string const& kind, std::string const& name, nlohmann::json const& body);
    [[nodiscard]] std::string events(std::string const& kind, std::uint64_t after) const;
    [[nodiscard]] bool hasEvents(std::string const& kind, std::uint64_t after) const;
    void put(std::string const& kind, std::string const& name, nlohmann::json const& contents);
    void note(std::string const& kind, nlohmann::json const& object, bool deleted, nlohmann::json before);
    void undo(Change const& change);
    void repeatEvacuations();
    void noteEvacuation(std::string const& name, bool isEvacuated);
    [[nodiscard]] bool removeObject(std::string const& kind, std::string const& name);
    void wakeWaiters();
    void forgetHistory();
    void cutWaiters();
};

} // namespace plantaindrift::standins
