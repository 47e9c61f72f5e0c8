#pragma once

#include "SegmentFormat.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/relay/AgentRelay.h"
#include "plantaindrift/relay/EntryRelay.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \brief Simulates entries, agents, targets and callers of one address in simulated time, without a network.
///
/// Until a test changes the configuration, one service has the address. Every segment takes a fixed time. Targets serve a bounded number of requests in parallel and queue the others,
/// answer opening segments, and return segments of flows that they do not hold.
namespace relay_scene {

using namespace plantaindrift;
using namespace std::chrono_literals;

using Bytes = std::vector<std::byte>;

inline constexpr std::uint32_t wallClockSeconds = 1'000'000;
inline constexpr std::chrono::microseconds linkDelay { 500 };
inline constexpr std::uint16_t callerPort = 8172;
inline Endpoint const serviceAddress { 0xC6120001U, 443 };

inline constexpr std::uint8_t openingFlag = 32;
inline constexpr std::uint8_t acknowledgementFlag = 2;
inline constexpr std::uint8_t closingFlag = 1;
inline constexpr std::uint8_t resetFlag = 4;
inline constexpr std::uint8_t returnedFlag = 128;

struct Header {
    std::uint32_t sequence { 0 };
    std::uint32_t acknowledgement { 0 };
    std::uint32_t returnToken { 0 };
    Endpoint source;
    Endpoint destination;
    std::uint8_t flags { 0 };
    std::uint16_t dataBytes { 0 };
};

template <typename Number>
void writeField(Bytes& bytes, std::size_t offset, Number number)
{
    std::memcpy(bytes.data() + offset, &number, sizeof(number));
}

/// \brief Builds a packet in the division's format; both the format and this machine are little-endian.
inline Bytes makePacket(Header const& header)
{
    Bytes bytes(31U + header.dataBytes, std::byte { 0x41 });
    writeField(bytes, 0, std::uint32_t { 0x5EED });
    writeField(bytes, 4, header.sequence);
    writeField(bytes, 8, header.acknowledgement);
    writeField(bytes, 12, header.returnToken);
    writeField(bytes, 16, header.dataBytes);
    writeField(bytes, 18, header.destination.port);
    writeField(bytes, 20, header.source.address);
    writeField(bytes, 24, header.destination.address);
    writeField(bytes, 28, header.source.port);
    writeField(bytes, 30, header.flags);
    return bytes;
}

class Scene;

/// \brief A target with slots, a queue and its open flows.
struct FakeTarget {
    std::size_t slots { 3 };
    std::size_t queue { 12 };
    std::chrono::microseconds serviceTime { 20ms };
    std::uint64_t failEvery { 0 }; ///< resets every request with a multiple of this number; 0 for none
    bool up { true };
    std::map<std::uint64_t, RelayFlow> flows; ///< open flows
    std::map<std::uint64_t, std::uint32_t> halfOpen; ///< sequence numbers of answers that the caller has not acknowledged
    std::size_t busy { 0 };
    std::vector<std::function<void()>> waiting;
    std::uint64_t requests { 0 };
    std::uint64_t failed { 0 }; ///< number of requests that were reset
    std::size_t longestQueue { 0 };
    std::uint64_t openings { 0 }; ///< number of opening segments received
    std::vector<TimePoint> openingTimes;
    std::uint64_t unknownSegments { 0 }; ///< number of segments received for flows that it does not hold
};

/// \brief Delivers datagrams of a relay to the simulated nodes.
class SceneSender final : public RelaySender {
public:
    SceneSender(Scene& scene, Endpoint from)
        : scene_(scene)
        , from_(from)
    {
    }
    void send(Endpoint to, std::span<std::byte const> datagram) noexcept override;

private:
    Scene& scene_;
    Endpoint from_;
};

/// \brief Records the decisions of all relays.
class DecisionList final : public RelayObserver {
public:
    void onDecision(RelayDecision const& decision) noexcept override { decisions.push_back(decision); }
    [[nodiscard]] std::size_t count(std::string_view outcome) const
    {
        return static_cast<std::size_t>(std::count_if(decisions.begin(), decisions.end(), [outcome](RelayDecision const& decision) { return decision.outcome == outcome; }));
    }
    std::vector<RelayDecision> decisions;
};

/// \brief A process that stands still; what arrives waits in its sockets.
struct Pause {
    bool isActive { false };
    TimePoint since;
    std::vector<std::function<void(Duration waited)>> arrived;
};

/// \brief Name of the service of all targets, unless a test adds others.
inline constexpr std::string_view mainService = "desk";

struct Agent {
    std::string name;
    std::string service;
    std::string dataCentre { "north" };
    Endpoint data;
    Endpoint targetEndpoint;
    std::unique_ptr<SceneSender> sender;
    std::unique_ptr<AgentRelay> relay;
    FakeTarget target;
    TargetState state;
    bool up { true };
    Pause pause;
};

struct Entry {
    Endpoint data;
    std::unique_ptr<SceneSender> sender;
    std::unique_ptr<EntryRelay> relay;
    bool up { true };
    Pause pause;
};

/// \brief What a caller observed of one request.
struct Request {
    TimePoint sent;
    std::optional<TimePoint> answered;
    bool refused { false }; ///< a reset before the flow opened
    bool reset { false }; ///< a reset of the open flow
};

/// \brief One flow of a caller, through one entry.
struct CallerFlow {
    Endpoint caller;
    std::size_t entry { 0 };
    std::uint32_t nextSequence { 1 };
    std::uint32_t targetSequence { 0 };
    bool open { false };
    std::uint8_t retransmissions { 0 };
    std::vector<Request> requests;
    std::size_t unsent { 0 }; ///< number of requests that wait for the flow to open
};

class Scene {
public:
    explicit Scene(std::size_t entryCount, std::size_t agentCount)
    {
        for (std::size_t index = 0; index < agentCount; ++index)
            addAgent();
        for (std::size_t index = 0; index < entryCount; ++index)
            addEntry();
        publishView();
        runFor(500ms);
    }

    DecisionList decisions;
    std::vector<std::unique_ptr<Agent>> agents;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::unique_ptr<CallerFlow>> flows;
    EntryResources entryResources; ///< limits of the entries that are started from now on
    Configuration configuration { mainConfiguration() }; ///< of the entries that are started from now on; see configure()

    std::function<std::optional<Duration>(Bytes const&)> linkRule; ///< delay of a datagram; empty if it is lost
    [[nodiscard]] TimePoint now() const { return now_; }
    [[nodiscard]] ServiceView const& view(std::string_view service = mainService) const { return views_.at(std::string(service)); }

    [[nodiscard]] static KeyRing keys()
    {
        KeyRing ring;
        ring.count = 1;
        return ring;
    }

    /// \brief Number of datagrams that entries, agents and targets have sent.
    [[nodiscard]] std::uint64_t deliveredCount() const { return deliveredCount_; }

    void addEntry()
    {
        std::unique_ptr<Entry> entry = std::make_unique<Entry>();
        entry->data = { 0x0A010000U + static_cast<std::uint32_t>(entries.size()) + 1, 7735 };
        entry->sender = std::make_unique<SceneSender>(*this, entry->data);
        entries.push_back(std::move(entry));
        startEntry(entries.size() - 1);
    }

    /// \brief Starts an entry, or replaces its process by a new one.
    void startEntry(std::size_t index)
    {
        Entry& entry = *entries[index];
        EntryRelayOptions options;
        options.ownEndpoint = entry.data;
        options.dataCentre = "north";
        options.keys = keys();
        options.randomSeed = 7 + index + 1000 * startedEntries_++;
        options.callerPort = callerPort;
        options.name = "entry-" + std::to_string(index + 1);
        options.resources = entryResources;
        entry.relay = std::make_unique<EntryRelay>(options, codec_, *entry.sender, decisions);
        entry.relay->setConfiguration(configuration, now_);
        for (std::pair<std::string const, ServiceView> const& view : views_)
            entry.relay->setView(view.second, now_);
        entry.relay->setViewsComplete(true);
        entry.up = true;
    }

    void addAgent(std::string_view service = mainService)
    {
        std::unique_ptr<Agent> agent = std::make_unique<Agent>();
        std::uint32_t const number = static_cast<std::uint32_t>(agents.size()) + 1;
        agent->name = "target-" + std::to_string(number);
        agent->service = service;
        agent->data = { 0x0A020000U + number, 8173 };
        agent->targetEndpoint = { 0x0A020000U + number, 8165 };
        agent->sender = std::make_unique<SceneSender>(*this, agent->data);
        agents.push_back(std::move(agent));
        startAgent(agents.size() - 1);
    }

    /// \brief Starts an agent, or replaces its process by a new one; its target keeps running.
    void startAgent(std::size_t index)
    {
        Agent& agent = *agents[index];
        AgentRelayOptions options;
        options.targetName = agent.name;
        options.dataCentre = agent.dataCentre;
        options.ownEndpoint = agent.data;
        options.targetEndpoint = agent.targetEndpoint;
        options.serviceName = agent.service;
        options.keys = keys();
        options.callerPort = callerPort;
        agent.relay = std::make_unique<AgentRelay>(options, codec_, *agent.sender, decisions, now_);
        agent.state.isAccepting = true;
        agent.state.isAnnounced = true;
        agent.state.slots = static_cast<std::uint16_t>(agent.target.slots);
        agent.relay->setTargetState(agent.state, now_);
        if (views_.contains(agent.service))
            agent.relay->setView(views_.at(agent.service));
        agent.up = true;
    }

    /// \brief Sends a view of all targets to all nodes.
    void publishView()
    {
        views_.clear();
        for (std::unique_ptr<Agent> const& agent : agents) {
            ViewTarget target;
            target.name = agent->name;
            target.dataCentre = agent->dataCentre;
            target.data = agent->data;
            views_[agent->service].service = agent->service;
            views_[agent->service].targets.push_back(target);
        }
        for (std::unique_ptr<Agent> const& agent : agents)
            agent->relay->setView(views_.at(agent->service));
        for (std::unique_ptr<Entry> const& entry : entries) {
            for (std::pair<std::string const, ServiceView> const& view : views_)
                entry->relay->setView(view.second, now_);
        }
    }

    /// \brief Gives all entries that run a new configuration.
    void configure(Configuration const& changed)
    {
        configuration = changed;
        for (std::unique_ptr<Entry> const& entry : entries) {
            if (entry->up)
                entry->relay->setConfiguration(configuration, now_);
        }
    }

    // ---- callers ----

    /// \brief Opens a flow and sends one request once it is open.
    CallerFlow& open(std::size_t entry)
    {
        std::unique_ptr<CallerFlow> flow = std::make_unique<CallerFlow>();
        std::uint32_t const number = static_cast<std::uint32_t>(flows.size());
        flow->caller = { 0x64400001U + number / 50000, static_cast<std::uint16_t>(1024 + number % 50000) };
        flow->entry = entry;
        flow->requests.push_back({ now_, {}, false, false });
        flow->unsent = 1;
        byCaller_[key(flow->caller)] = flow.get();
        flows.push_back(std::move(flow));
        sendOpening(*flows.back());
        return *flows.back();
    }

    /// \brief Sends another request on an open flow.
    void request(CallerFlow& flow)
    {
        flow.requests.push_back({ now_, {}, false, false });
        sendRequest(flow);
    }

    /// \brief Retransmits the last request of an open flow.
    void repeatRequest(CallerFlow const& flow)
    {
        Header const header { 1 + flow.nextSequence, flow.targetSequence + 1, 0, flow.caller, serviceAddress, acknowledgementFlag, 100 };
        sendThroughEntry(flow, makePacket(header));
    }

    /// \brief Repeats an opening segment of a flow through an entry, as the network may do.
    void repeatOpening(CallerFlow const& flow, std::size_t entry, std::uint32_t copy)
    {
        sendThroughEntry(entry, makeOpening(flow, copy));
    }

    /// \brief Closes an open flow from the caller's side.
    void close(CallerFlow& flow)
    {
        Header const header { 101 + flow.nextSequence, flow.targetSequence + 1, 0, flow.caller, serviceAddress, acknowledgementFlag | closingFlag, 0 };
        ++flow.nextSequence;
        sendThroughEntry(flow, makePacket(header));
    }

    // ---- stalls ----

    /// \brief Lets a process stand still.
    void pause(Pause& process)
    {
        process.isActive = true;
        process.since = now_;
    }

    /// \brief Lets a process run again, which then processes what arrived meanwhile.
    void resume(Pause& process)
    {
        process.isActive = false;
        for (std::function<void(Duration)> const& action : std::exchange(process.arrived, {}))
            action(now_ - process.since);
    }

    // ---- time ----

    void at(TimePoint when, std::function<void()> action) { events_.push({ when, ++order_, std::move(action) }); }
    void after(Duration wait, std::function<void()> action) { at(now_ + wait, std::move(action)); }

    void runFor(Duration time)
    {
        TimePoint const end = now_ + time;
        while (true) {
            TimePoint const nextTick = lastTick_ + 100ms;
            bool const isEventNext = !events_.empty() && events_.top().when <= nextTick;
            TimePoint const next = isEventNext ? events_.top().when : nextTick;
            if (next > end)
                break;
            now_ = std::max(now_, next);
            if (isEventNext)
                runEvent();
            else
                tickAll();
        }
        now_ = end;
    }

    void deliver(Endpoint from, Endpoint to, Bytes const& bytes)
    {
        ++deliveredCount_;
        std::optional<Duration> const delay = linkRule ? linkRule(bytes) : Duration(linkDelay);
        if (delay)
            after(*delay, [this, from, to, bytes] { deliverToNode(from, to, bytes); });
    }

private:
    struct Event {
        TimePoint when;
        std::uint64_t order { 0 };
        std::function<void()> action;
        bool operator<(Event const& other) const { return std::tie(when, order) > std::tie(other.when, other.order); }
    };

    division::SegmentFormat codec_;
    std::map<std::string, ServiceView> views_; ///< by service
    TimePoint now_ { 1000s };
    TimePoint lastTick_ { 1000s };
    std::uint64_t order_ { 0 };
    std::uint64_t deliveredCount_ { 0 };
    std::uint64_t startedEntries_ { 0 };
    std::uint32_t lastTargetSequence_ { 5000 };
    std::priority_queue<Event> events_;
    std::map<std::uint64_t, CallerFlow*> byCaller_;

    // The sequence numbers of real targets are random, so that those of two targets are not adjacent.
    static constexpr std::uint32_t targetSequenceStep = 1000;

    static Configuration mainConfiguration()
    {
        Service service;
        service.name = mainService;
        service.addresses.push_back({ serviceAddress, Protocol::Tcp });
        return { { service } };
    }

    static std::uint64_t key(Endpoint endpoint) { return (std::uint64_t { endpoint.address } << 16U) | endpoint.port; }

    void runEvent()
    {
        Event const event = events_.top();
        events_.pop();
        event.action();
    }

    void tickAll()
    {
        lastTick_ += 100ms;
        for (std::unique_ptr<Agent> const& agent : agents) {
            if (agent->up && !agent->pause.isActive)
                agent->relay->tick(now_, wallClockSeconds);
        }
        for (std::unique_ptr<Entry> const& entry : entries) {
            if (entry->up && !entry->pause.isActive)
                entry->relay->tick(now_, wallClockSeconds);
        }
    }

    void deliverToNode(Endpoint from, Endpoint to, Bytes const& bytes)
    {
        for (std::unique_ptr<Entry> const& entry : entries) {
            if (entry->up && entry->data == to)
                receive(entry->pause, [this, &entry = *entry, from, bytes](Duration) { (void)entry.relay->processAgentMessage(from, bytes, now_, wallClockSeconds); });
        }
        for (std::unique_ptr<Agent> const& agent : agents) {
            if (agent->up && agent->data == to)
                receive(agent->pause, [this, &agent = *agent, from, bytes](Duration waited) { applyVerdict(agent, agent.relay->processRelayDatagram(bytes, from, now_, wallClockSeconds, waited)); });
        }
        if (to.port == callerPort)
            deliverToCaller(bytes);
    }

    static void receive(Pause& process, std::function<void(Duration waited)> action)
    {
        if (process.isActive)
            process.arrived.push_back(std::move(action));
        else
            action(Duration::zero());
    }

    void applyVerdict(Agent& agent, PacketVerdict const& verdict)
    {
        if (!verdict.to.isSet())
            return;
        Bytes bytes(verdict.header.begin(), verdict.header.end());
        bytes.insert(bytes.end(), verdict.payload.begin(), verdict.payload.end());
        if (verdict.to == agent.targetEndpoint)
            deliverToTarget(agent, bytes);
        else
            deliver(agent.data, verdict.to, bytes);
    }

    // ---- target ----

    void processTargetSegment(Agent& agent, Bytes const& bytes)
    {
        if (agent.up)
            applyVerdict(agent, agent.relay->processTargetDatagram(bytes, now_, wallClockSeconds));
    }

    void deliverToTarget(Agent& agent, Bytes bytes)
    {
        if (!agent.target.up)
            return;
        Segment const segment = codec_.decode(bytes).value();
        RelayFlow const flow { segment.source, segment.destination };
        std::uint64_t const hash = hashRelayFlow(flow);
        FakeTarget& target = agent.target;
        if (segment.isOpenRequest()) {
            ++target.openings;
            target.openingTimes.push_back(now_);
            // A retransmission gets the same answer.
            lastTargetSequence_ += targetSequenceStep;
            std::uint32_t const sequence = target.halfOpen.try_emplace(hash, lastTargetSequence_).first->second;
            Header answer { sequence, segment.sequence + 1, 0, flow.serviceEndpoint, flow.caller, openingFlag | acknowledgementFlag, 0 };
            processTargetSegment(agent, makePacket(answer));
            return;
        }
        std::map<std::uint64_t, std::uint32_t>::iterator const half = target.halfOpen.find(hash);
        if (half != target.halfOpen.end() && segment.acknowledgement == half->second + 1) {
            target.halfOpen.erase(half);
            target.flows[hash] = flow;
        }
        if (!target.flows.contains(hash)) {
            ++target.unknownSegments;
            bytes[30] |= std::byte { returnedFlag };
            processTargetSegment(agent, bytes);
            return;
        }
        if (segment.isClosing || segment.isReset)
            target.flows.erase(hash);
        else if (segment.dataBytes > 0)
            startRequest(agent, flow);
    }

    void startRequest(Agent& agent, RelayFlow const& flow)
    {
        FakeTarget& target = agent.target;
        ++target.requests;
        if (target.failEvery > 0 && target.requests % target.failEvery == 0) {
            ++target.failed;
            target.flows.erase(hashRelayFlow(flow));
            processTargetSegment(agent, makePacket({ 9000, 0, 0, flow.serviceEndpoint, flow.caller, resetFlag, 0 }));
            return;
        }
        std::function<void()> work = [this, &agent, flow] {
            after(agent.target.serviceTime, [this, &agent, flow] { finishRequest(agent, flow); });
        };
        if (target.busy < target.slots) {
            ++target.busy;
            work();
            return;
        }
        target.waiting.push_back(std::move(work));
        target.longestQueue = std::max(target.longestQueue, target.waiting.size());
    }

    void finishRequest(Agent& agent, RelayFlow const& flow)
    {
        FakeTarget& target = agent.target;
        if (target.waiting.empty()) {
            --target.busy;
        } else {
            std::function<void()> const next = target.waiting.front();
            target.waiting.erase(target.waiting.begin());
            next();
        }
        if (target.up)
            processTargetSegment(agent, makePacket({ 9000, 0, 0, flow.serviceEndpoint, flow.caller, acknowledgementFlag, 200 }));
    }

    // ---- caller ----

    void sendThroughEntry(CallerFlow const& flow, Bytes const& bytes) { sendThroughEntry(flow.entry, bytes); }

    void sendThroughEntry(std::size_t entry, Bytes const& bytes)
    {
        after(linkDelay, [this, &at = *entries[entry], bytes] {
            if (at.up)
                receive(at.pause, [this, &at, bytes](Duration waited) { processCallerSegment(at, bytes, waited); });
        });
    }

    void processCallerSegment(Entry& entry, Bytes const& bytes, Duration waited)
    {
        PacketVerdict const verdict = entry.relay->processCallerDatagram(bytes, now_, wallClockSeconds, waited);
        if (!verdict.to.isSet())
            return;
        Bytes sent(verdict.header.begin(), verdict.header.end());
        sent.insert(sent.end(), verdict.payload.begin(), verdict.payload.end());
        deliver(entry.data, verdict.to, sent);
    }

    static Bytes makeOpening(CallerFlow const& flow, std::uint32_t copy)
    {
        return makePacket({ 100, copy, 0, flow.caller, serviceAddress, openingFlag, 0 });
    }

    void sendOpening(CallerFlow& flow)
    {
        sendThroughEntry(flow, makeOpening(flow, flow.retransmissions));
        ++flow.retransmissions;
        Duration const wait = flow.retransmissions == 1 ? 200ms : 400ms;
        after(wait, [this, &flow] {
            if (!flow.open && !flow.requests.front().refused && flow.retransmissions < 3)
                sendOpening(flow);
        });
    }

    void sendRequest(CallerFlow& flow)
    {
        Header const header { 101 + flow.nextSequence, flow.targetSequence + 1, 0, flow.caller, serviceAddress, acknowledgementFlag, 100 };
        flow.nextSequence += 100;
        sendThroughEntry(flow, makePacket(header));
    }

    void deliverToCaller(Bytes const& bytes)
    {
        Segment const segment = codec_.decode(bytes).value();
        std::map<std::uint64_t, CallerFlow*>::iterator const found = byCaller_.find(key(segment.destination));
        if (found == byCaller_.end())
            return;
        CallerFlow& flow = *found->second;
        if (segment.isReset) {
            (flow.open ? flow.requests.back().reset : flow.requests.back().refused) = true;
            return;
        }
        if (segment.isOpening && !flow.open) {
            flow.open = true;
            flow.targetSequence = segment.sequence;
            sendThroughEntry(flow, makePacket({ 101, flow.targetSequence + 1, 0, flow.caller, serviceAddress, acknowledgementFlag, 0 }));
            for (; flow.unsent > 0; --flow.unsent)
                sendRequest(flow);
        }
        if (segment.dataBytes > 0) {
            for (Request& request : flow.requests) {
                if (!request.answered) {
                    request.answered = now_;
                    break;
                }
            }
        }
    }
};

inline void SceneSender::send(Endpoint to, std::span<std::byte const> datagram) noexcept
{
    scene_.deliver(from_, to, Bytes(datagram.begin(), datagram.end()));
}

/// \brief A power loss: all machines restart, and agents observe the start of their targets.
inline void restartMachines(Scene& scene)
{
    for (std::size_t index = 0; index < scene.agents.size(); ++index) {
        scene.agents[index]->target.flows.clear();
        scene.agents[index]->state.isStartObserved = true;
        scene.startAgent(index);
    }
    for (std::size_t index = 0; index < scene.entries.size(); ++index)
        scene.startEntry(index);
}

/// \brief Response times of a set of requests.
struct Answers {
    std::size_t inTime { 0 };
    std::size_t all { 0 };
    double worstMilliseconds { 0 };
};

/// \brief Opens flows of one request each at random times and measures their response times; `entryOf` picks the entry
/// of each.
inline Answers runTraffic(Scene& scene, double perSecond, Duration time, Duration objective, std::function<std::size_t(std::mt19937&)> const& entryOf)
{
    std::mt19937 random(11);
    std::exponential_distribution<double> gap(perSecond);
    std::vector<CallerFlow*> flows;
    TimePoint const end = scene.now() + time;
    double next = 0;
    while (scene.now() < end) {
        next = gap(random);
        scene.runFor(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(next)));
        flows.push_back(&scene.open(entryOf(random)));
    }
    scene.runFor(5s);
    Answers answers;
    for (CallerFlow const* const flow : flows) {
        Request const& request = flow->requests.front();
        ++answers.all;
        if (!request.answered)
            continue;
        Duration const took = *request.answered - request.sent;
        answers.inTime += took <= objective ? 1 : 0;
        answers.worstMilliseconds = std::max(answers.worstMilliseconds, std::chrono::duration<double, std::milli>(took).count());
    }
    return answers;
}

/// \brief Picks one of four entries at random.
inline std::size_t anyEntry(std::mt19937& random)
{
    return random() % 4;
}

} // namespace relay_scene
