#pragma once

#include "common/FaultyServer.h"
#include "plantaindrift/base/Types.h"
#include "platform/VersionedObjects.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace plantaindrift::standin {

/// \brief HTTP server of the platform's object API; runs on one thread.
class PlatformServer {
public:
    /// \param onListening  gets the bound port
    PlatformServer(asio::io_context& context, Endpoint listen, std::function<void(std::uint16_t)> onListening);

    void start();
    void stop();

private:
    using Request = FaultyServer::Request;
    using Reply = FaultyServer::Reply;

    struct Waiter {
        Request request;
        std::string prefix;
        std::uint64_t after { 0 };
        asio::steady_timer timer;
    };

    void handle(Request const& request, std::string const& path);
    void handleObjects(Request const& request, std::string_view path);
    void handleWatch(Request const& request);
    void handleWrite(Request const& request, std::string const& key);
    [[nodiscard]] Reply get(std::string const& key) const;
    [[nodiscard]] Reply list(Request const& request) const;
    [[nodiscard]] Reply put(Request const& request, std::string const& key);
    [[nodiscard]] Reply remove(Request const& request, std::string const& key);
    void wakeWaiters();
    void count(std::string_view kind) { ++counts_[std::string(kind)]; }

    asio::io_context& context_;
    VersionedObjects objects_;
    std::map<std::string, std::uint64_t> counts_;
    std::list<Waiter> waiters_;
    FaultyServer server_;
};

} // namespace plantaindrift::standin
