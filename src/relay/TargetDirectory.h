#pragma once

#include "balancing/ColdShare.h"
#include "balancing/RemotePolicy.h"
#include "balancing/SiteDelays.h"
#include "balancing/TargetChoice.h"
#include "base/EndpointKey.h"
#include "membership/RandomSource.h"
#include "plantaindrift/membership/EvacuationSet.h"
#include "plantaindrift/membership/ServiceView.h"
#include "plantaindrift/relay/RelayMessage.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief An entry's record of a target: its membership and its reported load.
struct DirectoryTarget {
    std::string name;
    std::uint64_t nameHash { 0 };
    Endpoint agent;
    std::string dataCentre;
    bool isEvacuated { false }; ///< its data centre takes no new flows
    bool local { false }; ///< in the entry's data centre
    std::size_t site { 0 }; ///< index of the data centre, see TargetDirectory::siteCounts()
    bool draining { false };
    bool dead { false }; ///< taken for dead by the monitors; see isGone()
    TimePoint deadSince;
    TimePoint added; ///< when the target was added to this entry's view
    bool hasReported { false };
    bool isWithdrawn { false }; ///< the target announced that it is draining or leaving, and has not announced itself anew
    TargetLoad load;
    TimePoint lastReport;
    Duration discountedSilence { 0 }; ///< part of the time since lastReport in which most targets were silent
    ColdShare coldShare; ///< this entry's share of the flows that the target takes while it is cold
    std::uint32_t openingsSinceReport { 0 }; ///< opening segments sent since the last load report
    TimePoint oldestUnanswered; ///< time of the oldest opening segment without a reply since; the epoch if there is none
    TimePoint lastSubscription;

    /// \brief True if the target is taken for dead and has not reported since: what this entry receives itself counts for more
    /// than the verdict of the monitors.
    [[nodiscard]] bool isGone() const noexcept { return dead && (!hasReported || lastReport <= deadSince); }
};

/// \brief The targets of one service.
struct TargetGroup {
    ServiceHash hash {};
    std::vector<DirectoryTarget> targets;
    std::vector<std::uint32_t> order; ///< indices into targets, shuffled when samples are drawn
    TimePoint viewChanged; ///< when a target was last added
    RemotePolicy remote;
    bool hasFar { true }; ///< some target is at Reach::Far; updated every 100 ms
    std::vector<double> requestsPerSlot; ///< mean of the newest load reports, by index of the data centre
    double limitTenthMs { 0 }; ///< tightest latency limit of recent new flows, in 0.1 ms; 0 if none has one
};

/// \brief The targets of all services; selects targets for new flows and searches.
///
/// Pointers to targets stay valid until the next call of setView().
class TargetDirectory {
public:
    TargetDirectory(std::string dataCentre, std::uint64_t randomSeed, RemoteOptions const& remoteOptions = {});

    /// \brief Finds the group of a service, or adds one without targets; the reference stays valid.
    TargetGroup& findOrAddService(std::string_view service);

    /// \brief All services that a configuration or a view has named so far.
    [[nodiscard]] std::span<TargetGroup const* const> services() const noexcept { return services_; }

    /// \brief Replaces the targets of a service; load reports received so far are kept.
    ///
    /// \returns new index of each target of the old list, or removedTarget
    std::vector<std::uint32_t> setView(ServiceView const& view, TimePoint now);

    /// \brief Replaces the data centres whose targets are left out of the choice for new flows. \returns true if they change
    bool setEvacuations(EvacuationSet const& evacuations);

    /// \brief True if targets of the service would take new flows, but for the evacuation of their data centres.
    [[nodiscard]] static bool isWhollyEvacuated(TargetGroup const& group) noexcept;

    /// \brief The service of an agent; null if the agent is unknown.
    [[nodiscard]] TargetGroup* findServiceOf(Endpoint agent) noexcept;

    [[nodiscard]] DirectoryTarget* findTarget(Endpoint agent) noexcept;

    /// \brief Index of an agent's target in its service; the number of targets if it is not there.
    [[nodiscard]] static std::size_t indexOf(TargetGroup const& group, Endpoint agent) noexcept;

    /// \brief Periodic work; call every 100 ms.
    void tick(TimePoint now) noexcept;

    /// \brief Records the reported load of an agent's target.
    ///
    /// \param service  service that the report names, if it names one
    void recordLoad(Endpoint agent, TargetLoad const& load, TimePoint now, std::optional<ServiceHash> service = std::nullopt) noexcept;

    /// \brief Returns the agents whose first load report was recorded since the last call.
    [[nodiscard]] std::vector<Endpoint> takeFirstReports() noexcept { return std::exchange(firstReports_, {}); }

    /// \brief Writes the cheapest of a random sample of targets that accept new flows into a route, in order of cost.
    ///
    /// Targets that are far by RemoteCost::isFar are part of the sample only within the share that RemotePolicy permits, or if
    /// no other one accepts new flows.
    /// \param asked  agents that were offered an earlier copy of the opening segment; they come last
    /// \param bytesFromCaller  mean bytes that callers send on a flow of this kind
    /// \returns the reason for the data centre of the chosen target
    RemoteReason chooseTargets(TargetGroup& group, std::span<Endpoint const> asked, TimePoint now, RelayRoute& route, double bytesFromCaller = 0) noexcept;

    /// \brief Records the time from an opening segment to the owner notice that answered it.
    void recordRoundTrip(Endpoint agent, Duration roundTrip, TimePoint now) noexcept;

    /// \brief New flows by data centre since the start.
    [[nodiscard]] std::vector<SiteCounts> siteCounts(TimePoint now) const;

    /// \brief Writes the targets with most room for an opening segment that agents declined into a route, of all targets of the
    /// service; none if no other target is known to have room.
    ///
    /// \param offered  agents that were offered the segment
    /// \param route  its latency limit applies
    void chooseLastOffers(TargetGroup& group, std::span<Endpoint const> offered, TimePoint now, RelayRoute& route) noexcept;

    /// \brief Records that an agent passed on or returned an opening segment because its target is cold.
    void recordColdDecline(Endpoint agent, TimePoint now) noexcept;

    /// \brief Records that an agent admitted an opening segment.
    void recordColdAdmission(Endpoint agent) noexcept;

    /// \brief The target at a rank for a flow; targets with a recent load report that accept new flows rank first.
    ///
    /// Ranks wrap around after the third. \returns null if there is no target
    [[nodiscard]] DirectoryTarget const* findRanked(TargetGroup const& group, std::uint64_t flowHash, std::size_t rank, TimePoint now) const noexcept;

    /// \brief Interval at which agents are to send load reports; it grows with their number to stay within the control
    /// budget.
    [[nodiscard]] std::chrono::milliseconds loadInterval() const noexcept;

    /// \brief True unless the target is known to have ended or has been silent for so long that it is considered gone.
    ///
    /// Silence counts only while most targets of all services report: otherwise the entry is cut off or overloaded itself.
    [[nodiscard]] bool mayHoldFlows(TargetGroup const& group, DirectoryTarget const& target, TimePoint now) const noexcept;

    /// \brief True if most targets of the service restarted with their machines a short time ago, and no agent of any service
    /// has been running for longer.
    [[nodiscard]] bool wasPowerLost(TargetGroup const& group) const noexcept;

    /// \brief True if some agent that has reported here was running long before, or started well before this entry.
    [[nodiscard]] bool hasSurvivor() const noexcept { return hasSurvivor_; }

    /// \brief True if some agent that has reported here started together with its target a short time ago.
    [[nodiscard]] bool hasRestartedMachine() const noexcept { return hasRestartedMachine_; }

    /// \brief True if some agent that has reported here was replaced while its target kept running.
    [[nodiscard]] bool hasReplacedAgent() const noexcept { return hasReplacedAgent_; }

    /// \brief Returns the agents whose subscription is due and marks them as subscribed.
    [[nodiscard]] std::vector<Endpoint> collectDueSubscriptions(TimePoint now);

    /// \brief True if a load report has arrived from some target that is not dead.
    [[nodiscard]] bool hasLiveTarget() const noexcept;

private:
    /// How far a target is from the entry.
    enum class Reach : std::uint8_t {
        Local, ///< in the entry's data centre
        Near, ///< flows choose by cost alone, among local and near targets together
        Far ///< flows leave within the share that RemotePolicy permits
    };

    /// Numbers of targets at the front of TargetGroup::order.
    struct Sample {
        std::size_t withinReach { 0 }; ///< local and near ones
        std::size_t all { 0 };
    };

    std::string dataCentre_;
    EvacuationSet evacuations_;
    RemoteOptions remoteOptions_;
    SiteDelays delays_;
    std::vector<std::array<std::uint64_t, remoteReasonCount>> siteFlows_; ///< by index of the data centre
    RandomSource random_;
    std::map<std::string, TargetGroup, std::less<>> groups_;
    std::vector<TargetGroup const*> services_; ///< of groups_
    absl::flat_hash_map<std::uint64_t, TargetGroup*> agentGroups_; ///< by agent endpoint
    std::optional<TimePoint> firstTick_;
    std::optional<TimePoint> lastTick_;
    std::vector<Endpoint> firstReports_;
    bool hasSurvivor_ { false }; ///< some machine has kept its power since this entry started
    bool hasReplacedAgent_ { false };
    bool hasRestartedMachine_ { false };
    absl::flat_hash_set<std::uint64_t> sharedAgents_; ///< endpoints that several services have listed at the same time

    void assignAgents(TargetGroup& group, std::span<DirectoryTarget const> former);
    void assignSharedAgent(Endpoint agent);
    [[nodiscard]] bool hasStartedBefore(TargetLoad const& load, TimePoint now) const noexcept;
    [[nodiscard]] Duration goneTimeout() const noexcept;
    [[nodiscard]] bool receivesFromMostTargets(TimePoint now) const noexcept;
    [[nodiscard]] bool isSilent(DirectoryTarget const& target, TimePoint now) const noexcept;
    void updateMeans(TargetGroup& group, TimePoint now) const noexcept;
    [[nodiscard]] TargetOffer offerOf(TargetGroup const& group, DirectoryTarget const& target, std::span<Endpoint const> asked, TimePoint now) const noexcept;
    [[nodiscard]] bool acceptsFlows(DirectoryTarget const& target) const noexcept;
    [[nodiscard]] RemoteCost remoteCostOf(DirectoryTarget const& target, double bytesFromCaller, TimePoint now) const noexcept;
    [[nodiscard]] Reach reachOf(DirectoryTarget const& target, TimePoint now) const noexcept;
    [[nodiscard]] std::size_t drawSample(TargetGroup& group, std::size_t drawn, bool isFar, TimePoint now, bool includeCold) noexcept;
    [[nodiscard]] Sample drawSamples(TargetGroup& group, TimePoint now, bool includeCold) noexcept;
    [[nodiscard]] RemoteReason reasonOf(DirectoryTarget const& target, bool hasTargetWithinReach, TimePoint now) const noexcept;
    [[nodiscard]] RemoteInputs remoteInputsOf(TargetGroup const& group, TimePoint now) const noexcept;
    [[nodiscard]] bool isColdShareUsed(DirectoryTarget const& target, TimePoint now) const noexcept;
    /// Names the targets in a route, in order of cost.
    static void writeOffers(TargetGroup const& group, CheapestOffers const& offers, RelayRoute& route) noexcept;
    static void recordOffer(DirectoryTarget& target, TimePoint now) noexcept;
};

} // namespace plantaindrift
