#include "membership/ConfigurationExchange.h"

#include <algorithm>
#include <utility>

namespace plantaindrift {

void ConfigurationExchange::notePosition(std::uint64_t position, Endpoint peer)
{
    knownPosition_ = std::max(knownPosition_, spread_.log().position());
    if (position > knownPosition_) {
        knownPosition_ = position;
        recordStep(ConfigurationStep::PeerAhead, peer, position);
    }
    spread_.notePosition(position, peer);
}

void ConfigurationExchange::requestChanges(TimePoint now, RandomSource& random)
{
    std::optional<Endpoint> const peer = spread_.dueRequest(now, random);
    if (!peer)
        return;
    control::Envelope envelope;
    control::ShardRequest& request = *envelope.mutable_shard_request();
    request.set_changes(true);
    request.set_after_position(spread_.log().position());
    outbox_.send(*peer, envelope);
    ++counts_.configurationRequests;
    recordStep(ConfigurationStep::ChangesRequested, *peer, 0);
}

void ConfigurationExchange::requestSnapshot(Endpoint peer, std::uint64_t position, TimePoint now)
{
    if (!spread_.startRequest(peer, now))
        return;
    control::Envelope envelope;
    control::SnapshotRequest& request = *envelope.mutable_snapshot_request();
    request.set_after_position(spread_.log().position());
    assembly_.addMissing(request);
    outbox_.send(peer, envelope);
    ++counts_.configurationRequests;
    recordStep(ConfigurationStep::SnapshotRequested, peer, position);
}

void ConfigurationExchange::answer(Endpoint from, control::SnapshotRequest const& request)
{
    if (spread_.log().position() <= request.after_position())
        return;
    bool const wantsSome = request.position() == spread_.log().position() && request.parts_size() > 0;
    for (control::SnapshotPart& part : splitSnapshot(spread_.log())) {
        if (wantsSome && std::find(request.parts().begin(), request.parts().end(), part.part()) == request.parts().end())
            continue;
        control::Envelope envelope;
        *envelope.mutable_snapshot_part() = std::move(part);
        outbox_.send(from, envelope);
    }
    ++counts_.snapshotsSent;
}

bool ConfigurationExchange::takePart(Endpoint from, control::SnapshotPart const& message, TimePoint now)
{
    if (message.position() > 0 && message.position() <= spread_.log().position())
        return true;
    if (!assembly_.take(message))
        return false;
    spread_.noteProgress(now);
    std::optional<Snapshot> const snapshot = assembly_.takeComplete();
    if (snapshot) {
        takeSnapshot(snapshot->position, snapshot->configuration);
        recordStep(ConfigurationStep::SnapshotTaken, from, snapshot->position);
    }
    return true;
}

void ConfigurationExchange::takeSnapshot(std::uint64_t position, Configuration const& configuration)
{
    if (spread_.takeSnapshot(position, configuration))
        isAnnouncementDue_ = true;
}

void ConfigurationExchange::announce(std::span<Endpoint const> peers)
{
    isAnnouncementDue_ = false;
    control::Envelope envelope;
    envelope.mutable_gossip()->set_position(spread_.log().position());
    for (Endpoint const peer : peers)
        outbox_.send(peer, envelope);
}

void ConfigurationExchange::recordStep(ConfigurationStep step, Endpoint peer, std::uint64_t peerPosition)
{
    events_.push_back({ step, peer, spread_.log().position(), peerPosition });
}

std::vector<ConfigurationEvent> ConfigurationExchange::takeEvents()
{
    return std::exchange(events_, {});
}

} // namespace plantaindrift
