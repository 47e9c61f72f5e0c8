#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/configuration/ChangeLog.h"
#include "plantaindrift/membership/ConfigurationEvent.h"
#include "plantaindrift/membership/Detector.h"
#include "plantaindrift/membership/EntryCensus.h"
#include "plantaindrift/membership/EvacuationSet.h"
#include "plantaindrift/membership/Member.h"
#include "plantaindrift/membership/ServiceView.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

struct StoredEvacuations;

/// \brief A control message to send; `bytes` is an encoded control.Envelope.
struct ControlMessage {
    Endpoint to; ///< control endpoint
    std::string bytes;
};

/// \brief Settings of an entry's control logic.
struct EntryControlOptions {
    Member self; ///< role Entry
    std::vector<Endpoint> seeds; ///< control endpoints of other entries from the settings
    std::uint64_t randomSeed { 1 };
    std::chrono::milliseconds heartbeat { 1000 };
    std::uint32_t bytesPerSecond { 3000 }; ///< control budget of this node
    bool handlesEvacuations { false };
    std::size_t maximumMessageBytes { 60'000 }; ///< size of the largest message that the transport carries
};

/// \brief Membership, gossip, anti-entropy and spread of configuration at an entry.
///
/// Does no I/O: messages and time come in, messages and views go out. Not thread-safe.
class EntryControl {
public:
    explicit EntryControl(EntryControlOptions const& options);
    ~EntryControl();
    EntryControl(EntryControl const&) = delete;
    EntryControl& operator=(EntryControl const&) = delete;

    /// \brief Takes an encoded Envelope from a peer; malformed ones are counted and ignored.
    ///
    /// \param from  control endpoint of the sender, where replies go
    void receive(Endpoint from, std::span<std::byte const> bytes, TimePoint now);

    /// \brief Periodic work; call every 100 ms.
    void tick(TimePoint now);

    /// \brief Messages to send; removes them.
    [[nodiscard]] std::vector<ControlMessage> takeMessages();

    /// \brief Services whose view changed since the last call, with their new views.
    [[nodiscard]] std::vector<ServiceView> takeChangedViews();

    /// \brief Members that this entry took for suspect or dead since the last call, with the evidence.
    [[nodiscard]] std::vector<Detector::Verdict> takeVerdicts();

    /// \brief Steps of the exchange of configurations with peers since the last call.
    [[nodiscard]] std::vector<ConfigurationEvent> takeConfigurationEvents();

    /// \brief Takes changes read from the platform; also spreads those that are new.
    void addChanges(std::span<ConfigurationChange const> changes, TimePoint now);

    /// \brief Takes a snapshot read from the platform.
    void addSnapshot(std::uint64_t position, Configuration const& configuration, TimePoint now);

    /// \brief The configuration in force and its position.
    ///
    /// After a loss of all entries while the platform is away, it consists of the copies that agents keep; its
    /// position is then the newest of theirs, and above completePosition().
    [[nodiscard]] ChangeLog const& changeLog() const noexcept;

    /// \brief Position up to which the log is complete; what follows it is to be read from the platform.
    [[nodiscard]] std::uint64_t completePosition() const noexcept;

    /// \brief Changes whenever the configuration in force does, which may happen at an unchanged position.
    [[nodiscard]] std::uint64_t configurationVersion() const noexcept;

    /// \brief True if this entry holds a watch at the platform (2 per data centre, by hash over live entries).
    [[nodiscard]] bool isWatcher() const;

    /// \brief True once full state arrived from a peer, or no peer answered for 10 s.
    [[nodiscard]] bool isCaughtUp(TimePoint now) const noexcept;

    /// \brief True while a running peer may know members that the platform's list lacks; false if all peers that answer
    /// are starting too.
    [[nodiscard]] bool expectsFullState(TimePoint now) const;

    /// \brief Adds records from the platform's announcement objects; older incarnations are ignored.
    void addMembers(std::span<Member const> members, TimePoint now);

    /// \brief Replaces the entries that the settings name; new ones get a heartbeat at once.
    void setSeeds(std::span<Endpoint const> seeds);

    /// \brief Sets the store's generation, which the replies to heartbeats name; it does not fall.
    void setStoreGeneration(std::uint64_t generation) noexcept;

    /// \brief Takes the evacuations read from the store; spreads those that are new at once.
    void addEvacuations(StoredEvacuations const& stored, TimePoint now);

    /// \brief The evacuations in force if they changed since the last call; never unless they are handled.
    [[nodiscard]] std::optional<EvacuationChange> takeChangedEvacuations();

    /// \brief Spreads that this entry leaves; call before the process ends.
    void leave(TimePoint now);

    [[nodiscard]] std::vector<Member> members() const;

    /// \param minimumAge  time for which an entry has been dead or left before it counts as gone
    [[nodiscard]] EntryCensus entryCensus(TimePoint now, std::chrono::seconds minimumAge) const;

    /// \brief Bytes sent and received since start, messages that could not be decoded, and what the detector did.
    struct Counts {
        std::uint64_t sentBytes { 0 };
        std::uint64_t receivedBytes { 0 };
        std::uint64_t malformed { 0 };
        std::uint64_t deferred { 0 }; ///< deltas that waited for the budget
        std::uint64_t heartbeatRequests { 0 };
        std::uint64_t suspicions { 0 }; ///< members that this entry took for suspect
        std::uint64_t deaths { 0 }; ///< members that this entry took for dead
        std::uint64_t configurationRequests { 0 }; ///< requests to peers for newer configurations
        std::uint64_t snapshotsSent { 0 }; ///< whole configurations, or missing parts of them, sent to peers
        std::uint64_t answersWithheld { 0 }; ///< requests of peers that the control budget did not allow to answer
    };
    [[nodiscard]] Counts counts() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
