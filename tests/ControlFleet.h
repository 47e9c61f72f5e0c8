#pragma once

#include "membership/RandomSource.h"
#include "plantaindrift/plantaindrift.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace plantaindrift::testing {

/// \brief Behaviour of the network between control nodes; all of it follows from the seed.
struct NetworkOptions {
    std::uint64_t seed { 1 };
    double loss { 0 };
    double duplication { 0 };
    std::chrono::milliseconds shortestDelay { 1 };
    std::chrono::milliseconds longestDelay { 5 };
};

/// \brief Many control nodes in one process, joined by a network in virtual time.
class ControlFleet {
public:
    static constexpr std::chrono::milliseconds step { 100 };

    explicit ControlFleet(NetworkOptions const& options = {})
        : options_(options)
        , random_(options.seed)
    {
    }

    [[nodiscard]] TimePoint now() const noexcept { return now_; }
    NetworkOptions& network() noexcept { return options_; }

    [[nodiscard]] static Endpoint endpointOf(std::uint32_t index) noexcept { return { 0x0A000000U + index, 7000 }; }

    /// \brief Number of entries given to new nodes as settings: the first ones ever started, or these.
    std::vector<Endpoint> seeds;
    std::uint32_t bytesPerSecond { 3000 };
    bool handlesEvacuations { false };

    EntryControl& addEntry(std::string const& name, std::string const& dataCentre, std::uint64_t incarnation = 1)
    {
        EntryControlOptions options;
        options.self = makeMember(MemberRole::Entry, name, dataCentre, incarnation);
        options.seeds = seeds;
        options.randomSeed = options_.seed;
        options.bytesPerSecond = bytesPerSecond;
        options.handlesEvacuations = handlesEvacuations;
        Node& node = addNode(name, options.self);
        node.entry = std::make_unique<EntryControl>(options);
        return *node.entry;
    }

    AgentControl& addAgent(std::string const& name, std::string const& dataCentre, std::string const& service, std::uint64_t incarnation = 1)
    {
        AgentControlOptions options;
        options.self = makeMember(MemberRole::Agent, name, dataCentre, incarnation);
        options.self.service = service;
        options.entries = seeds;
        options.randomSeed = options_.seed;
        options.handlesEvacuations = handlesEvacuations;
        Node& node = addNode(name, options.self);
        node.agent = std::make_unique<AgentControl>(options);
        return *node.agent;
    }

    /// \brief Starts entries with the endpoints and data centres of earlier ones and new names.
    void restartAt(std::span<Member const> earlier)
    {
        for (Member const& old : earlier) {
            EntryControlOptions options;
            options.self = old;
            options.self.name = old.name + "-next";
            options.self.incarnation = 1;
            options.seeds = seeds;
            options.randomSeed = options_.seed;
            options.bytesPerSecond = bytesPerSecond;
            options.handlesEvacuations = handlesEvacuations;
            addNode(options.self.name, options.self).entry = std::make_unique<EntryControl>(options);
        }
    }

    /// \brief Ends a node without warning.
    void kill(std::string const& name)
    {
        byEndpoint_.erase(nodes_.at(name).self.control);
        nodes_.erase(name);
    }

    /// \brief Stops a node's ticks; messages to it wait, as in the buffers of its sockets.
    void pause(std::string const& name, bool paused) { nodes_.at(name).paused = paused; }

    /// \brief Cuts the network between nodes for which the predicate differs; an empty one heals it.
    void cut(std::function<bool(Member const&)> side) { side_ = std::move(side); }

    /// \brief Drops messages for which the predicate holds.
    void block(std::function<bool(Member const& from, Member const& to)> blocked) { blocked_ = std::move(blocked); }

    /// \brief Processor time that the control logic of the entries and of the agents used.
    struct ProcessorTime {
        std::chrono::nanoseconds entries { 0 };
        std::chrono::nanoseconds agents { 0 };
    };
    ProcessorTime processorTime;
    bool measuresTime { false };

    /// \brief Called for each message that is sent.
    std::function<void(Member const& from, Member const& to, std::string const& bytes)> observe;

    /// \brief Larger messages are lost, as they do not fit into a datagram.
    std::size_t maximumMessageBytes { 60'000 };
    std::size_t tooLargeMessages { 0 };

    /// \brief Called after each step.
    std::function<void()> afterStep;

    void run(Duration duration)
    {
        for (TimePoint const end = now_ + duration; now_ < end;)
            advance();
    }

    /// \brief Runs until the predicate holds.
    ///
    /// \returns the time that passed, or the limit plus one step if the predicate does not hold within it
    template <typename Predicate>
    Duration runUntil(Predicate predicate, Duration limit)
    {
        TimePoint const begin = now_;
        while (!predicate() && now_ - begin <= limit)
            advance();
        return now_ - begin;
    }

    [[nodiscard]] bool has(std::string const& name) const { return nodes_.contains(name); }
    [[nodiscard]] EntryControl& entry(std::string const& name) { return *nodes_.at(name).entry; }
    [[nodiscard]] AgentControl& agent(std::string const& name) { return *nodes_.at(name).agent; }
    [[nodiscard]] Member const& self(std::string const& name) const { return nodes_.at(name).self; }

    [[nodiscard]] std::vector<std::string> entryNames() const
    {
        std::vector<std::string> names;
        for (auto const& [name, node] : nodes_) {
            if (node.entry)
                names.push_back(name);
        }
        return names;
    }

    [[nodiscard]] std::vector<std::string> agentNames() const
    {
        std::vector<std::string> names;
        for (auto const& [name, node] : nodes_) {
            if (node.agent)
                names.push_back(name);
        }
        return names;
    }

    /// \brief True if every entry knows the member in this state.
    [[nodiscard]] bool everyEntryKnows(std::string const& member, MemberState state)
    {
        for (std::string const& name : entryNames()) {
            if (stateAt(name, member) != state)
                return false;
        }
        return true;
    }

    /// \brief State of a member at an entry, or nothing if the entry does not know it.
    [[nodiscard]] std::optional<MemberState> stateAt(std::string const& entryName, std::string const& member)
    {
        std::optional<Member> const record = recordAt(entryName, member);
        return record ? std::optional<MemberState>(record->state) : std::nullopt;
    }

    [[nodiscard]] std::optional<Member> recordAt(std::string const& entryName, std::string const& member)
    {
        for (Member const& record : entry(entryName).members()) {
            if (record.name == member)
                return record;
        }
        return std::nullopt;
    }

    /// \brief True if every entry knows exactly the running nodes as live, with equal records.
    [[nodiscard]] bool isConverged()
    {
        std::vector<std::string> const names = entryNames();
        if (names.empty())
            return true;
        std::vector<Member> const first = live(names.front());
        if (first.size() != nodes_.size())
            return false;
        for (Member const& member : first) {
            if (!nodes_.contains(member.name) || member.state == MemberState::Suspect)
                return false;
        }
        return std::all_of(names.begin() + 1, names.end(), [this, &first](std::string const& name) { return live(name) == first; });
    }

    /// \brief True if every entry has applied the position.
    [[nodiscard]] bool everyEntryApplied(std::uint64_t position)
    {
        std::vector<std::string> const names = entryNames();
        return std::all_of(names.begin(), names.end(), [this, position](std::string const& name) { return entry(name).changeLog().position() >= position; });
    }

    [[nodiscard]] std::vector<Member> live(std::string const& entryName)
    {
        std::vector<Member> members = entry(entryName).members();
        std::erase_if(members, [](Member const& member) { return member.state == MemberState::Dead || member.state == MemberState::Left; });
        return members;
    }

    /// \brief Delivers bytes to a node as if they came from an endpoint.
    void deliver(std::string const& to, Endpoint from, std::span<std::byte const> bytes)
    {
        Node& node = nodes_.at(to);
        if (node.entry)
            node.entry->receive(from, bytes, now_);
        else
            node.agent->receive(from, bytes, now_);
    }

    void advance()
    {
        now_ += step;
        deliverDue();
        for (auto& [name, node] : nodes_)
            tick(node);
        deliverDue();
        if (afterStep)
            afterStep();
    }

private:
    struct Node {
        Member self;
        std::unique_ptr<EntryControl> entry;
        std::unique_ptr<AgentControl> agent;
        bool paused { false };
        std::vector<std::pair<Endpoint, std::string>> waiting;
    };

    struct Packet {
        Endpoint from;
        Endpoint to;
        std::string bytes;
    };

    Member makeMember(MemberRole role, std::string const& name, std::string const& dataCentre, std::uint64_t incarnation)
    {
        Member member;
        member.role = role;
        member.name = name;
        member.dataCentre = dataCentre;
        member.incarnation = incarnation;
        member.control = endpointOf(++lastIndex_);
        member.data = { member.control.address, 6081 };
        member.slots = 7;
        member.connections = 2000;
        return member;
    }

    Node& addNode(std::string const& name, Member const& self)
    {
        Node& node = nodes_[name];
        node = {};
        node.self = self;
        byEndpoint_[self.control] = name;
        return node;
    }

    void tick(Node& node)
    {
        if (node.paused)
            return;
        for (auto const& [from, bytes] : std::exchange(node.waiting, {}))
            receive(node, from, bytes);
        timed(node, [this, &node] {
            if (node.entry)
                node.entry->tick(now_);
            else
                node.agent->tick(now_, 0.5);
        });
        collect(node);
    }

    template <typename Call>
    void timed(Node const& node, Call call)
    {
        if (!measuresTime) {
            call();
            return;
        }
        std::chrono::nanoseconds const begin = processorClock();
        call();
        (node.entry ? processorTime.entries : processorTime.agents) += processorClock() - begin;
    }

    [[nodiscard]] static std::chrono::nanoseconds processorClock() noexcept
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec };
    }

    void receive(Node& node, Endpoint from, std::string const& bytes)
    {
        std::span<std::byte const> const view = std::as_bytes(std::span(bytes));
        timed(node, [this, &node, from, view] {
            if (node.entry)
                node.entry->receive(from, view, now_);
            else
                node.agent->receive(from, view, now_);
        });
    }

    void collect(Node& node)
    {
        std::vector<ControlMessage> const messages = node.entry ? node.entry->takeMessages() : node.agent->takeMessages();
        for (ControlMessage const& message : messages)
            post(node.self, message);
    }

    void post(Member const& from, ControlMessage const& message)
    {
        auto const name = byEndpoint_.find(message.to);
        if (name == byEndpoint_.end())
            return;
        Member const& to = nodes_.at(name->second).self;
        if (observe)
            observe(from, to, message.bytes);
        if (message.bytes.size() > maximumMessageBytes) {
            ++tooLargeMessages;
            return;
        }
        bool const separated = side_ && side_(from) != side_(to);
        if (separated || (blocked_ && blocked_(from, to)) || chance(options_.loss))
            return;
        int const copies = chance(options_.duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
            inFlight_.emplace(now_ + delay(), Packet { from.control, message.to, message.bytes });
    }

    void deliverDue()
    {
        while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
            Packet packet = std::move(inFlight_.begin()->second);
            inFlight_.erase(inFlight_.begin());
            auto const name = byEndpoint_.find(packet.to);
            if (name == byEndpoint_.end())
                continue;
            Node& node = nodes_.at(name->second);
            if (node.paused) {
                node.waiting.emplace_back(packet.from, std::move(packet.bytes));
                continue;
            }
            receive(node, packet.from, packet.bytes);
            collect(node);
        }
    }

    [[nodiscard]] bool chance(double probability)
    {
        constexpr std::uint64_t scale = 1'000'000;
        return probability > 0 && static_cast<double>(random_.below(scale)) < probability * static_cast<double>(scale);
    }

    [[nodiscard]] std::chrono::milliseconds delay()
    {
        std::chrono::milliseconds const range = options_.longestDelay - options_.shortestDelay;
        return options_.shortestDelay + std::chrono::milliseconds { random_.below(static_cast<std::size_t>(range.count()) + 1) };
    }

    NetworkOptions options_;
    RandomSource random_;
    // Far from the epoch, so that no age becomes negative.
    TimePoint now_ { std::chrono::hours { 1000 } };
    std::map<std::string, Node> nodes_;
    std::map<Endpoint, std::string> byEndpoint_;
    std::multimap<TimePoint, Packet> inFlight_;
    std::function<bool(Member const&)> side_;
    std::function<bool(Member const&, Member const&)> blocked_;
    std::uint32_t lastIndex_ { 0 };
};

/// \brief A change that declares one service with a number that tells positions apart.
[[nodiscard]] inline ConfigurationChange makeChange(std::uint64_t position, std::string const& service)
{
    ConfigurationChange change;
    change.position = position;
    change.operationId = "operation-" + std::to_string(position);
    change.author = "ana";
    change.reason = "more slots";
    change.timeMilliseconds = 1'700'000'000'000 + static_cast<std::int64_t>(position);
    Service declared;
    declared.name = service;
    declared.addresses.push_back({ { 0xC0A80001U, 443 }, Protocol::Tcp });
    declared.targets.push_back(service + "-*");
    declared.limits.slots = static_cast<std::uint32_t>(position);
    change.services.push_back({ service, std::nullopt, declared });
    return change;
}

} // namespace plantaindrift::testing
