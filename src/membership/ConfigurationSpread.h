#pragma once

#include "membership/RandomSource.h"
#include "plantaindrift/base/Types.h"
#include "plantaindrift/configuration/ChangeLog.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Applies changes strictly in order, and knows which peer can fill a gap.
///
/// After a loss of all entries while the platform is away, copies that agents keep serve as the configuration.
/// They stay in force until the log has reached the newest of them, so that nothing reverts.
class ConfigurationSpread {
public:
    /// \brief Changes kept while earlier ones are missing; the newest positions are dropped beyond it.
    static constexpr std::size_t maximumPending = 256;

    /// \brief Time after which a gap is asked for again, at another peer if one is known.
    static constexpr std::chrono::milliseconds retryPeriod { 500 };

    /// \brief Takes a change from the platform or a peer.
    ///
    /// \returns the changes that took effect, in order
    std::vector<ConfigurationChange> take(ConfigurationChange const& change);

    /// \brief Takes a snapshot if it is ahead.
    ///
    /// \returns true if the configuration changed
    bool takeSnapshot(std::uint64_t position, Configuration const& configuration);

    /// \brief Notes the position that a peer has applied.
    void notePosition(std::uint64_t position, Endpoint peer);

    /// \brief The peer to ask for changes after the applied position, if this node lags and a request is due.
    ///
    /// The peer is drawn at random, so that nodes that lag together do not all ask the same one.
    [[nodiscard]] std::optional<Endpoint> dueRequest(TimePoint now, RandomSource& random);

    /// \brief Begins a request to a peer that is known to be ahead.
    ///
    /// \returns false while another peer's answer is awaited
    [[nodiscard]] bool startRequest(Endpoint peer, TimePoint now) noexcept;

    /// \brief Notes that a part of an answer arrived: the next request waits for the rest.
    void noteProgress(TimePoint now) noexcept { lastRequest_ = now; }

    [[nodiscard]] bool knows(std::uint64_t position) const { return position <= log_.position() || pending_.contains(position); }

    /// \brief Takes an agent's copy of a declaration; without effect once the log has begun.
    ///
    /// \returns true if it was new
    bool takeCopy(std::uint64_t position, Service const& service);

    /// \brief True if a copy that is as of this position would be new.
    [[nodiscard]] bool wantsCopy(std::uint64_t position, std::string_view service) const;

    /// \brief Brings the configuration from copies up to date; call at every tick.
    void refreshCopies();

    /// \brief Newest position among the copies; 0 without copies.
    [[nodiscard]] std::uint64_t copiesPosition() const noexcept { return copiesPosition_; }

    /// \brief The configuration in force: the log, or the copies.
    [[nodiscard]] ChangeLog const& inForce() const noexcept { return usesCopies() ? fromCopies_ : log_; }

    /// \brief The log; complete up to its position.
    [[nodiscard]] ChangeLog const& log() const noexcept { return log_; }

    /// \brief Changes whenever the configuration in force does.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

private:
    struct Copy {
        std::uint64_t position { 0 };
        Service service;
    };

    std::vector<ConfigurationChange> applyPending();
    [[nodiscard]] bool usesCopies() const noexcept { return fromCopies_.position() > log_.position(); }
    void noteLog();

    ChangeLog log_;
    ChangeLog fromCopies_;
    std::map<std::string, Copy, std::less<>> copies_;
    std::uint64_t copiesPosition_ { 0 };
    bool copiesChanged_ { false };
    std::uint64_t version_ { 0 };
    std::map<std::uint64_t, ConfigurationChange> pending_;
    struct Peer {
        std::uint64_t position { 0 };
        int asked { 0 };
    };
    std::map<Endpoint, Peer> ahead_; ///< peers that were ahead when last heard
    Endpoint asked_;
    std::optional<TimePoint> lastRequest_;
};

} // namespace plantaindrift
