#pragma once

#include "membership/RandomSource.h"
#include "plantaindrift/membership/ServiceView.h"
#include "plantaindrift/relay/RelayMessage.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief A target as an entry knows it: its membership and the load that its agent sent.
struct DirectoryTarget {
    std::string name;
    std::uint64_t nameHash { 0 };
    Endpoint agent;
    bool local { false }; ///< in the entry's data centre
    bool draining { false };
    bool dead { false };
    TimePoint deadSince;
    TimePoint added; ///< to this entry's view
    bool isHeard { false };
    TargetLoad load;
    TimePoint heard;
    std::uint32_t sent { 0 }; ///< first segments since its load was heard
    TimePoint unanswered; ///< oldest first segment without any word since; the epoch if there is none
    TimePoint subscribed;
};

/// \brief The targets of one service.
struct TargetGroup {
    ServiceHash hash {};
    std::vector<DirectoryTarget> targets;
    std::vector<std::uint32_t> order; ///< indices of the targets, shuffled as samples are drawn
    TimePoint viewChanged;
};

/// \brief Key of an endpoint in hash maps.
[[nodiscard]] constexpr std::uint64_t endpointKey(Endpoint endpoint) noexcept
{
    return (std::uint64_t { endpoint.address } << 16U) | endpoint.port;
}

/// \brief The targets of all services, and which of them a new flow or a search goes to.
///
/// Pointers to targets stay valid until the next setView.
class TargetDirectory {
public:
    TargetDirectory(std::string dataCentre, std::uint64_t randomSeed);

    /// \brief The group of a service, which is added without targets if it is new; stays where it is.
    TargetGroup& declare(std::string_view service);

    /// \brief Replaces the targets of a service; load that was heard is kept.
    void setView(ServiceView const& view, TimePoint now);

    /// \brief The service of an agent; null if the agent is not known.
    [[nodiscard]] TargetGroup* findServiceOf(Endpoint agent) noexcept;

    [[nodiscard]] DirectoryTarget* findTarget(Endpoint agent) noexcept;

    /// \brief Takes the load of an agent's target.
    void noteLoad(Endpoint agent, TargetLoad const& load, TimePoint now) noexcept;

    /// \brief Writes the cheapest of some targets that take new flows into a route, the cheapest first.
    ///
    /// \param asked  agents that were offered an earlier copy; they come last
    void chooseTargets(TargetGroup& group, std::span<Endpoint const> asked, TimePoint now, RelayRoute& route) noexcept;

    /// \brief The target at a rank for a flow among those that were heard lately, or among all if none was.
    ///
    /// Ranks start anew after the third one. \returns null if there is no target
    [[nodiscard]] DirectoryTarget const* findRanked(TargetGroup const& group, std::uint64_t flowHash, std::size_t rank, TimePoint now) const noexcept;

    /// \brief Time between loads that agents are asked for, so that they stay within the control budget.
    [[nodiscard]] std::chrono::milliseconds loadInterval() const noexcept;

    /// \brief Silence after which an agent that was heard before is taken as gone.
    [[nodiscard]] Duration goneTime() const noexcept;

    /// \brief Agents whose subscription is due; they count as subscribed.
    [[nodiscard]] std::vector<Endpoint> takeSubscriptionsDue(TimePoint now);

    /// \brief True if some target that is not dead has been heard.
    [[nodiscard]] bool hasLiveTarget() const noexcept;

private:
    std::string dataCentre_;
    RandomSource random_;
    std::map<std::string, TargetGroup, std::less<>> groups_;
    absl::flat_hash_map<std::uint64_t, TargetGroup*> agentGroups_; ///< by agent endpoint

    [[nodiscard]] bool isSilent(DirectoryTarget const& target, TimePoint now) const noexcept;
    [[nodiscard]] double costOf(DirectoryTarget const& target, TimePoint now) noexcept;
    [[nodiscard]] std::size_t drawSample(TargetGroup& group) noexcept;
};

} // namespace plantaindrift
