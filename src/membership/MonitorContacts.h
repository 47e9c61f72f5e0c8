#pragma once

#include "membership/RandomSource.h"
#include "plantaindrift/base/Types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief The entries to which an agent sends heartbeats, and when.
///
/// It starts with entries of the settings, a few at a time until one answers. Replies name the monitors; an entry
/// that no reply names any more gets no further heartbeats. If nobody answers, entries of the settings and of the store's
/// list are tried again, and those that answered last. A monitor that this agent does not know requests a heartbeat and is
/// added. The settings and the list may have become outdated, so that both can be replaced.
class MonitorContacts {
public:
    /// \brief Entries of the settings, and of the store's list, tried at once, at the start and after the monitors fell silent.
    ///
    /// All agents may have the same short list in their settings: more tries at once would load its entries with
    /// every registration of the fleet.
    static constexpr std::size_t fallbackEntries = 3;

    /// \brief Most monitors that a reply may name.
    static constexpr std::size_t maximumNamed = 8;

    /// \brief Period of a heartbeat to a random entry of the settings and the store's list.
    ///
    /// It joins two groups of entries that do not know each other, which share no other contact.
    static constexpr std::chrono::seconds probePeriod { 30 };

    /// \param seeds  entries of the settings
    MonitorContacts(std::vector<Endpoint> seeds, std::chrono::milliseconds interval, std::uint64_t randomSeed);

    struct Due {
        Endpoint to;
        bool withRecord { false };
        std::uint32_t monitorsHash { 0 }; ///< of the monitors that this entry named last
    };

    /// \brief Heartbeats to send now.
    [[nodiscard]] std::vector<Due> takeDue(TimePoint now);

    /// \brief Heartbeats to all current contacts, for a change that must be known at once.
    [[nodiscard]] std::vector<Due> takeAll(TimePoint now);

    /// \brief Replaces the entries of the settings; those that were not known are tried at the next takeDue.
    void setSeeds(std::span<Endpoint const> seeds, TimePoint now);

    /// \brief Replaces the entries of the store's list.
    ///
    /// Up to maximumNamed that were not known are tried at the next takeDue; while no entry answers, others take the places
    /// that are left.
    void setListed(std::span<Endpoint const> listed, TimePoint now);

    /// \brief True if no entry has answered for some time, also those that were tried in place of the monitors.
    [[nodiscard]] bool isUnanswered(TimePoint now) const;

    /// \brief True once after an entry stopped answering.
    [[nodiscard]] bool takeLostContact() noexcept { return std::exchange(hasLostContact_, false); }

    /// \brief Adds an entry that requested a heartbeat.
    ///
    /// \returns the heartbeat to send to it now; its reply names the monitors
    [[nodiscard]] Due addRequester(Endpoint entry, TimePoint now);

    /// \brief Notes a reply.
    ///
    /// \param monitors  the monitors it names; empty if they are those named before
    void noteReply(Endpoint from, std::chrono::milliseconds interval, std::span<Endpoint const> monitors, bool needsRecord, TimePoint now);

    [[nodiscard]] std::size_t size() const noexcept { return contacts_.size(); }

private:
    struct Contact {
        std::optional<TimePoint> lastSent;
        std::optional<TimePoint> lastReply;
        TimePoint lastNamed;
        std::chrono::milliseconds interval { 0 };
        std::vector<Endpoint> named;
        bool needsRecord { true };
        bool onTrial { true }; ///< from the settings or the list; named by no reply yet
        bool isLost { false }; ///< answered once, and has not for the time of several heartbeats
    };

    Contact& add(Endpoint entry, TimePoint now);
    [[nodiscard]] bool isUnansweredFor(int intervals, TimePoint now) const;
    void markLost(TimePoint now);
    /// Adds random entries of a list, which it reorders.
    void tryRandom(std::vector<Endpoint>& entries, std::size_t most, TimePoint now);
    void rememberAnswer(Endpoint entry);
    void dropUnnamed(TimePoint now);
    void fallBack(TimePoint now);
    void probe(TimePoint now);
    [[nodiscard]] Due send(Endpoint to, Contact& contact, TimePoint now);

    std::vector<Endpoint> seeds_;
    std::vector<Endpoint> listed_;
    std::vector<Endpoint> answered_; ///< the last entries that replied, latest first; at most fallbackEntries
    std::chrono::milliseconds interval_;
    RandomSource random_;
    std::map<Endpoint, Contact> contacts_;
    std::optional<TimePoint> firstUnanswered_; ///< time of the first heartbeat since the last reply
    bool hasLostContact_ { false };
    std::optional<TimePoint> lastFallBack_;
    std::optional<TimePoint> lastProbe_;
};

} // namespace plantaindrift
