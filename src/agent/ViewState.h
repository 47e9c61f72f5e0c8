#pragma once

#include "plantaindrift/membership/ServiceView.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace plantaindrift {

/// \brief The agent's view of its service, and how far that view may be relied on.
class ViewState {
public:
    /// \brief Wait after a change of fingerprint, in which entries and agents learn the new view.
    static constexpr std::chrono::seconds settleWindow { 10 };

    /// \brief Wait after a change that may reorder two common targets, or after a loss of notes.
    ///
    /// A SYN is retransmitted for up to 63 s. Copies of it that other agents handled are known again after this time.
    static constexpr std::chrono::seconds memoryWindow { 70 };

    /// \brief A view is relied on for this time after the last heartbeat reply.
    static constexpr std::chrono::seconds lease { 10 };

    /// \brief After a longer gap between replies, others may have taken this agent for dead and admitted its flows.
    static constexpr std::chrono::seconds longestReplyGap { 5 };

    /// \brief A longer gap between ticks means that the process was stopped.
    static constexpr std::chrono::seconds longestTickGap { 2 };

    ViewState(std::string name, Endpoint self, TimePoint now);

    /// \brief Replaces the view.
    ///
    /// \returns endpoints of targets that were live before and are dead or absent now
    std::vector<Endpoint> setView(ServiceView const& view, TimePoint now);

    void renewLease(TimePoint now) noexcept;

    /// \brief The flow table was rebuilt; notes from before are gone.
    void noteRecovery(TimePoint now) noexcept { memorySince_ = now; }

    void tick(TimePoint now) noexcept;

    /// \brief True if packets now at hand may have waited while the process was stopped.
    [[nodiscard]] bool isPaused(TimePoint now) const noexcept;

    /// \brief True if a packet ranked with this fingerprint has the candidate order of every node.
    [[nodiscard]] bool isOrderAgreed(std::uint32_t fingerprint, TimePoint now) const noexcept;

    /// \brief True if every earlier copy of a first packet ranked with this fingerprint is known here.
    [[nodiscard]] bool isSettled(std::uint32_t fingerprint, TimePoint now) const noexcept;

    /// \brief True if an endpoint belongs to a target that is not dead.
    [[nodiscard]] bool isLive(Endpoint endpoint) const noexcept;

    /// \brief True if a target joined so recently that it cannot have handled a copy of a flow before its claim.
    [[nodiscard]] bool isNewcomer(Endpoint endpoint, TimePoint now) const noexcept;

    /// \brief True if a target that died or left within the memory window ranked before this agent for a flow.
    ///
    /// Its notes are gone, and it may have passed the flow to any other target.
    [[nodiscard]] bool isAfterDeparted(FlowHash flow, TimePoint now) const noexcept;

    /// \brief True if the view says that a target takes no new flows.
    [[nodiscard]] bool isDraining(Endpoint endpoint) const noexcept;

    /// \brief The target with this endpoint; null if there is none.
    [[nodiscard]] ViewTarget const* findEndpoint(Endpoint endpoint) const noexcept;

    [[nodiscard]] std::span<ViewTarget const> targets() const noexcept { return view_.targets; }
    [[nodiscard]] std::span<std::uint64_t const> nameHashes() const noexcept { return nameHashes_; }
    [[nodiscard]] std::uint32_t fingerprint() const noexcept { return view_.fingerprint; }
    [[nodiscard]] ViewTarget const* self() const noexcept;
    [[nodiscard]] ViewTarget const* find(std::string_view name) const noexcept;

private:
    struct Departed {
        std::uint64_t nameHash { 0 };
        std::uint16_t weight { 0 };
        TimePoint since;
    };

    [[nodiscard]] TimePoint joinTime(std::string_view name, TimePoint now) const noexcept;
    [[nodiscard]] bool mayReorder(ServiceView const& next) const noexcept;

    std::string name_;
    Endpoint self_;
    ServiceView view_;
    std::vector<std::uint64_t> nameHashes_;
    std::vector<Departed> departed_;
    std::vector<TimePoint> joined_; ///< by target index; the epoch for targets of the first view
    TimePoint settledAt_;
    TimePoint memorySince_;
    TimePoint lastTick_;
    std::optional<TimePoint> lastReply_;
    bool paused_ { false };
    bool wasListed_ { false };
};

} // namespace plantaindrift
