// Guards against resets of open flows because one or two of the inputs of a search are wrong: a list is short or outdated, an agent
// is slow, or what it says does not hold.
#include "MovedScene.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace {

using namespace relay_scene;

// Flows open this long after the start of the agents.
constexpr std::chrono::seconds longUptime { 12 };
constexpr std::chrono::seconds shortUptime { 2 };

/// The weights of a route have changed, and all entries are replaced. Inputs of their searches are made wrong before or after.
struct VerdictScene : MovedScene {
    explicit VerdictScene(Duration uptime)
        : MovedScene(2, { { mainService, 90 }, { nextService, 10 } }, uptime)
    {
        for (std::unique_ptr<Agent> const& agent : agents) {
            agent->state.isStartObserved = true;
            agent->relay->setTargetState(agent->state, now());
        }
        configure(shared({ { mainService, 10 }, { nextService, 90 } }));
        runFor(5s);
    }

    /// Owners that the tests hide or delay; both services have one.
    static constexpr std::array<std::size_t, 2> affectedAgents { 0, 3 };

    void setViews(std::function<void(ServiceView&)> const& change)
    {
        for (std::string_view const service : { mainService, nextService }) {
            ServiceView changed = view(service);
            change(changed);
            for (std::unique_ptr<Entry> const& entry : entries)
                entry->relay->setView(changed, now());
        }
    }

    [[nodiscard]] bool isAffected(std::string_view name) const
    {
        return std::any_of(affectedAgents.begin(), affectedAgents.end(), [this, name](std::size_t index) { return agents[index]->name == name; });
    }

    void sendNotFound(Agent const& from, CallerFlow const& flow)
    {
        std::array<std::byte, maximumRelayHeaderBytes> message;
        std::size_t const bytes = writeRelayFlowNotFound(hashService(from.service), { flow.caller, serviceAddress }, { keys(), wallClockSeconds }, message);
        for (std::unique_ptr<Entry> const& entry : entries)
            deliver(from.data, entry->data, Bytes(message.begin(), message.begin() + static_cast<std::ptrdiff_t>(bytes)));
    }

    /// The targets keep running, so that the new agents have not observed their starts.
    void replaceAgents()
    {
        for (std::size_t index = 0; index < agents.size(); ++index) {
            agents[index]->state.isStartObserved = false;
            startAgent(index);
        }
    }
};

/// An input of searches that is wrong for a time.
struct WrongInput {
    std::string_view name;
    void (*before)(VerdictScene&); ///< called before the entries are replaced
    void (*after)(VerdictScene&); ///< called after that
};

void doNothing(VerdictScene&) { }

// Gossip and the store name all targets after a time that is shorter than any search.
constexpr std::chrono::milliseconds shortListTime { 2400 };

void hideTargets(VerdictScene& scene)
{
    scene.setViews([&scene](ServiceView& view) { std::erase_if(view.targets, [&scene](ViewTarget const& target) { return scene.isAffected(target.name); }); });
    scene.after(shortListTime, [&scene] { scene.setViews([](ServiceView&) {}); });
}

void hideServices(VerdictScene& scene)
{
    scene.setViews([](ServiceView& view) { view.targets.clear(); });
    scene.after(shortListTime, [&scene] { scene.setViews([](ServiceView&) {}); });
}

void listAsDead(VerdictScene& scene)
{
    scene.setViews([&scene](ServiceView& view) {
        for (ViewTarget& target : view.targets)
            target.dead = scene.isAffected(target.name);
    });
}

void useFormerConfiguration(VerdictScene& scene)
{
    Configuration const current = scene.configuration;
    scene.configure(shared({ { mainService, 90 }, { nextService, 10 } }));
    scene.after(1s, [&scene, current] { scene.configure(current); });
}

void replaceAgents(VerdictScene& scene)
{
    scene.replaceAgents();
}

void delayAnnouncements(VerdictScene& scene)
{
    scene.replaceAgents();
    for (std::unique_ptr<Agent> const& agent : scene.agents) {
        TargetState const known = agent->state;
        TargetState assumed = known;
        assumed.isAnnounced = false;
        assumed.isAccepting = false;
        assumed.isGone = true;
        agent->relay->setTargetState(assumed, scene.now());
        scene.after(shortListTime, [&scene, &agent = *agent, known] { agent.relay->setTargetState(known, scene.now()); });
    }
}

void slowTargets(VerdictScene& scene)
{
    scene.replaceAgents();
    for (std::unique_ptr<Agent> const& agent : scene.agents) {
        TargetState assumed = agent->state;
        assumed.isAnnounced = false;
        agent->relay->setTargetState(assumed, scene.now());
        agent->target.up = false;
        scene.after(1200ms, [&scene, &agent = *agent] {
            agent.target.up = true;
            agent.relay->setTargetState(agent.state, scene.now());
        });
    }
}

void pauseAgents(VerdictScene& scene)
{
    for (std::size_t const index : VerdictScene::affectedAgents) {
        Agent& agent = *scene.agents[index];
        scene.pause(agent.pause);
        scene.after(2200ms, [&scene, &agent] { scene.resume(agent.pause); });
    }
}

void loseDatagrams(VerdictScene& scene)
{
    scene.linkRule = [random = std::mt19937(3)](Bytes const&) mutable { return random() % 4 == 0 ? std::nullopt : std::optional<Duration>(linkDelay); };
    scene.after(5s, [&scene] { scene.linkRule = {}; });
}

void delayDatagrams(VerdictScene& scene)
{
    scene.linkRule = [random = std::mt19937(3)](Bytes const&) mutable { return std::optional<Duration>(std::chrono::milliseconds { random() % 400 }); };
    scene.after(5s, [&scene] { scene.linkRule = {}; });
}

// Reports of the owners, as of an earlier search, arrive during this one.
void sendOutdatedReports(VerdictScene& scene)
{
    for (Duration const wait : { 502ms, 800ms, 1500ms }) {
        scene.after(wait, [&scene] {
            for (std::unique_ptr<Agent> const& agent : scene.agents) {
                for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
                    scene.sendNotFound(*agent, *flow);
            }
        });
    }
}

constexpr std::array<WrongInput, 11> wrongInputs { {
    { "targets missing in the views", doNothing, hideTargets },
    { "views without targets", doNothing, hideServices },
    { "targets listed as dead", doNothing, listAsDead },
    { "former configuration", doNothing, useFormerConfiguration },
    { "agents replaced", replaceAgents, doNothing },
    { "announcements late", delayAnnouncements, doNothing },
    { "targets slow", slowTargets, doNothing },
    { "agents paused", doNothing, pauseAgents },
    { "datagrams lost", doNothing, loseDatagrams },
    { "datagrams late", doNothing, delayDatagrams },
    { "outdated reports", doNothing, sendOutdatedReports },
} };

std::size_t resetCount(Scene const& scene)
{
    return static_cast<std::size_t>(std::count_if(scene.flows.begin(), scene.flows.end(), [](std::unique_ptr<CallerFlow> const& flow) {
        return std::any_of(flow->requests.begin(), flow->requests.end(), [](Request const& request) { return request.reset; });
    }));
}

void checkThatNoFlowIsReset(Duration uptime, WrongInput const& first, WrongInput const& second)
{
    std::string const inputs = std::string(first.name) + ", " + std::string(second.name);
    VerdictScene scene(uptime);
    first.before(scene);
    second.before(scene);
    scene.restartEntries();
    first.after(scene);
    second.after(scene);
    scene.runFor(500ms);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        scene.request(*flow);
    for (int retransmission = 0; retransmission < 10; ++retransmission) {
        scene.runFor(800ms);
        for (std::unique_ptr<CallerFlow> const& flow : scene.flows) {
            if (!flow->requests.back().answered)
                scene.repeatRequest(*flow);
        }
    }
    BOOST_TEST(resetCount(scene) == 0U, inputs << ": " << resetCount(scene) << " flows reset");
    std::size_t const silent = static_cast<std::size_t>(std::count_if(scene.flows.begin(), scene.flows.end(), [](std::unique_ptr<CallerFlow> const& flow) { return !flow->requests.back().answered; }));
    BOOST_TEST(silent == 0U, inputs << ": " << silent << " flows silent");
}

} // namespace

BOOST_AUTO_TEST_CASE(OpenFlowsAreNotResetIfOneInputIsWrong)
{
    for (Duration const uptime : { longUptime, shortUptime }) {
        for (WrongInput const& input : wrongInputs)
            checkThatNoFlowIsReset(uptime, input, { "no other", doNothing, doNothing });
    }
}

BOOST_AUTO_TEST_CASE(OpenFlowsAreNotResetIfTwoInputsAreWrong)
{
    for (Duration const uptime : { longUptime, shortUptime }) {
        for (std::size_t first = 0; first < wrongInputs.size(); ++first) {
            for (std::size_t second = first + 1; second < wrongInputs.size(); ++second)
                checkThatNoFlowIsReset(uptime, wrongInputs[first], wrongInputs[second]);
        }
    }
}

// All processes are killed after the address has moved away. No agent has heard its target yet, so that none knows of a machine that
// kept its power; the entries took that for a power loss, and what the agents of the former service did not know for lost.
BOOST_AUTO_TEST_CASE(OpenFlowsAreNotResetIfAllProcessesAreKilledAndTheAddressHasMoved)
{
    MovedScene scene(2, { { mainService } });
    scene.configure(shared({ { nextService } }));
    scene.runFor(1050ms);
    for (std::size_t index = 0; index < scene.agents.size(); ++index) {
        scene.startAgent(index);
        TargetState assumed;
        assumed.isAccepting = true;
        scene.agents[index]->relay->setTargetState(assumed, scene.now());
    }
    scene.restartEntries();
    scene.runFor(500ms);
    for (std::unique_ptr<CallerFlow> const& flow : scene.flows)
        scene.request(*flow);
    scene.runFor(callerTimeout);
    BOOST_TEST(resetCount(scene) == 0U);
}
