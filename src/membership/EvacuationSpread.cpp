#include "membership/EvacuationSpread.h"

#include "plantaindrift/base/Hash.h"
#include "plantaindrift/membership/Member.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantaindrift {

namespace {

    using Names = std::vector<std::string>;
    using NameField = google::protobuf::RepeatedPtrField<std::string>;

    Names unite(Names const& first, Names const& second)
    {
        Names names;
        std::set_union(first.begin(), first.end(), second.begin(), second.end(), std::back_inserter(names));
        return names;
    }

    Names subtract(Names const& first, Names const& second)
    {
        Names names;
        std::set_difference(first.begin(), first.end(), second.begin(), second.end(), std::back_inserter(names));
        return names;
    }

    // Nothing if a name is out of range, or the names are too many or not in order.
    std::optional<Names> readNames(NameField const& field)
    {
        if (field.size() > EvacuationSpread::maximumDataCentres || !std::all_of(field.begin(), field.end(), [](std::string const& name) { return isValidName(name); }))
            return std::nullopt;
        bool const isSorted = std::adjacent_find(field.begin(), field.end(), std::greater_equal<> {}) == field.end();
        return isSorted ? std::optional<Names>(Names(field.begin(), field.end())) : std::nullopt;
    }

    void writeNames(Names const& names, NameField& field)
    {
        for (std::size_t index = 0; index < names.size() && index < EvacuationSpread::maximumDataCentres; ++index)
            *field.Add() = names[index];
    }

    std::uint64_t hashNames(std::uint64_t hash, Names const& names)
    {
        hash = mixHash(hash, names.size());
        for (std::string const& name : names)
            hash = mixHash(hash, hashText(name));
        return hash;
    }

} // namespace

void EvacuationSpread::takeStored(StoredEvacuations const& stored, TimePoint now)
{
    Knowledge read { stored.set, now, {}, stored.removed };
    // The same ones at all processes; no deployment has that many data centres.
    if (read.listed.dataCentres.size() > maximumDataCentres)
        read.listed.dataCentres.resize(maximumDataCentres);
    std::sort(read.reported.begin(), read.reported.end());
    read.reported.erase(std::unique(read.reported.begin(), read.reported.end()), read.reported.end());
    merge(std::move(read), EvacuationSource::Store, now);
}

bool EvacuationSpread::take(control::Evacuations const& message, TimePoint now)
{
    std::optional<Names> listed = readNames(message.data_centres());
    std::optional<Names> retained = readNames(message.retained());
    std::optional<Names> reported = readNames(message.reported());
    std::chrono::milliseconds const age { message.generation_age_ms() };
    if (!listed || !retained || !reported || age > absenceGrace)
        return false;
    Knowledge received { { std::move(*listed), { message.generation(), message.revision() } }, now - age, std::move(*retained), std::move(*reported) };
    merge(std::move(received), EvacuationSource::Peer, now);
    return true;
}

bool EvacuationSpread::takeReply(control::HeartbeatReply const& reply, Endpoint from, Outbox& outbox, TimePoint now)
{
    if (!enabled_ || !reply.has_evacuations())
        return true;
    if (!take(reply.evacuations(), now))
        return false;
    control::Evacuations own;
    write(own, now);
    // The age alone is no knowledge that the peer lacks.
    own.set_generation_age_ms(reply.evacuations().generation_age_ms());
    if (own.SerializeAsString() != reply.evacuations().SerializeAsString())
        send({ &from, 1 }, outbox, now);
    return true;
}

void EvacuationSpread::answer(control::Heartbeat const& heartbeat, control::HeartbeatReply& reply, TimePoint now) const
{
    if (enabled_ && heartbeat.evacuations_hash() != 0 && heartbeat.evacuations_hash() != fingerprint())
        write(*reply.mutable_evacuations(), now);
}

void EvacuationSpread::send(std::span<Endpoint const> to, Outbox& outbox, TimePoint now) const
{
    control::Envelope envelope;
    write(*envelope.mutable_gossip()->mutable_evacuations(), now);
    for (Endpoint const endpoint : to)
        outbox.send(endpoint, envelope);
}

bool EvacuationSpread::takePendingSpread() noexcept
{
    return std::exchange(isSpreadPending_, false);
}

void EvacuationSpread::tick(TimePoint now)
{
    if (known_.retained.empty() && known_.reported.empty())
        return;
    settle(now);
    update(EvacuationSource::Absence);
}

std::uint32_t EvacuationSpread::fingerprint() const
{
    if (!enabled_)
        return 0;
    std::uint64_t hash = mixHash(known_.listed.version.generation, known_.listed.version.revision);
    for (Names const* const names : { &known_.listed.dataCentres, &known_.retained, &known_.reported })
        hash = hashNames(hash, *names);
    return std::max(static_cast<std::uint32_t>(hash ^ (hash >> 32U)), 1U);
}

std::optional<EvacuationChange> EvacuationSpread::takeChange()
{
    if (!std::exchange(isChanged_, false))
        return std::nullopt;
    return EvacuationChange { inForce_, source_ };
}

void EvacuationSpread::merge(Knowledge&& incoming, EvacuationSource source, TimePoint now)
{
    std::uint64_t const generation = known_.listed.version.generation;
    std::uint64_t const incomingGeneration = incoming.listed.version.generation;
    if (!enabled_ || incomingGeneration < generation)
        return;
    if (incomingGeneration > generation)
        adoptGeneration(std::move(incoming));
    else
        joinGeneration(std::move(incoming));
    settle(now);
    update(source);
}

void EvacuationSpread::adoptGeneration(Knowledge&& incoming)
{
    incoming.retained = unite(incoming.retained, unite(known_.listed.dataCentres, known_.retained));
    known_ = std::move(incoming);
}

void EvacuationSpread::joinGeneration(Knowledge&& incoming)
{
    known_.generationSeen = std::min(known_.generationSeen, incoming.generationSeen);
    known_.retained = unite(known_.retained, incoming.retained);
    known_.reported = unite(unite(known_.reported, incoming.reported), unite(known_.listed.dataCentres, incoming.listed.dataCentres));
    if (incoming.listed.version > known_.listed.version)
        known_.listed = std::move(incoming.listed);
    else if (incoming.listed.version == known_.listed.version)
        known_.listed.dataCentres = unite(known_.listed.dataCentres, incoming.listed.dataCentres);
}

// Brings the knowledge into the form that equal knowledge of all processes has.
void EvacuationSpread::settle(TimePoint now)
{
    if (now - known_.generationSeen >= absenceGrace) {
        known_.retained.clear();
        known_.reported.clear();
        return;
    }
    known_.reported = unite(known_.reported, known_.listed.dataCentres);
    known_.retained = subtract(known_.retained, known_.reported);
}

void EvacuationSpread::update(EvacuationSource source)
{
    EvacuationSet current { unite(known_.listed.dataCentres, known_.retained), known_.listed.version };
    if (current == inForce_)
        return;
    // A new version of the same data centres is left to the heartbeats.
    isSpreadPending_ = isSpreadPending_ || current.dataCentres != inForce_.dataCentres;
    inForce_ = std::move(current);
    source_ = source;
    isChanged_ = true;
}

void EvacuationSpread::write(control::Evacuations& message, TimePoint now) const
{
    message.set_generation(known_.listed.version.generation);
    message.set_revision(known_.listed.version.revision);
    message.set_generation_age_ms(static_cast<std::uint32_t>(generationAge(now).count()));
    writeNames(known_.listed.dataCentres, *message.mutable_data_centres());
    writeNames(known_.retained, *message.mutable_retained());
    writeNames(known_.reported, *message.mutable_reported());
}

std::chrono::milliseconds EvacuationSpread::generationAge(TimePoint now) const noexcept
{
    return std::min(std::chrono::duration_cast<std::chrono::milliseconds>(now - known_.generationSeen), absenceGrace);
}

} // namespace plantaindrift
