#pragma once

#include "division/Packet.h"
#include "plantaindrift/runtime/HttpClient.h"
#include "plantaindrift/runtime/UdpSocket.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace plantaindrift::standins {

/// \brief An entry as the routers know it.
struct RoutedEntry {
    Endpoint data;
    Endpoint ready;
};

/// \brief The platform's routers: each flow goes to one of the entries that answer that they are ready.
class Router {
public:
    using Send = std::function<void(Endpoint, std::span<std::byte const>)>;

    Router(asio::io_context& loop, std::vector<RoutedEntry> entries, Send send, std::uint64_t seed);
    ~Router();
    Router(Router const&) = delete;
    Router& operator=(Router const&) = delete;

    /// \brief Carries a caller's packet to an entry.
    ///
    /// \returns  the entry's address; 0 if the packet was lost
    std::uint32_t forward(FlowEnds const& flow, std::span<std::byte const> datagram);

    /// \brief Share of callers' packets that are lost from now on.
    void setLoss(double share) noexcept { loss_ = share; }

    /// \brief Loses all packets to an entry, or none, from now on.
    void cut(std::uint32_t entry, bool isCut);

    [[nodiscard]] std::size_t readyCount() const noexcept { return ready_.size(); }

private:
    asio::io_context& loop_;
    std::vector<RoutedEntry> entries_;
    Send send_;
    std::mt19937_64 random_;
    double loss_ { 0 };
    std::set<std::uint32_t> cut_;
    std::set<std::size_t> ready_; ///< indices of entries
    std::atomic<bool> stopping_ { false };
    std::vector<std::thread> probes_; ///< one an entry, because the calls block

    void probe(std::size_t index);
};

} // namespace plantaindrift::standins
