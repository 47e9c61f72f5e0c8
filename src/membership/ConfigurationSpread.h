#pragma once

#include "plantaindrift/base/Types.h"
#include "plantaindrift/configuration/ChangeLog.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace plantaindrift {

/// \brief Applies changes strictly in order, and knows which peer can fill a gap.
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
    [[nodiscard]] std::optional<Endpoint> dueRequest(TimePoint now);

    [[nodiscard]] bool knows(std::uint64_t position) const { return position <= log_.position() || pending_.contains(position); }
    [[nodiscard]] ChangeLog const& log() const noexcept { return log_; }

private:
    std::vector<ConfigurationChange> applyPending();

    ChangeLog log_;
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
