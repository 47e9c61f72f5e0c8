#pragma once

#include "plantaindrift/base/Types.h"
#include "platform/VersionedObjects.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <restinio/all.hpp>
#include <string>

namespace plantaindrift::standin {

/// \brief Faults that POST /faults switches; absent fields keep their value.
struct Faults {
    bool outage { false }; ///< every call is answered 503 and has no effect
    bool silent { false }; ///< every call stays open without answer and effect
    std::uint64_t slowMilliseconds { 0 }; ///< answers are delayed; effects are not
    std::uint64_t lostAnswers { 0 }; ///< the next N writes take effect and their connections close without an answer
};

/// \brief HTTP server of the platform's object API; runs on one thread.
class PlatformServer {
public:
    /// \param onListening  gets the bound port
    PlatformServer(asio::io_context& context, Endpoint listen, std::function<void(std::uint16_t)> onListening);

    void start();
    void stop();

private:
    using Traits = restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;
    using Server = restinio::http_server_t<Traits>;
    using Request = restinio::request_handle_t;

    struct Reply {
        std::uint16_t status { 200 };
        std::string body;
        std::uint64_t version { 0 }; ///< 0 means no ETag
    };

    struct Waiter {
        Request request;
        std::string prefix;
        std::uint64_t after { 0 };
        asio::steady_timer timer;
    };

    restinio::request_handling_status_t handle(Request const& request);
    void handleObjects(Request const& request, std::string_view path);
    void handleFaults(Request const& request);
    void handleWatch(Request const& request);
    void handleWrite(Request const& request, std::string const& key);
    [[nodiscard]] Reply get(std::string const& key) const;
    [[nodiscard]] Reply list(Request const& request) const;
    [[nodiscard]] Reply put(Request const& request, std::string const& key);
    [[nodiscard]] Reply remove(Request const& request, std::string const& key);
    void answer(Request const& request, Reply reply);
    void send(Request const& request, Reply const& reply);
    void wakeWaiters();
    void count(std::string_view kind) { ++counts_[std::string(kind)]; }

    asio::io_context& context_;
    std::function<void(std::uint16_t)> onListening_;
    std::uint16_t port_ { 0 };
    VersionedObjects objects_;
    Faults faults_;
    std::map<std::string, std::uint64_t> counts_;
    std::list<Waiter> waiters_;
    std::vector<Request> silenced_; ///< calls that got no answer; held because a released request closes its connection
    std::unique_ptr<Server> server_;
};

} // namespace plantaindrift::standin
