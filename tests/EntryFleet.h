#pragma once

#include "plantaindrift/relay/EntryResources.h"
#include "relay/EntryResourceControl.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// \brief Simulates the entries of one data centre and the fabric that distributes traffic among them, without a network.
///
/// The fabric requests the readiness of each entry twice a second, takes an entry out of rotation after two misses and
/// back after one success, and gives each entry in rotation the same share. It uses all if fewer than half are in.
namespace entry_fleet {

using namespace plantaindrift;
using namespace std::chrono_literals;

inline constexpr std::uint32_t wallClockSeconds = 1'000'000;
inline constexpr double bytesPerMegabit = 125'000;

class Fleet {
public:
    /// \param links  Mbit/s of each entry's link; 0 for an entry without declared limits
    explicit Fleet(std::vector<double> const& links)
    {
        keys_.count = 1;
        for (double const link : links) {
            std::unique_ptr<Node> node = std::make_unique<Node>();
            node->name = "entry-" + std::to_string(nodes_.size() + 1);
            node->linkMbps = link;
            node->sender = std::make_unique<Sender>(*this, nodes_.size());
            EntryResources resources;
            resources.linkMbps = link;
            node->control = std::make_unique<EntryResourceControl>(resources, entryNameHash(node->name), 41 + nodes_.size(), *node->sender);
            nodes_.push_back(std::move(node));
        }
        announceRunning();
    }

    std::function<double(double seconds)> demandMbps; ///< traffic of the data centre, by seconds since the start
    std::function<bool(std::size_t from, std::size_t to)> losesMessage; ///< loses the messages for which it returns true

    /// \brief Ends an entry; the others learn of it at once.
    void end(std::size_t index)
    {
        nodes_[index]->isRunning = false;
        announceRunning();
    }

    void runFor(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed { 0 }; passed < time; passed += 100ms)
            step();
    }

    [[nodiscard]] bool isReady(std::size_t index) const { return !nodes_[index]->control->shouldLeaveRotation(); }
    [[nodiscard]] std::size_t departures(std::size_t index) const { return nodes_[index]->departures; }
    [[nodiscard]] std::size_t mostOutAtOnce() const { return mostOutAtOnce_; }
    [[nodiscard]] RotationReason reason(std::size_t index) const { return nodes_[index]->control->report(now_).rotation.reason; }
    [[nodiscard]] std::uint64_t messageBytes(std::size_t index) const { return nodes_[index]->messageBytes; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }

    /// \brief Time for which entries received more than 0.8 of their links, summed over all.
    [[nodiscard]] std::chrono::milliseconds overloadedTime() const { return overloadedTime_; }

    [[nodiscard]] std::size_t outCount() const
    {
        std::size_t out = 0;
        for (std::unique_ptr<Node> const& node : nodes_)
            out += node->isRunning && node->control->shouldLeaveRotation() ? 1 : 0;
        return out;
    }

private:
    class Sender final : public RelaySender {
    public:
        Sender(Fleet& fleet, std::size_t from)
            : fleet_(fleet)
            , from_(from)
        {
        }
        void send(Endpoint to, std::span<std::byte const> datagram) noexcept override { fleet_.deliver(from_, to, datagram); }

    private:
        Fleet& fleet_;
        std::size_t from_;
    };

    struct Node {
        std::string name;
        double linkMbps { 0 };
        std::unique_ptr<Sender> sender;
        std::unique_ptr<EntryResourceControl> control;
        bool isRunning { true };
        bool isUsed { true }; ///< in rotation as the fabric sees it
        std::size_t misses { 0 };
        std::size_t departures { 0 };
        std::uint64_t messageBytes { 0 };
    };

    struct Message {
        std::size_t to { 0 };
        std::vector<std::byte> bytes;
    };

    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<Message> sent_;
    KeyRing keys_;
    TimePoint start_ { 1000s };
    TimePoint now_ { start_ };
    std::size_t mostOutAtOnce_ { 0 };
    std::chrono::milliseconds overloadedTime_ { 0 };

    static Endpoint endpointOf(std::size_t index) { return { 0x0A010001U + static_cast<std::uint32_t>(index), 7735 }; }

    void announceRunning()
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            std::vector<EntryPeer> peers;
            for (std::size_t other = 0; other < nodes_.size(); ++other) {
                if (other != index && nodes_[other]->isRunning)
                    peers.push_back({ entryNameHash(nodes_[other]->name), endpointOf(other) });
            }
            nodes_[index]->control->setPeers(std::move(peers));
        }
    }

    void deliver(std::size_t from, Endpoint to, std::span<std::byte const> datagram)
    {
        std::size_t const receiver = to.address - endpointOf(0).address;
        nodes_[from]->messageBytes += datagram.size() + datagramHeaderBytes;
        if (!losesMessage || !losesMessage(from, receiver))
            sent_.push_back({ receiver, { datagram.begin(), datagram.end() } });
    }

    void step()
    {
        now_ += 100ms;
        for (Message const& message : std::exchange(sent_, {})) {
            DecodedRelayMessage const decoded = decodeRelayMessage(message.bytes, keys_, wallClockSeconds);
            if (decoded.error == DatagramError::None && nodes_[message.to]->isRunning)
                nodes_[message.to]->control->recordStatuses(decoded, now_);
        }
        if ((now_ - start_) % 500ms == 0ms)
            probe();
        distribute();
        for (std::unique_ptr<Node> const& node : nodes_) {
            if (!node->isRunning)
                continue;
            bool const wasOut = node->control->shouldLeaveRotation();
            node->control->tick(true, now_, { keys_, wallClockSeconds });
            node->departures += !wasOut && node->control->shouldLeaveRotation() ? 1 : 0;
        }
        mostOutAtOnce_ = std::max(mostOutAtOnce_, outCount());
    }

    void probe()
    {
        for (std::unique_ptr<Node> const& node : nodes_) {
            bool const answers = node->isRunning && !node->control->shouldLeaveRotation();
            node->misses = answers ? 0 : node->misses + 1;
            node->isUsed = answers || (node->isUsed && node->misses < 2);
        }
    }

    void distribute()
    {
        std::size_t const used = static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](std::unique_ptr<Node> const& node) { return node->isUsed; }));
        bool const usesAll = used * 2 < nodes_.size();
        double const share = demandMbps(std::chrono::duration<double>(now_ - start_).count()) / static_cast<double>(usesAll ? nodes_.size() : used);
        for (std::unique_ptr<Node> const& node : nodes_) {
            if (!node->isRunning || (!usesAll && !node->isUsed))
                continue;
            double const carried = node->linkMbps > 0 ? std::min(share, node->linkMbps) : share;
            node->control->link().recordReceived(static_cast<std::size_t>(carried * bytesPerMegabit / 10) - datagramHeaderBytes);
            if (node->linkMbps > 0 && share > 0.8 * node->linkMbps)
                overloadedTime_ += 100ms;
        }
    }
};

} // namespace entry_fleet
