// Guards against callers that wait after a loss of power, and against resets of flows on machines that kept theirs.
//
// Pattern of the load: all machines lose power and return 0.6 to 1.5 s later. The callers of all open flows retransmit, and others
// open flows. Callers of lost flows waited up to 3 s, until their deadline.
#include "RelayScene.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace {

using namespace relay_scene;

// Time from the start of an entry's process until it has read the configuration and the members from the store.
constexpr std::chrono::milliseconds entryStartTime { 50 };

// Time from then until no peer is expected to know further members; CatchUpTests shows that it is no longer.
constexpr std::chrono::milliseconds catchUpTime { 600 };

// A read of the member list, and the minimum time between the starts of two (MemberReader).
constexpr std::chrono::milliseconds memberReadTime { 50 };
constexpr std::chrono::milliseconds memberReadInterval { 1000 };

constexpr std::chrono::milliseconds announcementInterval { 1200 };

constexpr std::chrono::milliseconds shortestOutage { 600 };
constexpr std::chrono::milliseconds longestOutage { 1500 };

constexpr std::chrono::milliseconds pollInterval { 10 };

/// A flow that was open when the power was lost, and what its caller saw afterwards.
struct OpenFlow {
    CallerFlow* flow { nullptr };
    std::optional<TimePoint> firstSegment; ///< first segment that its entry received after its return
    std::optional<TimePoint> reset;
};

/// \brief A deployment that loses power. Entries read the members as the daemons do.
class PowerLoss {
public:
    PowerLoss(std::size_t entries, std::size_t agents, std::size_t flows)
        : scene(entries, agents)
    {
        // Agents that have run for long show that their machines kept their power.
        scene.runFor(11s);
        for (std::size_t index = 0; index < flows; ++index) {
            open.push_back({ &scene.open(index % entries), {}, {} });
            scene.runFor(2ms);
        }
        scene.runFor(1s);
        returned.resize(entries);
        nextRead_.resize(entries);
    }

    /// \brief Ends all processes but those of some agents; their machines return after a random time.
    ///
    /// \param vanished  agents whose machines do not return
    /// \param surviving  agents whose machines keep their power
    void strike(std::set<std::size_t> const& vanished, std::set<std::size_t> const& surviving)
    {
        lost = scene.now();
        for (std::size_t index = 0; index < scene.agents.size(); ++index) {
            if (surviving.contains(index))
                continue;
            Agent& agent = *scene.agents[index];
            agent.up = false;
            agent.target.up = false;
            agent.target.flows.clear();
            agent.target.halfOpen.clear();
            if (!vanished.contains(index))
                scene.after(outage(), [this, index] { startMachine(index); });
        }
        for (std::size_t index = 0; index < scene.entries.size(); ++index) {
            scene.entries[index]->up = false;
            Duration const wait = outage();
            returned[index] = lost + wait;
            scene.after(wait + entryStartTime, [this, index] { startEntry(index); });
        }
        for (OpenFlow const& flow : open)
            sendRequest(*flow.flow);
    }

    void run(Duration time)
    {
        for (TimePoint const end = scene.now() + time; scene.now() < end;) {
            scene.runFor(pollInterval);
            for (std::size_t index = 0; index < scene.entries.size(); ++index)
                readMembersIfNeeded(index);
            for (OpenFlow& flow : open)
                record(flow);
        }
    }

    /// \brief Longest time from the return of an entry to a reset of one of its flows, beyond the wait of the caller.
    [[nodiscard]] std::chrono::milliseconds longestWait() const
    {
        // A caller that sends its first segment late is answered within this time.
        constexpr std::chrono::milliseconds lateAnswerTime { 400 };
        Duration longest {};
        for (OpenFlow const& flow : open) {
            TimePoint const entry = returned[flow.flow->entry];
            if (!flow.reset)
                return std::chrono::milliseconds::max();
            Duration const wait = *flow.reset - entry;
            Duration const late = flow.firstSegment.value_or(entry) - entry + lateAnswerTime;
            longest = std::max(longest, wait > late ? wait : std::min<Duration>(wait, 1s));
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
    }

    [[nodiscard]] std::size_t resetCount() const
    {
        return static_cast<std::size_t>(std::count_if(open.begin(), open.end(), [](OpenFlow const& flow) { return flow.reset.has_value(); }));
    }

    /// \brief Opens a flow through each entry every 20 ms from its return on. \returns the time until the first is answered
    [[nodiscard]] std::chrono::milliseconds openUntilAnswered(std::size_t entry)
    {
        std::vector<CallerFlow*> flows;
        while (scene.now() < returned[entry] + 3s) {
            if (scene.now() >= returned[entry])
                flows.push_back(&scene.open(entry));
            run(20ms);
            if (std::ranges::any_of(flows, [](CallerFlow const* flow) { return flow->open; }))
                break;
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(scene.now() - returned[entry]);
    }

    [[nodiscard]] std::string describe() const
    {
        return std::to_string(scene.agents.size()) + " agents: " + std::to_string(resetCount()) + " of " + std::to_string(open.size()) + " flows reset, after " + std::to_string(longestWait().count()) + " ms at most";
    }

    Scene scene;
    std::vector<OpenFlow> open;
    std::vector<TimePoint> returned; ///< when each entry's process started again
    TimePoint lost;

private:
    std::vector<TimePoint> nextRead_;
    std::mt19937 random_ { 5 };

    Duration outage()
    {
        return std::chrono::milliseconds { std::uniform_int_distribution<std::int64_t>(shortestOutage.count(), longestOutage.count())(random_) };
    }

    void startMachine(std::size_t index)
    {
        Agent& agent = *scene.agents[index];
        agent.target.up = true;
        // Some targets announce themselves before their agent listens, and again only after an interval.
        bool const isFirstAnnouncementHeard = index % 4 != 0;
        agent.state.isStartObserved = isFirstAnnouncementHeard;
        agent.state.hasStartedWithAgent = true;
        scene.startAgent(index);
        TargetState assumed = agent.state;
        assumed.isAnnounced = false;
        assumed.isStartObserved = false;
        assumed.hasStartedWithAgent = false;
        agent.relay->setTargetState(assumed, scene.now());
        Duration const wait = isFirstAnnouncementHeard ? 50ms : Duration(announcementInterval);
        scene.after(wait, [&agent, this] { agent.relay->setTargetState(agent.state, scene.now()); });
    }

    void startEntry(std::size_t index)
    {
        scene.startEntry(index);
        EntryRelay& entry = *scene.entries[index]->relay;
        entry.setViewsComplete(false);
        entry.requireMemberRead();
        entry.recordMemberRead(scene.now() - memberReadTime);
        scene.after(catchUpTime, [&entry] { entry.setViewsComplete(true); });
    }

    void readMembersIfNeeded(std::size_t index)
    {
        Entry const& entry = *scene.entries[index];
        if (!entry.up || !entry.relay->needsMemberRead() || scene.now() < nextRead_[index])
            return;
        nextRead_[index] = scene.now() + memberReadInterval;
        scene.after(memberReadTime, [&relay = *entry.relay, started = scene.now()] { relay.recordMemberRead(started); });
    }

    // A caller retransmits its request after 200 ms, with the interval doubling up to 1.6 s.
    void sendRequest(CallerFlow& flow)
    {
        std::uniform_int_distribution<std::int64_t> jitter(0, 1000);
        Duration const first = std::chrono::milliseconds { jitter(random_) };
        scene.after(first, [this, &flow] { scene.request(flow); });
        Duration wait = 200ms;
        for (Duration when = first + wait; when < 20s; when += wait) {
            scene.after(when, [this, &flow] {
                if (!flow.requests.back().reset && !flow.requests.back().answered)
                    scene.repeatRequest(flow);
            });
            notes_.emplace(lost + when, &flow);
            wait = std::min<Duration>(2 * wait, 1600ms);
        }
        notes_.emplace(lost + first, &flow);
    }

    std::multimap<TimePoint, CallerFlow const*> notes_; ///< when callers send

    void record(OpenFlow& flow)
    {
        if (!flow.reset && flow.flow->requests.back().reset)
            flow.reset = scene.now();
        if (flow.firstSegment)
            return;
        TimePoint const ready = returned[flow.flow->entry] + entryStartTime;
        for (std::multimap<TimePoint, CallerFlow const*>::const_iterator note = notes_.lower_bound(ready); note != notes_.end() && note->first <= scene.now(); ++note) {
            if (note->second != flow.flow)
                continue;
            flow.firstSegment = note->first;
            return;
        }
    }
};

struct Size {
    std::size_t entries { 0 };
    std::size_t agents { 0 };
};

constexpr std::array<Size, 3> sizes { { { 3, 10 }, { 8, 60 }, { 20, 200 } } };

} // namespace

BOOST_AUTO_TEST_CASE(CallersOfLostFlowsAreResetWithinASecondOfTheReturnOfTheirEntry)
{
    for (Size const size : sizes) {
        PowerLoss fleet(size.entries, size.agents, 200);
        fleet.strike({}, {});
        fleet.run(5s);
        BOOST_TEST_MESSAGE(fleet.describe());
        BOOST_TEST(fleet.resetCount() == fleet.open.size(), fleet.describe());
        BOOST_TEST(fleet.longestWait().count() <= 1100, fleet.describe());
    }
}

BOOST_AUTO_TEST_CASE(CallersOfLostFlowsAreResetThoughAMachineNeverReturns)
{
    for (Size const size : sizes) {
        PowerLoss fleet(size.entries, size.agents, 200);
        fleet.strike({ size.agents / 2 }, {});
        fleet.run(5s);
        BOOST_TEST_MESSAGE(fleet.describe());
        BOOST_TEST(fleet.resetCount() == fleet.open.size(), fleet.describe());
        BOOST_TEST(fleet.longestWait().count() <= 1700, fleet.describe());
    }
}

// The machines of most targets lost power. One is cut off, and another shows that not all machines lost theirs.
BOOST_AUTO_TEST_CASE(FlowsOfAMachineThatIsCutOffAreNotReset)
{
    for (Size const size : sizes) {
        PowerLoss fleet(size.entries, size.agents, 200);
        std::size_t cutOff = size.agents / 2;
        while (cutOff + 2 < size.agents && fleet.scene.agents[cutOff]->target.flows.empty())
            ++cutOff;
        fleet.strike({}, { cutOff, cutOff + 1 });
        Agent& agent = *fleet.scene.agents[cutOff];
        agent.up = false;
        std::vector<OpenFlow const*> kept;
        for (OpenFlow const& flow : fleet.open) {
            if (agent.target.flows.contains(hashRelayFlow({ flow.flow->caller, serviceAddress })))
                kept.push_back(&flow);
        }
        BOOST_REQUIRE(!kept.empty());
        fleet.run(6s);
        agent.up = true;
        fleet.run(4s);
        for (OpenFlow const* const flow : kept) {
            BOOST_TEST(!flow->reset.has_value(), fleet.describe());
            BOOST_TEST(flow->flow->requests.back().answered.has_value(), fleet.describe());
        }
    }
}

// A machine that returns last opens a flow through one entry at once; the flow moves to an entry that has no report of the
// machine yet and has waited for it since its own start.
BOOST_AUTO_TEST_CASE(AFlowOfAMachineThatHasJustReturnedIsNotReset)
{
    Scene scene(2, 10);
    // Between two ticks no load report is on its way to an entry that starts.
    scene.runFor(11050ms);
    scene.agents[9]->up = false;
    scene.agents[9]->target.up = false;
    for (std::size_t index = 0; index < 9; ++index) {
        scene.agents[index]->state.isStartObserved = true;
        scene.startAgent(index);
    }
    scene.startEntry(0);
    scene.startEntry(1);
    scene.runFor(3s);
    // Entry 0 chooses the machine that returns.
    ServiceView last = scene.view();
    last.targets.erase(last.targets.begin(), last.targets.end() - 1);
    scene.entries[0]->relay->setView(last, scene.now());
    scene.agents[9]->target.up = true;
    scene.agents[9]->state.isStartObserved = true;
    scene.startAgent(9);
    scene.runFor(5ms);
    CallerFlow& flow = scene.open(0);
    scene.runFor(20ms);
    BOOST_REQUIRE(flow.open);
    BOOST_REQUIRE(scene.agents[9]->target.flows.size() == 1U);
    // Its agent replies to the query later than the others.
    scene.pause(scene.agents[9]->pause);
    scene.after(20ms, [&scene] { scene.resume(scene.agents[9]->pause); });
    flow.entry = 1;
    scene.request(flow);
    scene.runFor(2s);
    BOOST_TEST(!flow.requests.back().reset);
    BOOST_TEST(flow.requests.back().answered.has_value());
}

BOOST_AUTO_TEST_CASE(NewFlowsOpenAtOnce)
{
    for (Size const size : sizes) {
        PowerLoss fleet(size.entries, size.agents, 50);
        fleet.strike({}, {});
        std::size_t const last = static_cast<std::size_t>(std::max_element(fleet.returned.begin(), fleet.returned.end()) - fleet.returned.begin());
        std::int64_t const milliseconds = fleet.openUntilAnswered(last).count();
        BOOST_TEST_MESSAGE(size.agents << " agents: the first new flow opens after " << milliseconds << " ms");
        BOOST_TEST(milliseconds <= 300, size.agents << " agents");
    }
}
