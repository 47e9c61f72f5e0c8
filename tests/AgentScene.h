#pragma once

#include "plantaindrift/plantaindrift.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift::testing {

using namespace std::chrono_literals;

/// \brief What became of a packet that travelled along the agents.
struct Journey {
    AgentAction action { AgentAction::Drop };
    AgentReason reason { AgentReason::None };
    std::string at; ///< agent that ended the journey
    int hops { 0 };
    bool admitted { false };
};

/// \brief Agents of one service on one clock; packets travel along them at once unless a test sends them by hand.
class AgentScene {
public:
    explicit AgentScene(std::vector<std::string> const& names, Protocol protocol = Protocol::Tcp)
        : protocol_(protocol)
    {
        service.name = "rota-desk";
        service.idempotent = true;
        service.addresses = { { { 0x0A640001, 443 }, protocol } };
        for (std::string const& name : names)
            addRecord(name);
        for (std::string const& name : names)
            start(name, true);
    }

    /// \brief A scene whose agents have been running for long.
    static AgentScene settled(std::vector<std::string> const& names, Protocol protocol = Protocol::Tcp)
    {
        AgentScene scene(names, protocol);
        scene.advance(90s);
        return scene;
    }

    void addRecord(std::string const& name)
    {
        ViewTarget record;
        record.name = name;
        record.data = endpoint(name);
        records.push_back(record);
    }

    void start(std::string const& name, bool recovered, bool coldStart = false)
    {
        AgentOptions options;
        options.name = name;
        options.self = endpoint(name);
        options.service = hashService(service.name);
        options.coldStart = coldStart;
        options.noteEntries = noteEntries;
        agents[name] = std::make_unique<AgentPipeline>(options, now);
        agents[name]->setService(service);
        agents[name]->setView(view(), now);
        agents[name]->renewLease(now);
        if (recovered)
            agents[name]->reconcile({}, now);
    }

    /// \brief A target joins: every agent learns it at once.
    void join(std::string const& name)
    {
        addRecord(name);
        start(name, true);
        spread();
    }

    void setDead(std::string const& name)
    {
        record(name).dead = true;
        agents.erase(name);
        spread();
    }

    void spread()
    {
        for (auto& [name, agent] : agents)
            agent->setView(view(), now);
    }

    ViewTarget& record(std::string const& name)
    {
        return *std::find_if(records.begin(), records.end(), [&name](ViewTarget const& item) { return item.name == name; });
    }

    [[nodiscard]] ServiceView view() const
    {
        ServiceView result;
        result.service = service.name;
        result.targets = records;
        std::sort(result.targets.begin(), result.targets.end(), [](ViewTarget const& left, ViewTarget const& right) { return left.name < right.name; });
        result.fingerprint = viewFingerprint(result.targets);
        return result;
    }

    /// \brief Lets time pass with ticks each 100 ms and a heartbeat reply each second.
    void advance(Duration duration)
    {
        TimePoint const end = now + duration;
        for (int step = 0; now < end; ++step) {
            now += 100ms;
            for (auto& [name, agent] : agents) {
                if (step % 10 == 0)
                    agent->renewLease(now);
                lastRedirects = agent->tick(now, redirects);
            }
        }
    }

    [[nodiscard]] static Endpoint endpoint(std::string_view name)
    {
        // Names end in a letter or digit that tells them apart.
        return { 0x0A020000 + static_cast<std::uint32_t>(static_cast<unsigned char>(name.back())), 6081 };
    }

    [[nodiscard]] std::string nameOf(Endpoint wanted) const
    {
        for (ViewTarget const& item : records) {
            if (item.data == wanted)
                return item.name;
        }
        return "none";
    }

    [[nodiscard]] RouteOption route(std::vector<std::string> const& candidates) const
    {
        RouteOption result;
        result.service = hashService(service.name);
        result.viewFingerprint = view().fingerprint;
        result.entry = { 0x0A010001, 6081 };
        for (std::string const& name : candidates)
            result.candidates[result.candidateCount++] = endpoint(name);
        return result;
    }

    [[nodiscard]] InnerPacket packet(std::uint16_t flow) const
    {
        InnerPacket result;
        result.key = { { 0xC0A80001, flow }, service.addresses[0].endpoint, protocol_ };
        result.flow = hashFlow(result.key);
        result.sequence = 100;
        result.payloadBytes = protocol_ == Protocol::Udp ? 10 : 0;
        return result;
    }

    [[nodiscard]] InnerPacket syn(std::uint16_t flow) const
    {
        InnerPacket result = packet(flow);
        result.syn = protocol_ == Protocol::Tcp;
        return result;
    }

    [[nodiscard]] InnerPacket data(std::uint16_t flow) const
    {
        InnerPacket result = packet(flow);
        result.sequence = 101;
        result.payloadBytes = 10;
        return result;
    }

    [[nodiscard]] InnerPacket finish(std::uint16_t flow) const
    {
        InnerPacket result = packet(flow);
        result.fin = true;
        return result;
    }

    AgentDecision decide(std::string const& name, RouteOption const& along, InnerPacket const& item)
    {
        return agents.at(name)->decide(along, item, now);
    }

    /// \brief Sends a packet to the first candidate and on until an agent ends its journey.
    Journey send(std::vector<std::string> const& candidates, InnerPacket const& item)
    {
        return follow(candidates.front(), route(candidates), item);
    }

    Journey follow(std::string name, RouteOption along, InnerPacket const& item)
    {
        Journey journey;
        for (int hop = 0; hop < 40; ++hop) {
            journey.at = name;
            if (!agents.contains(name))
                return journey;
            AgentDecision const decision = decide(name, along, item);
            journey.action = decision.action;
            journey.reason = decision.reason;
            journey.admitted = decision.admitted;
            if (decision.action != AgentAction::Pass)
                return journey;
            ++journey.hops;
            along = decision.route;
            name = nameOf(decision.to);
        }
        return journey;
    }

    /// \brief Makes an agent unwilling without draining it.
    void fill(std::string const& name)
    {
        LoadReport report;
        report.healthy = false;
        agents.at(name)->setLoadReport(report, now);
    }

    void relieve(std::string const& name)
    {
        agents.at(name)->setLoadReport(LoadReport {}, now);
    }

    Service service;
    TimePoint now { TimePoint {} + 1000s };
    std::vector<ViewTarget> records;
    std::map<std::string, std::unique_ptr<AgentPipeline>> agents;
    std::array<Redirect, 64> redirects {};
    std::size_t lastRedirects { 0 };
    std::size_t noteEntries { 64 };

private:
    Protocol protocol_;
};

} // namespace plantaindrift::testing
