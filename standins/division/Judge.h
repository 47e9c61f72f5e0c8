#pragma once

#include "division/Packet.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift::standins {

/// \brief Decides from what callers and targets see whether a promise of the platform's pages was broken.
///
/// A promise with a time holds only where no unplanned disturbance was within the last stableTime.
class Judge {
public:
    static constexpr std::chrono::seconds stableTime { 4 };

    /// \brief A service that a configuration sends an address to, from now on.
    void allow(Endpoint address, std::string const& service);

    /// \brief Something unplanned happens to a process now, or to all of them if the address is 0.
    void disturb(std::uint32_t address, TimePoint now);

    // ---- what routers see ----

    /// \brief An entry took a packet of a flow from its caller; none did if the address is 0.
    void packetTaken(FlowEnds const& flow, std::uint32_t entry);

    // ---- what targets see ----

    /// \brief A target's end of a flow opened.
    void flowOpened(FlowEnds const& flow, std::string const& service, std::uint32_t target, TimePoint now);

    /// \brief A target does not hold a flow any more, or resets it itself.
    void flowEnded(FlowEnds const& flow);

    /// \brief A target crashes or ends: no flow of it is owed any more.
    void targetEnded(std::uint32_t target);

    /// \brief A later packet of a flow reached a target.
    void packetArrived(FlowEnds const& flow, std::uint32_t target, TimePoint now);

    /// \brief A target took an opening packet. `drainedAt` is when its draining was acknowledged; the epoch if it was not.
    void openingTaken(std::string const& target, TimePoint drainedAt, TimePoint now);

    /// \brief The store confirmed that a data centre is evacuated.
    void evacuate(std::string const& dataCentre, TimePoint now) { evacuated_.try_emplace(dataCentre, now); }

    /// \brief The store confirmed that a data centre is no longer evacuated.
    void withdrawEvacuation(std::string const& dataCentre) { evacuated_.erase(dataCentre); }

    /// \brief The opening packet of a flow that is not open reached a target.
    void openingReached(FlowEnds const& flow, std::string const& dataCentre, std::uint32_t target, TimePoint now);

    void packetForged(std::string_view where);

    /// \brief A target runs a request.
    void requestRan(std::string const& id, bool mayRepeat, std::string const& asked, std::string const& service);

    // ---- what callers see ----

    /// \brief A caller got a reset that no target wrote, from a process of the system.
    void resetArrived(FlowEnds const& flow, std::uint32_t sender, TimePoint now);

    void answerArrived(std::string const& expected, std::string const& got);

    [[nodiscard]] std::vector<std::string> const& violations() const noexcept { return violations_; }

private:
    struct OpenFlow {
        std::string service;
        std::uint32_t target { 0 };
        std::uint32_t foreign { 0 }; ///< packets at other targets since the last one at its own
        TimePoint firstForeign;
        std::set<std::uint32_t> entries; ///< took packets since then
        std::set<std::uint32_t> others; ///< targets that got them
        bool reported { false };
    };

    std::map<Endpoint, std::set<std::string>> allowed_;
    std::map<std::uint32_t, TimePoint> disturbed_; ///< by address of the process; 0 for all
    std::map<FlowEnds, OpenFlow> flows_;
    std::set<std::string> ran_;
    std::map<std::string, TimePoint> evacuated_; ///< confirmation by data centre
    std::vector<std::string> violations_;

    void report(std::string const& text);
    [[nodiscard]] bool isInTouch(std::uint32_t address, TimePoint now) const;
    [[nodiscard]] bool areInTouch(OpenFlow const& flow, TimePoint now) const;
    [[nodiscard]] bool areAllInTouch(TimePoint now) const;
};

} // namespace plantaindrift::standins
