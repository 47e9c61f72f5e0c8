#pragma once

#include "membership/TokenBucket.h"
#include "plantaindrift/membership/EntryControl.h"

#include "control.pb.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace plantaindrift {

/// \brief Order in which deltas leave when the budget does not allow all of them.
enum class Urgency : std::uint8_t {
    Suspicion, ///< changes nothing in the packet path yet
    Arrival,
    Departure, ///< draining, dead, left
    Configuration
};

/// \brief Queue of deltas for the neighbours: batches under a token bucket, newest and most urgent first.
class Gossip {
public:
    /// \brief Shortest time between two rounds of batches.
    static constexpr std::chrono::milliseconds roundPeriod { 200 };

    /// \brief Largest encoded batch for one neighbour, unless a single delta is larger; fits one segment.
    static constexpr std::size_t batchBytes = 1200;

    /// \brief Time over which unused allowance accumulates.
    static constexpr std::chrono::seconds burst { 10 };

    /// \brief Time after which an unsent delta is dropped; comparisons carry it further without duplicates.
    ///
    /// Without it, 2,300 joins kept the gossip of 200 entries at its limit for 20 minutes after all knew them.
    static constexpr std::chrono::seconds lifetime { 30 };

    /// \param bytesPerSecond  the share of the node's budget for gossip
    explicit Gossip(double bytesPerSecond);

    /// \brief Number of transmissions of one delta among this many entries.
    [[nodiscard]] static int transmissions(std::size_t entries) noexcept;

    /// \brief Queues a record; it replaces an older record of the same member.
    void push(control::Member const& member, std::size_t entries);

    /// \brief Queues a change of the configuration.
    void push(control::ConfigurationChange const& change, std::size_t entries);

    /// \brief Queues a copy of a declaration.
    void push(control::ServiceCopy const& copy, std::size_t entries);

    /// \brief Notes that another entry sent the same record, which needs one transmission less from here.
    void noteDuplicate(std::string_view member);

    /// \brief Notes that another entry sent the same change.
    void noteDuplicate(std::uint64_t position);

    /// \brief Notes that another entry sent the same copy.
    void noteDuplicateCopy(std::string_view service);

    /// \brief True if a round is due and something waits.
    [[nodiscard]] bool isDue(TimePoint now) const noexcept;

    /// \brief The batches of one round.
    ///
    /// \param least  deltas of less urgency wait
    void round(TimePoint now, Urgency least, std::span<Endpoint const> neighbours, std::vector<ControlMessage>& messages);

    /// \brief Deltas that waited for the budget.
    [[nodiscard]] std::uint64_t deferred() const noexcept { return deferred_; }

    [[nodiscard]] std::size_t queued() const noexcept { return items_.size(); }

private:
    struct Rank {
        Urgency urgency { Urgency::Arrival };
        std::uint64_t sequence { 0 };

        // The front of the queue is the most urgent and newest item.
        friend bool operator<(Rank const& left, Rank const& right) noexcept
        {
            return left.urgency != right.urgency ? left.urgency > right.urgency : left.sequence > right.sequence;
        }
    };

    struct Item {
        std::string key;
        std::variant<control::Member, control::ConfigurationChange, control::ServiceCopy> body;
        std::size_t bytes { 0 };
        int remaining { 0 };
        std::optional<TimePoint> since; ///< first round in which it was queued
        bool deferred { false };
    };

    void pushItem(std::string key, Urgency urgency, Item item);
    void reduce(std::string_view key);
    [[nodiscard]] std::string fillBatch(Urgency least);
    [[nodiscard]] bool canSend(Rank const& rank, Item const& item) const noexcept;
    void countDeferred();
    void dropOld(TimePoint now);

    TokenBucket bucket_;
    std::map<Rank, Item> items_;
    std::map<std::string, Rank, std::less<>> ranks_;
    std::uint64_t sequence_ { 0 };
    std::uint64_t deferred_ { 0 };
    std::optional<TimePoint> lastRound_;
};

} // namespace plantaindrift
