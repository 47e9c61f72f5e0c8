#pragma once

#include "plantaindrift/membership/EntryControl.h"

#include <optional>

namespace plantaindrift {

/// \brief Settings of an agent's control logic.
struct AgentControlOptions {
    Member self; ///< role Agent; the incarnation is raised above any that a monitor names
    std::vector<Endpoint> entries; ///< control endpoints of entries from the settings
    std::uint64_t randomSeed { 1 };
    std::chrono::milliseconds listPeriod { 0 }; ///< shortest time between two lists of the service's members
    bool sharesLoad { true }; ///< tells peers its load; off where entries hear it directly
    std::chrono::milliseconds heartbeat { 1000 };
    bool handlesEvacuations { false };
};

/// \brief Heartbeats to monitors, refutation, the service's view and load sharing at an agent.
///
/// Does no I/O. Not thread-safe.
class AgentControl {
public:
    explicit AgentControl(AgentControlOptions const& options);
    ~AgentControl();
    AgentControl(AgentControl const&) = delete;
    AgentControl& operator=(AgentControl const&) = delete;

    void receive(Endpoint from, std::span<std::byte const> bytes, TimePoint now);

    /// \brief Periodic work; call every 100 ms.
    ///
    /// \param busyFraction  own load, shared with peers
    void tick(TimePoint now, double busyFraction);

    [[nodiscard]] std::vector<ControlMessage> takeMessages();

    /// \brief The service's view if it changed since the last call.
    [[nodiscard]] std::optional<ServiceView> takeChangedView();

    /// \brief The service's declaration if it changed since the last call.
    [[nodiscard]] std::optional<Service> takeChangedService();

    /// \brief False if the declaration was too large for a control message and lacks its addresses, targets and data centres.
    [[nodiscard]] bool knowsAddresses() const noexcept;

    /// \brief The evacuations in force if they changed since the last call; never unless they are handled.
    [[nodiscard]] std::optional<EvacuationChange> takeChangedEvacuations();

    /// \brief Load that peers shared since the last call.
    struct PeerLoad {
        std::string peer;
        double busyFraction { 0 };
    };
    [[nodiscard]] std::vector<PeerLoad> takePeerLoads();

    /// \brief Time of the newest heartbeat reply; the lease of the view runs from here.
    [[nodiscard]] std::optional<TimePoint> lastReply() const noexcept;

    /// \brief The newest generation of the platform's store that an entry named; 0 until one did.
    [[nodiscard]] std::uint64_t storeGeneration() const noexcept;

    /// \brief Replaces the entries that the settings name; new ones get a heartbeat at once.
    void setSeeds(std::span<Endpoint const> seeds, TimePoint now);

    /// \brief Replaces the entries that the store lists; a few that are new get a heartbeat at once.
    void setListedEntries(std::span<Endpoint const> listed, TimePoint now);

    /// \brief True if no entry has answered for three times the shortest interval: all that this agent knows may be gone, and
    /// its record with them.
    [[nodiscard]] bool isUnanswered(TimePoint now) const;

    /// \brief True once after an entry stopped answering.
    [[nodiscard]] bool takeLostEntry() noexcept;

    /// \brief Starts or ends draining; told to all monitors at once.
    void setDraining(bool draining, TimePoint now);

    /// \brief Tells monitors that this target has left; call before the process ends.
    void leave(TimePoint now);

    [[nodiscard]] EntryControl::Counts counts() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
