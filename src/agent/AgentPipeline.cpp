#include "plantaindrift/agent/AgentPipeline.h"

#include "agent/Admission.h"
#include "agent/FlowRanking.h"
#include "agent/FlowTable.h"
#include "agent/PassNotes.h"
#include "agent/ViewState.h"
#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <array>

namespace plantaindrift {

namespace {

    constexpr std::array<std::string_view, 9> reasonNames {
        "none", "wrong_service", "unknown_flow", "hop_limit", "all_full", "unsettled", "notes_full", "paused", "recovering"
    };

    constexpr std::size_t flowsPerConnection = 2; // Closing flows stay in the table.
    constexpr double referenceWeight = 100;

    constexpr std::chrono::seconds finishedHold { 60 };
    constexpr std::chrono::seconds resetHold { 5 };
    constexpr std::chrono::seconds udpIdle { 60 };

    // A filling table forgets closing flows sooner: 2,000 connections with requests of 50 ms leave more flows in 60 s
    // than the table holds. Only late packets of a finished flow are lost by that. Entries rely on 5 s.
    constexpr std::chrono::seconds pressedHold { 5 };

    // A handshake that brings no data in this time belongs to a connection that waits.
    constexpr std::chrono::seconds handshakeProgress { 1 };

    constexpr std::chrono::seconds recentTime { 1 };

    // The answer to a UDP request does not pass the agent; the next load report takes over from here.
    constexpr std::chrono::milliseconds udpProgress { 200 };

    // A note to an agent that the view does not know within this time points to an agent that died while joining.
    constexpr std::chrono::seconds unknownOwnerTime { 10 };

    // Datagrams older than this are dropped, so no copy of a refused one comes later.
    constexpr std::chrono::seconds udpRefusalTime { 30 };

    // All agents of a service may restart at once; an idempotent service then pauses for this time only.
    constexpr std::chrono::seconds idempotentRestartTime { 5 };

    constexpr std::chrono::seconds redirectLease { 60 };
    constexpr std::chrono::seconds redirectRenewal { 20 };
    constexpr std::size_t redirectTargets = 2;

    // Candidates compared by load. All are within the list of a copy that comes after a few more targets have joined.
    constexpr std::size_t comparedCandidates = 3;

    // Scores computed per tick while looking for displaced flows; 20,000 take about half a millisecond.
    constexpr std::size_t scoresPerTick = 20000;
    constexpr std::size_t slotsPerTick = 4096;

    // The notes are swept once in 6.4 s.
    constexpr std::size_t sweepSteps = 64;

    std::uint64_t claimRank(FlowHash flow, Endpoint claimant) noexcept
    {
        std::uint64_t const place = (static_cast<std::uint64_t>(claimant.address) << 16U) | claimant.port;
        return mixHash(static_cast<std::uint64_t>(flow), place);
    }

    std::size_t indexOf(std::span<Endpoint const> endpoints, Endpoint endpoint) noexcept
    {
        auto const place = std::find(endpoints.begin(), endpoints.end(), endpoint);
        return static_cast<std::size_t>(place - endpoints.begin());
    }

    // One packet on its way through the filters.
    struct Passage {
        InnerPacket const& packet;
        TimePoint now;
        RouteOption route;
        AgentDecision decision;
        PassNote* note { nullptr };
        bool first { false }; // may open a flow
        bool strict { false }; // must not be admitted twice, even after a crash
        bool inOrder { false }; // came along the candidate list, not by a note
        bool memoryGap { false }; // earlier copies may be known further along the list only
        bool verified { false }; // an agent that knows every earlier copy found none that opened the flow
    };

    // An agent that knows every earlier copy of a packet, and passes it on, marks it as returning with itself as the
    // claimant. A probe that returns has the receiver as the claimant.
    void takeVerification(Passage& passage, Endpoint self) noexcept
    {
        RouteOption& route = passage.route;
        if (!route.returning || route.claimant == self)
            return;
        passage.verified = true;
        route.claimant = {};
        route.returning = false;
    }

} // namespace

std::string_view agentReasonName(AgentReason reason) noexcept
{
    return reasonNames[static_cast<std::size_t>(reason)];
}

struct AgentPipeline::State {
    using Filter = bool (State::*)(Passage&) noexcept;

    static std::array<Filter, 8> const filters;

    AgentOptions options;
    ViewState view;
    FlowTable flows;
    PassNotes notes;
    Admission admission;
    Service service;
    AgentCounts counts;
    std::optional<TimePoint> lastReconciliation;
    TimePoint viewChanged;
    TimePoint recovered;
    std::uint32_t reconciliations { 0 };
    std::size_t redirectCursor { 0 };
    std::size_t flowLimit { 0 };
    std::size_t recentFlows { 0 };

    State(AgentOptions const& agentOptions, TimePoint now)
        : options(agentOptions)
        , view(agentOptions.name, agentOptions.self, now)
        , notes(agentOptions.noteEntries)
        , admission(agentOptions.coldStart, now)
        , viewChanged(now)
    {
    }

    [[nodiscard]] FlowCounts flowCounts() const noexcept
    {
        return { flows.openCount(), flows.inProgressCount(), recentFlows, flows.size() >= flows.limit() };
    }

    void resizeFlows()
    {
        ViewTarget const* const self = view.self();
        double const weight = self != nullptr ? self->weight : referenceWeight;
        admission.setWeight(static_cast<std::uint16_t>(weight));
        std::size_t const limit = static_cast<std::size_t>(service.limits.connections * weight / referenceWeight) * flowsPerConnection;
        if (limit != flowLimit)
            flows.resize(limit);
        flowLimit = limit;
    }

    // Outcomes. Each ends the passage.

    static bool finish(Passage& passage, AgentAction action, AgentReason reason) noexcept
    {
        passage.decision.action = action;
        passage.decision.reason = reason;
        return true;
    }

    static bool drop(Passage& passage, AgentReason reason) noexcept
    {
        return finish(passage, AgentAction::Drop, reason);
    }

    static bool deliver(Passage& passage) noexcept
    {
        // A2: the entry learns the owner when its first choice was another agent.
        if (passage.route.hops > 0 && passage.route.entry.isSet())
            passage.decision.notice = OwnerNotice { passage.route.entry, passage.packet.flow };
        return finish(passage, AgentAction::Deliver, AgentReason::None);
    }

    static bool passTo(Passage& passage, Endpoint to, std::size_t position) noexcept
    {
        passage.route.hops = static_cast<std::uint8_t>(passage.route.hops + 1);
        passage.route.position = static_cast<std::uint8_t>(position);
        passage.decision.to = to;
        passage.decision.route = passage.route;
        return finish(passage, AgentAction::Pass, AgentReason::None);
    }

    // Notes.

    bool putNote(Passage& passage, NoteKind kind, Endpoint owner, Duration lifetime) noexcept
    {
        PassNote note;
        note.flow = passage.packet.flow;
        note.expires = passage.now + lifetime;
        note.owner = owner;
        note.sequence = passage.packet.sequence;
        note.kind = kind;
        note.strict = passage.strict;
        passage.note = notes.put(note);
        return passage.note != nullptr;
    }

    [[nodiscard]] bool isOwnClaim(PassNote const* note) const noexcept
    {
        return note != nullptr && note->kind == NoteKind::Claimed && note->owner == options.self;
    }

    // The next candidate that is neither this agent nor the claimant; the candidate count at the end of the list.
    [[nodiscard]] std::size_t nextCandidate(RouteOption const& route, std::size_t from) const noexcept
    {
        std::size_t index = from;
        while (index < route.candidateCount && (route.candidates[index] == options.self || route.candidates[index] == route.claimant))
            ++index;
        return std::min<std::size_t>(index, route.candidateCount);
    }

    // Filters. Each returns true if it decided.

    // A1
    bool checkService(Passage& passage) noexcept
    {
        return passage.route.service != options.service && drop(passage, AgentReason::WrongService);
    }

    // A2
    bool deliverKnown(Passage& passage) noexcept
    {
        Flow* const flow = flows.find(passage.packet.flow);
        if (flow == nullptr)
            return false;
        if (passage.packet.syn && flow->isClosing()) {
            if (!admission.isAccepting()) {
                flows.erase(*flow);
                return false;
            }
            flows.reopen(*flow);
            flow->hasPayload = false;
        }
        trackPacket(*flow, passage);
        return deliver(passage);
    }

    void trackPacket(Flow& flow, Passage const& passage) noexcept
    {
        InnerPacket const& packet = passage.packet;
        flow.lastPacket = passage.now;
        flow.confirmed = flow.confirmed || !packet.syn;
        if (packet.rst || packet.fin) {
            flows.close(flow, packet.rst ? FlowState::Reset : FlowState::Finished);
            return;
        }
        if (packet.payloadBytes > 0) {
            flow.lastPayload = passage.now;
            flow.hasPayload = true;
            flow.payloadEnd = packet.sequence + packet.payloadBytes;
            flows.setInProgress(flow, !flow.isClosing());
            return;
        }
        // A bare acknowledgement after the request acknowledges the answer, because a caller acknowledges only data. The
        // one of the handshake may arrive later than the request, by another entry, and has a lower sequence number.
        bool const afterRequest = static_cast<std::int32_t>(packet.sequence - flow.payloadEnd) >= 0;
        if (flow.hasPayload && !packet.syn && afterRequest)
            flows.setInProgress(flow, false);
    }

    bool dropPaused(Passage& passage) noexcept
    {
        return passage.first && view.isPaused(passage.now) && drop(passage, AgentReason::Paused);
    }

    // A10: an unknown flow may be one that the table lacks until it is rebuilt. Without a view of the monitors, the probe of
    // a packet from a stale entry would miss targets that joined.
    bool dropRecovering(Passage& passage) noexcept
    {
        bool const recovering = !admission.isRecovered() || view.fingerprint() == 0;
        return passage.first && recovering && drop(passage, AgentReason::Recovering);
    }

    // A restart forgets refusals, so a copy of a refused datagram is neither taken nor passed on while it may still be on
    // its way. A refused TCP caller has no socket that could complete the handshake; strict services are never refused.
    [[nodiscard]] bool mayHaveRefused(Passage const& passage) const noexcept
    {
        bool const refusable = passage.packet.key.protocol == Protocol::Udp && !passage.strict;
        return refusable && !options.coldStart && passage.now < recovered + idempotentRestartTime;
    }

    // A3, A8
    bool followNote(Passage& passage) noexcept
    {
        passage.note = notes.find(passage.packet.flow, passage.now);
        if (passage.note == nullptr)
            return false;
        // The note is of an earlier copy, so what was found for this one says nothing.
        passage.verified = false;
        orphanUnknownOwner(passage);
        PassNote& note = *passage.note;
        bool const points = note.kind == NoteKind::Passed || note.kind == NoteKind::Claimed || note.kind == NoteKind::Redirected;
        if (!passage.first)
            return points && note.owner != options.self && followForLater(passage);
        if (note.kind == NoteKind::HalfOpen)
            return admit(passage);
        if (note.kind == NoteKind::Refused)
            return refuseAgain(passage);
        if (note.kind == NoteKind::Orphaned) {
            passage.memoryGap = true;
            return false;
        }
        if (note.owner == options.self)
            return false;
        return followPointer(passage);
    }

    void orphanUnknownOwner(Passage& passage) const noexcept
    {
        PassNote& note = *passage.note;
        bool const points = note.kind == NoteKind::Passed || note.kind == NoteKind::Claimed;
        if (!points || note.strict || note.owner == options.self)
            return;
        if (note.expires - passage.now < PassNotes::lifetime - unknownOwnerTime && !view.isLive(note.owner))
            note.kind = NoteKind::Orphaned;
    }

    bool refuseAgain(Passage& passage) noexcept
    {
        bool const sameAttempt = passage.packet.key.protocol == Protocol::Udp || passage.note->sequence == passage.packet.sequence;
        if (sameAttempt)
            return finish(passage, AgentAction::Refuse, AgentReason::AllFull);
        notes.erase(*passage.note);
        passage.note = nullptr;
        return false;
    }

    bool followPointer(Passage& passage) noexcept
    {
        PassNote& note = *passage.note;
        RouteOption& route = passage.route;
        if (route.claimant == options.self) {
            bool const returned = route.returning;
            route.claimant = {};
            route.returning = false;
            // The owner that the note names does not know the flow any more and hands it back.
            if (!returned && note.kind == NoteKind::Redirected) {
                notes.erase(note);
                passage.note = nullptr;
                return false;
            }
        } else if (route.claimant == note.owner) {
            // The claimant's own probe goes on along the list.
            passage.memoryGap = true;
            return false;
        }
        if (note.kind != NoteKind::Redirected)
            note.expires = passage.now + PassNotes::lifetime;
        return passAlong(passage, note.owner);
    }

    // A search along the list visits its agents anyway. Their notes would lead into the broken chain again, once for each
    // candidate, up to the hop limit.
    bool followForLater(Passage& passage) noexcept
    {
        RouteOption const& route = passage.route;
        Endpoint const owner = passage.note->owner;
        bool const isVisited = route.alongList && indexOf(route.candidateSpan(), owner) < route.candidateCount;
        return !isVisited && passAlong(passage, owner);
    }

    bool passAlong(Passage& passage, Endpoint owner) noexcept
    {
        if (passage.route.hops >= maximumHops) {
            // Notes that agents with different orders made can form a loop; without this one the next copy gets out.
            if (passage.first && passage.note->kind != NoteKind::Claimed)
                passage.note->kind = NoteKind::Orphaned;
            return drop(passage, AgentReason::HopLimit);
        }
        // The position stays, so that the owner sees that the packet came by a note and skipped candidates.
        return passTo(passage, owner, passage.route.position);
    }

    // A5, at a candidate that is asked, and at the claimant when the probe returns.
    bool answerClaim(Passage& passage) noexcept
    {
        RouteOption& route = passage.route;
        if (!passage.first || !route.claimant.isSet())
            return false;
        if (route.claimant == options.self) {
            if (route.returning)
                return admit(passage);
            route.claimant = {};
            return false;
        }
        route.returning = false;
        if (isOwnClaim(passage.note) && claimRank(passage.packet.flow, options.self) < claimRank(passage.packet.flow, route.claimant))
            return overrule(passage);
        bool const asked = passage.note == nullptr;
        if (asked && mayHaveRefused(passage))
            return drop(passage, AgentReason::Recovering);
        if (!putNote(passage, NoteKind::Claimed, route.claimant, PassNotes::lifetime))
            return drop(passage, AgentReason::NotesFull);
        bool const newcomer = view.isNewcomer(route.claimant, passage.now);
        if (asked && newcomer && !passage.strict && isConclusive(passage))
            return returnProbe(passage);
        return probeNext(passage, route.position + 1U);
    }

    // Earlier copies came here first if all candidates before this one have just joined. An older one has lost its
    // notes, or is gone, and may have passed a copy to any target. This agent remembers no copy, so nobody knows the flow.
    [[nodiscard]] bool isConclusive(Passage const& passage) const noexcept
    {
        RouteOption const& route = passage.route;
        if (!passage.inOrder || passage.memoryGap || !view.isSettled(route.viewFingerprint, passage.now))
            return false;
        for (std::size_t index = 0; index < route.position; ++index) {
            if (!view.isNewcomer(route.candidates[index], passage.now))
                return false;
        }
        return !view.isAfterDeparted(passage.packet.flow, passage.now);
    }

    // Two claims met. The lower rank wins, so that exactly one of them is given up.
    bool overrule(Passage& passage) noexcept
    {
        Endpoint const other = passage.route.claimant;
        passage.route.claimant = options.self;
        if (passage.route.hops >= maximumHops)
            return drop(passage, AgentReason::HopLimit);
        return passTo(passage, other, passage.route.position);
    }

    bool returnProbe(Passage& passage) noexcept
    {
        RouteOption& route = passage.route;
        if (route.claimant == options.self)
            return admit(passage);
        route.returning = true;
        return passTo(passage, route.claimant, route.position);
    }

    bool probeNext(Passage& passage, std::size_t from) noexcept
    {
        RouteOption& route = passage.route;
        std::size_t const next = nextCandidate(route, from);
        // The last hop is kept for the way back to the claimant.
        if (route.hops + 1U >= maximumHops)
            return drop(passage, AgentReason::HopLimit);
        if (next < route.candidateCount)
            return passTo(passage, route.candidates[next], next);
        return returnProbe(passage);
    }

    // A5: targets that this agent knows, and the entry that ranked the packet does not, may own the flow. They take the
    // place of the last candidates if the list is full, which only long hunts reach.
    void addOwnView(Passage& passage) const noexcept
    {
        RouteOption& route = passage.route;
        RankedCandidates const own = rankCandidates(view, passage.packet.flow);
        std::size_t replaced = maximumCandidates;
        for (std::size_t index = 0; index < own.count; ++index) {
            Endpoint const endpoint = own.endpoints[index];
            if (endpoint == options.self || indexOf(route.candidateSpan(), endpoint) < route.candidateCount)
                continue;
            if (route.candidateCount < maximumCandidates)
                route.candidates[route.candidateCount++] = endpoint;
            else if (replaced > maximumCandidates / 2 && replaced > route.position + 1U)
                route.candidates[--replaced] = endpoint;
        }
    }

    // A7
    bool passLater(Passage& passage) noexcept
    {
        if (passage.first)
            return false;
        RouteOption& route = passage.route;
        route.claimant = {};
        // The notes that led here end here.
        route.alongList = route.alongList || !passage.inOrder;
        if (route.hops >= maximumHops)
            return drop(passage, AgentReason::HopLimit);
        std::size_t next = nextCandidate(route, route.position + 1U);
        if (next >= route.candidateCount)
            next = listOwnView(route);
        if (next < route.candidateCount)
            return passTo(passage, route.candidates[next], next);
        return drop(passage, AgentReason::UnknownFlow);
    }

    // Adds targets of the own view that were not tried. A full list was tried completely and starts again with others,
    // once, because the hop limit leaves no room for a third list.
    // \returns the index of the first one
    [[nodiscard]] std::size_t listOwnView(RouteOption& route) const noexcept
    {
        RouteOption const tried = route;
        bool const isFull = route.candidateCount == maximumCandidates;
        if (isFull && route.hops < maximumHops / 2)
            route.candidateCount = 0;
        std::size_t const first = route.candidateCount;
        for (ViewTarget const& target : view.targets()) {
            bool const wasTried = indexOf(tried.candidateSpan(), target.data) < tried.candidateCount;
            if (!wasTried && target.data != options.self && route.candidateCount < maximumCandidates)
                route.candidates[route.candidateCount++] = target.data;
        }
        return first;
    }

    bool decideFirst(Passage& passage) noexcept
    {
        // A claim is a promise: other agents send copies here, so it is kept even by a full or draining agent.
        if (isOwnClaim(passage.note))
            return claim(passage);
        passage.verified = passage.verified || isConclusive(passage);
        Willingness const willingness = admission.willingness(flowCounts(), passage.now);
        if (mayHaveRefused(passage))
            return drop(passage, AgentReason::Recovering);
        if (willingness == Willingness::Full)
            return hunt(passage);
        if (willingness != Willingness::Willing && spreadLoad(passage))
            return true;
        // A4
        return passage.verified && !passage.strict ? admit(passage) : claim(passage);
    }

    // Load moves a flow only once, and only to a peer that is less busy.
    bool spreadLoad(Passage& passage) noexcept
    {
        RouteOption const& route = passage.route;
        bool const free = passage.verified && passage.inOrder && route.hops == 0 && !passage.strict && admission.limits().huntLimit > 1;
        if (!free)
            return false;
        std::size_t const next = chooseCandidate(passage, route.position + 1U);
        if (next >= route.candidateCount || loadOf(route.candidates[next]) >= admission.busyFraction())
            return false;
        return admission.takeSpreadingPass() && passWithNote(passage, next);
    }

    [[nodiscard]] double loadOf(Endpoint endpoint) const noexcept
    {
        ViewTarget const* const target = view.findEndpoint(endpoint);
        return target == nullptr ? 1 : admission.peerLoad(target->name);
    }

    // A verified flow may go to any candidate, and the notes keep other copies on the same way. Any other flow keeps the
    // order of the list, in which earlier copies went.
    //
    // \returns the least busy of the next candidates that take flows; the candidate count if there is none
    [[nodiscard]] std::size_t chooseCandidate(Passage const& passage, std::size_t from) const noexcept
    {
        RouteOption const& route = passage.route;
        std::size_t best = route.candidateCount;
        double least = 0;
        std::size_t compared = 0;
        for (std::size_t index = nextCandidate(route, from); index < route.candidateCount; index = nextCandidate(route, index + 1)) {
            Endpoint const candidate = route.candidates[index];
            if (view.isDraining(candidate) || !view.isLive(candidate))
                continue;
            double const load = loadOf(candidate);
            if (best == route.candidateCount || load < least) {
                best = index;
                least = load;
            }
            if (++compared == comparedCandidates)
                break;
        }
        return best;
    }

    bool passWithNote(Passage& passage, std::size_t next) noexcept
    {
        if (!putNote(passage, NoteKind::Passed, passage.route.candidates[next], PassNotes::lifetime))
            return drop(passage, AgentReason::NotesFull);
        if (passage.verified) {
            passage.route.claimant = options.self;
            passage.route.returning = true;
        }
        return passTo(passage, passage.route.candidates[next], next);
    }

    // A5, at the claimant.
    bool claim(Passage& passage) noexcept
    {
        std::size_t const from = passage.inOrder ? passage.route.position + 1U : 0U;
        if (!view.isOrderAgreed(passage.route.viewFingerprint, passage.now))
            addOwnView(passage);
        passage.route.claimant = options.self;
        passage.route.returning = false;
        if (!putNote(passage, NoteKind::Claimed, options.self, PassNotes::lifetime))
            return drop(passage, AgentReason::NotesFull);
        return probeNext(passage, from);
    }

    bool admit(Passage& passage) noexcept
    {
        Flow* const flow = flows.insert(passage.packet.flow, passage.packet.key.protocol, passage.now);
        // A11
        if (flow == nullptr)
            return drop(passage, AgentReason::AllFull);
        trackPacket(*flow, passage);
        flows.setInProgress(*flow, !flow->isClosing());
        if (PassNote* const note = notes.find(passage.packet.flow, passage.now))
            notes.erase(*note);
        admission.noteAdmission();
        passage.decision.admitted = true;
        return deliver(passage);
    }

    // A6
    bool hunt(Passage& passage) noexcept
    {
        RouteOption& route = passage.route;
        std::size_t const self = indexOf(route.candidateSpan(), options.self);
        if (self >= route.candidateCount)
            return handBack(passage);
        std::size_t const next = passage.verified ? chooseCandidate(passage, self + 1) : nextCandidate(route, self + 1);
        // A flow that is not verified is also searched for, which needs the whole list.
        bool const limited = passage.verified && route.hops + 1U >= admission.limits().huntLimit;
        bool const atEnd = next >= route.candidateCount || limited || route.hops >= maximumHops;
        // Passes away from a draining or recovering target are not overload and cost no budget.
        bool const mayPass = !atEnd && (!passage.verified || !admission.isAccepting() || admission.takePass());
        if (!mayPass)
            return refuse(passage, next);
        return passWithNote(passage, next);
    }

    // A redirect led here after the flow ended. The first candidate decides afresh and forgets the redirect.
    bool handBack(Passage& passage) noexcept
    {
        RouteOption& route = passage.route;
        if (route.candidateCount == 0 || route.hops >= maximumHops)
            return drop(passage, AgentReason::HopLimit);
        route.claimant = route.candidates[0];
        return passTo(passage, route.candidates[0], 0);
    }

    // A refusal is truthful if no earlier copy opened the flow, or if every candidate was asked.
    bool refuse(Passage& passage, std::size_t next) noexcept
    {
        // The caller of a strict service gets no answer: another copy may be under way to a target that takes it.
        if (passage.strict)
            return drop(passage, AgentReason::AllFull);
        RouteOption const& route = passage.route;
        bool const askedAll = next >= route.candidateCount && passage.inOrder && route.hops == route.position && route.candidateCount < maximumCandidates
            && view.isOrderAgreed(route.viewFingerprint, passage.now);
        if (!passage.verified && !askedAll)
            return drop(passage, AgentReason::Unsettled);
        bool const udp = passage.packet.key.protocol == Protocol::Udp;
        Duration const lifetime = udp ? Duration(udpRefusalTime) : Duration(PassNotes::lifetime);
        if (!putNote(passage, NoteKind::Refused, options.self, lifetime))
            return drop(passage, AgentReason::NotesFull);
        return finish(passage, AgentAction::Refuse, AgentReason::AllFull);
    }

    void count(AgentDecision const& decision) noexcept
    {
        counts.admitted += decision.admitted ? 1 : 0;
        counts.delivered += decision.action == AgentAction::Deliver ? 1 : 0;
        counts.passed += decision.action == AgentAction::Pass ? 1 : 0;
        counts.refused += decision.action == AgentAction::Refuse ? 1 : 0;
        if (decision.action == AgentAction::Drop)
            ++counts.dropped[static_cast<std::size_t>(decision.reason)];
    }

    // Periodic work.

    void expireFlows(TimePoint now) noexcept
    {
        Duration const hold = flows.size() * 2 > flows.limit() ? Duration(pressedHold) : Duration(finishedHold);
        recentFlows = 0;
        flows.eraseIf([this, now, hold](Flow& flow) {
            Duration const idle = now - flow.lastPacket;
            if (flow.inProgress)
                expireProgress(flow, now);
            recentFlows += flow.inProgress && now - flow.lastPayload < recentTime ? 1 : 0;
            if (flow.protocol == Protocol::Udp)
                return idle > udpIdle;
            if (flow.state == FlowState::Finished)
                return idle > hold;
            return flow.state == FlowState::Reset && idle > std::min<Duration>(hold, resetHold);
        });
    }

    void expireProgress(Flow& flow, TimePoint now) noexcept
    {
        bool const idleUdp = flow.protocol == Protocol::Udp && now - flow.lastPayload > udpProgress;
        bool const waiting = !flow.hasPayload && now - flow.admitted > handshakeProgress;
        if (idleUdp || waiting)
            flows.setInProgress(flow, false);
    }

    // A9
    std::size_t writeRedirects(TimePoint now, std::span<Redirect> redirects) noexcept
    {
        std::size_t written = 0;
        std::size_t scores = 0;
        std::size_t const visits = std::min(slotsPerTick, flows.slotCount());
        for (std::size_t visit = 0; visit < visits && scores < scoresPerTick; ++visit) {
            if (written + redirectTargets > redirects.size())
                break;
            redirectCursor = redirectCursor + 1 < flows.slotCount() ? redirectCursor + 1 : 0;
            Flow* const flow = flows.slot(redirectCursor);
            if (flow == nullptr || flow->isClosing() || !isRedirectDue(*flow, now))
                continue;
            flow->lastRedirect = now;
            RankedCandidates const ranked = rankCandidates(view, flow->hash);
            scores += ranked.evaluated;
            written += redirectFlow(*flow, ranked, redirects.subspan(written));
        }
        return written;
    }

    [[nodiscard]] bool isRedirectDue(Flow const& flow, TimePoint now) const noexcept
    {
        // Every entry lists all targets of a small service.
        if (flow.protocol == Protocol::Tcp && view.targets().size() <= maximumCandidates && view.self() != nullptr && !view.self()->dead)
            return false;
        return flow.lastRedirect <= viewChanged || now - flow.lastRedirect >= redirectRenewal;
    }

    // TCP flows are found along the list. A packet of a UDP flow that another agent does not know opens a flow there,
    // so the first candidate is told of every UDP flow that it does not own.
    [[nodiscard]] std::size_t redirectFlow(Flow const& flow, RankedCandidates const& ranked, std::span<Redirect> redirects) const noexcept
    {
        std::size_t const rank = indexOf({ ranked.endpoints.data(), ranked.count }, options.self);
        bool const displaced = rank >= ranked.count || (flow.protocol == Protocol::Udp && rank > 0);
        std::size_t written = 0;
        for (std::size_t index = 0; displaced && index < std::min({ redirectTargets, rank, ranked.count }); ++index)
            redirects[written++] = Redirect { ranked.endpoints[index], flow.hash };
        return written;
    }

    // Reconciliation.

    void adoptFlow(FlowHash hash, TimePoint now)
    {
        Flow* flow = flows.find(hash);
        if (flow == nullptr) {
            if (flows.size() >= flows.limit())
                flows.resize(flows.limit() + flows.limit() / 2 + 1);
            flow = flows.insert(hash, protocol(), now);
            flow->lastRedirect = TimePoint::min();
            if (PassNote* const note = notes.find(hash, now))
                notes.erase(*note);
        }
        // A caller that has sent FIN may wait for its answer longer than a finished flow is kept.
        if (flow->state == FlowState::Finished)
            flow->lastPacket = now;
        flow->listedIn = reconciliations;
    }

    bool keepHalfOpen(Flow const& flow, TimePoint now) noexcept
    {
        PassNote note;
        note.flow = flow.hash;
        note.expires = now + PassNotes::lifetime;
        note.owner = options.self;
        note.kind = NoteKind::HalfOpen;
        return notes.put(note) != nullptr;
    }

    [[nodiscard]] Protocol protocol() const noexcept
    {
        bool const udp = !service.addresses.empty() && service.addresses.front().protocol == Protocol::Udp;
        return udp ? Protocol::Udp : Protocol::Tcp;
    }

    // The list was taken after the last reconciliation, so only flows from before that one can be judged by it. The
    // list may lack half-open connections. The target still answers them, so a note keeps copies of the SYN here.
    void eraseLeaked(TimePoint now) noexcept
    {
        if (!lastReconciliation.has_value())
            return;
        TimePoint const judged = *lastReconciliation;
        flows.eraseIf([this, judged, now](Flow const& flow) noexcept {
            bool const missing = flow.protocol == Protocol::Tcp && !flow.isClosing() && flow.listedIn != reconciliations;
            // Entries rely on an owner notice for 4 s after a packet.
            bool const leaked = missing && flow.admitted < judged && now - flow.lastPacket > resetHold;
            return leaked && (flow.confirmed || keepHalfOpen(flow, now));
        });
    }
};

std::array<AgentPipeline::State::Filter, 8> const AgentPipeline::State::filters {
    &State::checkService,
    &State::deliverKnown,
    &State::dropPaused,
    &State::dropRecovering,
    &State::followNote,
    &State::answerClaim,
    &State::passLater,
    &State::decideFirst,
};

AgentPipeline::AgentPipeline(AgentOptions const& options, TimePoint now)
    : state_(std::make_unique<State>(options, now))
{
}

AgentPipeline::~AgentPipeline() = default;

AgentDecision AgentPipeline::decide(RouteOption const& route, InnerPacket const& packet, TimePoint now) noexcept
{
    Passage passage { packet, now, route, {} };
    bool const udp = packet.key.protocol == Protocol::Udp;
    passage.first = udp || packet.syn;
    passage.strict = udp && !state_->service.idempotent;
    takeVerification(passage, state_->options.self);
    passage.inOrder = route.position < route.candidateCount && route.candidates[route.position] == state_->options.self;
    for (State::Filter const filter : State::filters) {
        if ((state_.get()->*filter)(passage))
            break;
    }
    state_->count(passage.decision);
    return passage.decision;
}

void AgentPipeline::setService(Service const& service)
{
    state_->service = service;
    state_->admission.setService(service.limits, service.slowStart);
    state_->resizeFlows();
}

void AgentPipeline::setView(ServiceView const& view, TimePoint now)
{
    if (view.fingerprint != state_->view.fingerprint())
        state_->viewChanged = now;
    std::vector<Endpoint> const gone = state_->view.setView(view, now);
    state_->resizeFlows();
    if (gone.empty())
        return;
    state_->notes.forEach([&gone](PassNote& note) {
        // A strict flow may have run at the lost target, so copies of it keep going there and get no answer.
        bool const lost = !note.strict && note.kind != NoteKind::Refused && std::find(gone.begin(), gone.end(), note.owner) != gone.end();
        note.kind = lost ? NoteKind::Orphaned : note.kind;
    });
}

void AgentPipeline::reconcile(std::span<FlowHash const> openFlows, TimePoint now)
{
    ++state_->reconciliations;
    for (FlowHash const flow : openFlows)
        state_->adoptFlow(flow, now);
    state_->eraseLeaked(now);
    state_->lastReconciliation = now;
    if (!state_->admission.isRecovered()) {
        state_->view.noteRecovery(now);
        state_->recovered = now;
    }
    state_->admission.setRecovered();
}

void AgentPipeline::setLoadReport(LoadReport const& report, TimePoint now) noexcept
{
    state_->admission.setLoadReport(report, state_->flowCounts(), now);
}

void AgentPipeline::setPeerLoad(std::string_view peer, double busyFraction, TimePoint now)
{
    state_->admission.setPeerLoad(peer, busyFraction, now);
}

void AgentPipeline::setDraining(bool draining) noexcept
{
    state_->admission.setDraining(draining);
}

void AgentPipeline::renewLease(TimePoint now) noexcept
{
    state_->view.renewLease(now);
}

void AgentPipeline::acceptRedirect(FlowHash flow, Endpoint owner, TimePoint now) noexcept
{
    if (owner == state_->options.self || state_->flows.find(flow) != nullptr)
        return;
    PassNote note;
    note.flow = flow;
    note.expires = now + redirectLease;
    note.owner = owner;
    note.kind = NoteKind::Redirected;
    (void)state_->notes.put(note);
}

std::size_t AgentPipeline::tick(TimePoint now, std::span<Redirect> redirects) noexcept
{
    state_->view.tick(now);
    state_->expireFlows(now);
    state_->notes.sweep(now, sweepSteps);
    state_->admission.tick(state_->flowCounts(), now);
    return state_->writeRedirects(now, redirects);
}

double AgentPipeline::busyFraction(TimePoint /*now*/) const noexcept
{
    return state_->admission.busyFraction();
}

bool AgentPipeline::isSettled(std::uint32_t fingerprint, TimePoint now) const noexcept
{
    return state_->view.isSettled(fingerprint, now);
}

AgentCounts AgentPipeline::counts() const noexcept
{
    AgentCounts counts = state_->counts;
    counts.openFlows = static_cast<std::uint32_t>(state_->flows.openCount());
    counts.notes = static_cast<std::uint32_t>(state_->notes.size());
    counts.estimatedBusy = state_->admission.estimatedBusy(state_->flowCounts());
    return counts;
}

} // namespace plantaindrift
