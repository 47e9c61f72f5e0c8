#pragma once

#include "Model.h"
#include "PacketBytes.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <unordered_map>

namespace plantaindrift::measure {

/// \brief Discrete-event run of callers, entries, agents and targets in virtual time; one seed gives one result.
class Simulation {
public:
    explicit Simulation(Run const& run)
        : run_(run)
        , random_(run.seed)
    {
        service_.name = run.deployment.name;
        service_.addresses = { { serviceAddress, Protocol::Tcp } };
        service_.limits.slots = run.deployment.slots;
        service_.limits.queuePerSlot = run.deployment.queuePerSlot;
        keys_.count = 1;
        for (std::uint32_t index = 0; index < run.deployment.targets; ++index)
            addTarget(index % run.deployment.dataCentres, false);
        for (std::uint32_t index = 0; index < run.deployment.entries; ++index)
            addEntry(index % run.deployment.dataCentres);
        giveViewsAtOnce();
        schedule(tickPeriod, Event::Tick);
        schedule(secondPeriod, Event::Second);
        schedule(reportPeriod, Event::Reports);
        schedule(trafficStart - 10 * second, Event::Feeds);
        schedule(trafficStart, Event::Arrival);
        schedule(trafficStart, Event::UploadArrival);
        schedule(measureStart(), Event::MeasureStart);
        if (run.incident != Incident::None)
            schedule(measureStart() + 10 * second, Event::IncidentStep, 0);
    }

    [[nodiscard]] Result run()
    {
        while (!events_.empty()) {
            Event const event = events_.top();
            events_.pop();
            now_ = event.time;
            if (now_ > end() + drainTime)
                break;
            handle(event);
        }
        return summarise();
    }

private:
    using Micros = std::int64_t;

    static constexpr Micros millisecond = 1000;
    static constexpr Micros second = 1000000;
    static constexpr Micros tickPeriod = 100 * millisecond;
    static constexpr Micros secondPeriod = second;
    static constexpr Micros reportPeriod = 500 * millisecond;
    static constexpr Micros reportLag = 200 * millisecond;
    static constexpr Micros trafficStart = 100 * second; // Agents have settled by then.
    static constexpr Micros warmUp = 15 * second;
    static constexpr Micros drainTime = 10 * second;
    static constexpr Micros deadAfter = 6 * second;
    static constexpr std::size_t shedQueue = 64;
    static constexpr double loadShareBytes = 40;
    static constexpr Endpoint serviceAddress { 0x0A640001, 443 };

    enum class FlowKind : std::uint8_t {
        Request,
        Upload,
        Feed
    };

    struct CallerFlow {
        FlowKey key;
        FlowHash hash {};
        FlowKind kind { FlowKind::Request };
        std::int32_t owner { -1 };
        std::int32_t second { -1 }; // another target that opened it
        Micros firstSyn { 0 };
        Micros work { 0 };
        Micros overSince { 0 };
        std::uint32_t nextByte { 2 }; // TCP sequence number of the next data; the SYN has 1
        std::uint32_t pendingSequence { 0 }; // of the reliable packet on its way
        bool pending { false };
        bool established { false };
        bool inService { false };
        bool waiting { false };
        bool over { false };
        bool broken { false };
        bool refused { false };
        bool measured { false };
    };

    struct Packet {
        RouteOption route;
        std::uint32_t flow { 0 };
        std::uint32_t sequence { 0 };
        PacketKind kind { PacketKind::Syn };
        std::uint32_t tcpSequence { 0 };
    };

    struct Target {
        ViewTarget record;
        std::uint32_t dataCentre { 0 };
        std::unique_ptr<AgentPipeline> agent;
        std::vector<std::uint32_t> open; // flows, unordered
        std::deque<std::uint32_t> queue;
        std::deque<std::pair<Micros, std::uint32_t>> history; // busy slots, for lagging reports
        std::uint32_t busy { 0 };
        std::uint32_t assigned { 0 }; // flows in progress, as the omniscient dispatcher knows
        double busyIntegral { 0 };
        Micros lastChange { 0 };
        Micros joined { 0 };
        Micros left { -1 };
        Micros slowUntil { 0 };
        std::uint32_t frozenReport { 0 };
        std::uint64_t viewVersion { 0 };
        bool alive { true };
        bool draining { false };
    };

    struct EntryNode {
        std::uint32_t dataCentre { 0 };
        Endpoint endpoint;
        std::unique_ptr<EntryPipeline> pipeline;
        ServiceView view;
        std::uint64_t viewVersion { 0 };
        bool alive { true };
        bool listed { true }; // the fabric uses it
        bool stale { false };
    };

    struct Event {
        enum Kind : std::uint8_t {
            Tick,
            Second,
            Reports,
            Feeds,
            Arrival,
            UploadArrival,
            MeasureStart,
            IncidentStep,
            AtEntry,
            AtTarget,
            Notice,
            Established,
            Answered,
            ServiceEnd,
            SynRetry,
            Retry,
            FeedPacket,
            UploadPacket,
            ViewToTarget,
            ViewToEntry,
            TargetGone
        };
        Micros time { 0 };
        std::uint64_t order { 0 };
        Kind kind { Tick };
        std::uint32_t first { 0 };
        std::uint32_t second { 0 };
        std::uint32_t third { 0 };
        bool operator<(Event const& other) const noexcept { return time != other.time ? time > other.time : order > other.order; }
    };

    [[nodiscard]] static Micros measureStart() noexcept { return trafficStart + warmUp; }
    [[nodiscard]] Micros end() const noexcept { return measureStart() + run_.length; }
    [[nodiscard]] static TimePoint at(Micros time) noexcept { return TimePoint {} + std::chrono::microseconds(time); }
    [[nodiscard]] TimePoint nowPoint() const noexcept { return at(now_); }
    [[nodiscard]] std::uint32_t wallSeconds() const noexcept { return static_cast<std::uint32_t>(now_ / second); }
    [[nodiscard]] bool isProduct() const noexcept { return run_.policy == Policy::Product; }
    [[nodiscard]] bool isMeasuring() const noexcept { return now_ >= measureStart() && now_ < end(); }

    void schedule(Micros time, Event::Kind kind, std::uint32_t first = 0, std::uint32_t second = 0, std::uint32_t third = 0)
    {
        events_.push({ time, order_++, kind, first, second, third });
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    std::uint32_t pick(std::size_t count) { return static_cast<std::uint32_t>(std::uniform_int_distribution<std::size_t>(0, count - 1)(random_)); }
    Micros exponential(double mean) { return static_cast<Micros>(-mean * std::log(1 - uniform())) + 1; }

    void handle(Event const& event)
    {
        using Handler = void (Simulation::*)(Event const&);
        static constexpr std::array<Handler, 21> handlers {
            &Simulation::onTick, &Simulation::onSecond, &Simulation::onReports, &Simulation::onFeeds, &Simulation::onArrival,
            &Simulation::onUploadArrival, &Simulation::onMeasureStart, &Simulation::onIncidentStep, &Simulation::onAtEntry,
            &Simulation::onAtTarget, &Simulation::onNotice, &Simulation::onEstablished, &Simulation::onAnswered, &Simulation::onServiceEnd,
            &Simulation::onSynRetry, &Simulation::onRetry, &Simulation::onFeedPacket, &Simulation::onUploadPacket, &Simulation::onViewToTarget,
            &Simulation::onViewToEntry, &Simulation::onTargetGone
        };
        (this->*handlers[event.kind])(event);
    }

    // Nodes and views.

    std::uint32_t addTarget(std::uint32_t dataCentre, bool cold)
    {
        std::uint32_t const index = static_cast<std::uint32_t>(targets_.size());
        Target target;
        target.dataCentre = dataCentre;
        target.joined = now_;
        target.lastChange = now_;
        target.record.name = run_.deployment.name + "-" + std::to_string(index);
        target.record.data = { 0x0A020001 + index, 6081 };
        targets_.push_back(std::move(target));
        truth_.push_back(targets_[index].record);
        if (isProduct())
            startAgent(index, cold);
        return index;
    }

    void startAgent(std::uint32_t index, bool cold)
    {
        Target& target = targets_[index];
        AgentOptions options;
        options.name = target.record.name;
        options.self = target.record.data;
        options.service = hashService(service_.name);
        options.coldStart = cold;
        options.noteEntries = 16384;
        target.agent = std::make_unique<AgentPipeline>(options, nowPoint());
        target.agent->setService(service_);
        target.agent->setDraining(target.draining);
        target.agent->setView(currentView(), nowPoint());
        target.agent->renewLease(nowPoint());
        reconcile(target);
    }

    void reconcile(Target& target)
    {
        std::vector<FlowHash> list;
        for (std::uint32_t const flow : target.open)
            list.push_back(flows_[flow].hash);
        target.agent->reconcile(list, nowPoint());
    }

    void addEntry(std::uint32_t dataCentre)
    {
        EntryNode entry;
        entry.dataCentre = dataCentre;
        entry.endpoint = { 0x0A010001 + static_cast<std::uint32_t>(entries_.size()), 6081 };
        entry.view = currentView();
        if (isProduct()) {
            EntryOptions options;
            options.self = entry.endpoint;
            options.keys = keys_;
            options.flowCacheEntries = 1U << 14U;
            entry.pipeline = std::make_unique<EntryPipeline>(options);
            Configuration configuration;
            configuration.services.push_back(service_);
            entry.pipeline->setConfiguration(configuration);
            entry.pipeline->setView(entry.view);
        }
        entries_.push_back(std::move(entry));
    }

    [[nodiscard]] ServiceView currentView() const
    {
        ServiceView view;
        view.service = service_.name;
        view.targets = truth_;
        std::sort(view.targets.begin(), view.targets.end(), [](ViewTarget const& left, ViewTarget const& right) { return left.name < right.name; });
        view.fingerprint = viewFingerprint(view.targets);
        return view;
    }

    void giveViewsAtOnce()
    {
        views_.push_back(currentView());
        for (Target& target : targets_) {
            if (isProduct())
                target.agent->setView(views_.back(), nowPoint());
        }
        for (EntryNode& entry : entries_)
            setEntryView(entry, views_.back());
    }

    static void setEntryView(EntryNode& entry, ServiceView const& view)
    {
        entry.view = view;
        if (entry.pipeline != nullptr)
            entry.pipeline->setView(view);
    }

    // A change reaches every node after up to 2 s; a stale entry learns it 20 s later.
    void spread()
    {
        views_.push_back(currentView());
        std::uint32_t const version = static_cast<std::uint32_t>(views_.size() - 1);
        for (std::uint32_t index = 0; index < targets_.size(); ++index)
            schedule(now_ + pick(2 * second), Event::ViewToTarget, index, version);
        for (std::uint32_t index = 0; index < entries_.size(); ++index)
            schedule(now_ + pick(2 * second) + (entries_[index].stale ? 20 * second : 0), Event::ViewToEntry, index, version);
    }

    void onViewToTarget(Event const& event)
    {
        Target& target = targets_[event.first];
        if (!isProduct() || !target.alive || target.viewVersion >= event.second)
            return;
        target.viewVersion = event.second;
        target.agent->setView(partitionedView(views_[event.second], target.dataCentre), nowPoint());
    }

    void onViewToEntry(Event const& event)
    {
        EntryNode& entry = entries_[event.first];
        if (!entry.alive || entry.viewVersion >= event.second)
            return;
        entry.viewVersion = event.second;
        setEntryView(entry, partitionedView(views_[event.second], entry.dataCentre));
    }

    // During a partition, each side sees the targets of the other as dead.
    [[nodiscard]] ServiceView partitionedView(ServiceView view, std::uint32_t dataCentre) const
    {
        if (!seenPartition_)
            return view;
        for (ViewTarget& record : view.targets) {
            std::uint32_t const other = targets_[targetAt(record.data)].dataCentre;
            record.dead = record.dead || (other == 0) != (dataCentre == 0);
        }
        view.fingerprint = viewFingerprint(view.targets);
        return view;
    }

    [[nodiscard]] static std::uint32_t targetAt(Endpoint endpoint) noexcept { return endpoint.address - 0x0A020001; }

    [[nodiscard]] bool isCut(std::uint32_t from, std::uint32_t to) const noexcept { return partition_ && (from == 0) != (to == 0); }

    [[nodiscard]] Micros latency(std::uint32_t from, std::uint32_t to)
    {
        return (from == to ? 50 : run_.deployment.placeLatency) + pick(50);
    }

    // Periodic work.

    void onTick(Event const&)
    {
        for (Target& target : targets_) {
            if (!target.alive || !isProduct())
                continue;
            std::array<Redirect, 64> redirects;
            std::size_t const count = target.agent->tick(nowPoint(), redirects);
            for (std::size_t index = 0; index < count; ++index) {
                Target& to = targets_[targetAt(redirects[index].to)];
                if (to.alive)
                    to.agent->acceptRedirect(redirects[index].flow, target.record.data, nowPoint());
            }
            controlBytes_ += isMeasuring() ? static_cast<double>(count * flowMessageBytes) : 0;
        }
        if (now_ < end() + drainTime)
            schedule(now_ + tickPeriod, Event::Tick);
    }

    void onSecond(Event const&)
    {
        for (std::uint32_t index = 0; index < targets_.size() && isProduct(); ++index) {
            Target& target = targets_[index];
            if (!target.alive)
                continue;
            closeEnded(target);
            target.agent->renewLease(nowPoint());
            for (int share = 0; share < 3; ++share)
                shareLoad(index);
            if ((now_ / second + index) % 10 == 0)
                reconcile(target);
        }
        if (now_ < end() + drainTime)
            schedule(now_ + secondPeriod, Event::Second);
    }

    // The kernel ends a connection whose last packets were lost.
    void closeEnded(Target& target)
    {
        std::erase_if(target.open, [this](std::uint32_t flow) { return flows_[flow].over && now_ - flows_[flow].overSince > 2 * second; });
    }

    void shareLoad(std::uint32_t index)
    {
        Target& target = targets_[index];
        std::uint32_t const peer = pick(targets_.size());
        bool const usable = peer != index && targets_[peer].alive && !target.draining && !isCut(target.dataCentre, targets_[peer].dataCentre);
        if (!usable)
            return;
        controlBytes_ += isMeasuring() ? loadShareBytes : 0;
        targets_[peer].agent->setPeerLoad(target.record.name, target.agent->busyFraction(nowPoint()), nowPoint());
    }

    void onReports(Event const&)
    {
        for (std::uint32_t index = 0; index < targets_.size(); ++index) {
            Target& target = targets_[index];
            while (target.history.size() > 1 && target.history[1].first <= now_ - reportLag)
                target.history.pop_front();
            if (target.alive && isProduct())
                target.agent->setLoadReport(reportOf(index), nowPoint());
        }
        if (now_ < end() + drainTime)
            schedule(now_ + reportPeriod, Event::Reports);
    }

    [[nodiscard]] LoadReport reportOf(std::uint32_t index) const
    {
        Target const& target = targets_[index];
        LoadReport report;
        report.busySlots = target.history.empty() ? 0 : target.history.front().second;
        report.openConnections = static_cast<std::uint32_t>(target.open.size());
        bool const lies = index == 0 && now_ >= measureStart() - warmUp / 2;
        if (lies && run_.incident == Incident::LoadZero)
            report.busySlots = 0;
        if (lies && run_.incident == Incident::LoadFull)
            report.busySlots = run_.deployment.slots;
        if (lies && run_.incident == Incident::LoadFrozen)
            report.busySlots = run_.deployment.slots - 1;
        return report;
    }

    void onMeasureStart(Event const&)
    {
        for (Target& target : targets_) {
            accountBusy(target);
            target.busyIntegral = 0;
        }
    }

    void accountBusy(Target& target)
    {
        Micros const until = std::min(now_, end());
        if (until > target.lastChange)
            target.busyIntegral += static_cast<double>(target.busy) * static_cast<double>(until - target.lastChange);
        target.lastChange = now_;
    }

    void setBusy(Target& target, std::uint32_t busy)
    {
        accountBusy(target);
        target.busy = busy;
        target.history.emplace_back(now_, busy);
        if (target.history.size() > 4096)
            target.history.pop_front();
    }

    // Incidents.

    void onIncidentStep(Event const& event)
    {
        std::uint32_t const step = event.first;
        switch (run_.incident) {
        case Incident::Drain:
            return drainTarget(1);
        case Incident::Rolling:
            return rollTarget(step);
        case Incident::EntryReplacement:
            return replaceEntry(step);
        case Incident::AgentRestart:
            return restartAgent(step);
        case Incident::TargetCrash:
            return crashTarget(1);
        case Incident::EntryCrash:
            return crashEntry();
        case Incident::StaleEntry:
            return staleEntry();
        case Incident::Partition:
            return partitionStep(step);
        case Incident::ColdStart:
            return joinCold();
        default:
            return;
        }
    }

    ViewTarget& recordOf(std::uint32_t index)
    {
        return *std::find_if(truth_.begin(), truth_.end(), [this, index](ViewTarget const& record) { return record.name == targets_[index].record.name; });
    }

    void drainTarget(std::uint32_t index)
    {
        Target& target = targets_[index];
        target.draining = true;
        recordOf(index).draining = true;
        if (isProduct())
            target.agent->setDraining(true);
        spread();
        schedule(now_ + second, Event::TargetGone, index);
    }

    // A drained target leaves when its flows have ended; its feeds stay for the whole run.
    void onTargetGone(Event const& event)
    {
        Target& target = targets_[event.first];
        if (!target.open.empty()) {
            if (now_ < end())
                schedule(now_ + second, Event::TargetGone, event.first);
            return;
        }
        accountBusy(target);
        target.alive = false;
        target.left = now_;
        std::erase_if(truth_, [&target](ViewTarget const& record) { return record.name == target.record.name; });
        spread();
    }

    void rollTarget(std::uint32_t step)
    {
        if (step >= run_.deployment.targets)
            return;
        addTarget(targets_[step].dataCentre, true);
        drainTarget(step);
        schedule(now_ + 6 * second, Event::IncidentStep, step + 1);
    }

    void replaceEntry(std::uint32_t step)
    {
        if (step >= run_.deployment.entries)
            return;
        addEntry(entries_[step].dataCentre);
        entries_.back().viewVersion = views_.size() - 1;
        entries_[step].listed = false; // It still forwards what has arrived.
        schedule(now_ + 6 * second, Event::IncidentStep, step + 1);
    }

    void restartAgent(std::uint32_t step)
    {
        if (step >= run_.deployment.targets || !isProduct())
            return;
        startAgent(step, false);
        targets_[step].viewVersion = views_.size() - 1;
        schedule(now_ + 6 * second, Event::IncidentStep, step + 1);
    }

    void crashTarget(std::uint32_t index)
    {
        Target& target = targets_[index];
        setBusy(target, 0);
        target.alive = false;
        target.left = now_;
        target.queue.clear();
        for (std::uint32_t const flow : target.open)
            breakFlow(flows_[flow], true);
        target.open.clear();
        recordOf(index).dead = true;
        now_ += deadAfter;
        spread();
        now_ -= deadAfter;
    }

    void crashEntry()
    {
        entries_[1].alive = false;
        schedule(now_ + deadAfter, Event::IncidentStep, 1);
        run_.incident = Incident::None;
        entryGoneAt_ = now_ + second; // The fabric stops using it.
    }

    void staleEntry()
    {
        entries_[0].stale = true;
        addTarget(0, true);
        drainTarget(1);
    }

    void partitionStep(std::uint32_t step)
    {
        if (step > 3)
            return;
        partition_ = step < 2;
        seenPartition_ = step == 1 || step == 2;
        constexpr std::array<Micros, 4> waits { deadAfter, 14 * second, 2 * second, second };
        if (step == 1 || step == 3)
            spread();
        schedule(now_ + waits[step], Event::IncidentStep, step + 1);
    }

    void joinCold()
    {
        std::uint32_t const index = addTarget(0, true);
        targets_[index].slowUntil = now_ + 20 * second;
        spread();
    }

    // Callers.

    [[nodiscard]] double capacityPerMicro() const noexcept { return static_cast<double>(run_.deployment.targets) * run_.deployment.slots; }

    std::uint32_t newFlow(FlowKind kind, Micros work)
    {
        std::uint32_t const index = static_cast<std::uint32_t>(flows_.size());
        CallerFlow flow;
        flow.kind = kind;
        flow.key.destination = serviceAddress;
        flow.key.source = { 0xC0A80000 + index / 50000, static_cast<std::uint16_t>(1024 + index % 50000) };
        flow.hash = hashFlow(flow.key);
        flow.firstSyn = now_;
        flow.work = work;
        flow.measured = isMeasuring();
        flows_.push_back(flow);
        result_.flows += flow.measured || kind == FlowKind::Feed ? 1 : 0;
        result_.requests += flow.measured && kind == FlowKind::Request ? 1 : 0;
        offered_ += flow.measured ? static_cast<double>(work) : 0;
        sendSyn(index, 0);
        return index;
    }

    void onArrival(Event const&)
    {
        if (now_ >= end())
            return;
        double const rate = capacityPerMicro() * run_.loadPercent / 100 * (1 - run_.deployment.uploadShare) / static_cast<double>(run_.deployment.meanService);
        newFlow(FlowKind::Request, exponential(static_cast<double>(run_.deployment.meanService)));
        schedule(now_ + exponential(1 / rate), Event::Arrival);
    }

    void onUploadArrival(Event const&)
    {
        if (now_ >= end())
            return;
        double const mean = 1.0 * second;
        double const rate = capacityPerMicro() * run_.loadPercent / 100 * run_.deployment.uploadShare / mean;
        newFlow(FlowKind::Upload, exponential(mean));
        schedule(now_ + exponential(1 / rate), Event::UploadArrival);
    }

    void onFeeds(Event const& event)
    {
        std::uint32_t const count = run_.deployment.targets * run_.deployment.feedsPerTarget;
        if (event.first >= count)
            return;
        newFlow(FlowKind::Feed, 0);
        schedule(now_ + 9 * second / count, Event::Feeds, event.first + 1);
    }

    void sendSyn(std::uint32_t flow, std::uint32_t attempt)
    {
        send(flow, PacketKind::Syn, 0);
        if (run_.incident == Incident::Duplicates && uniform() < 0.2)
            send(flow, PacketKind::Syn, 0);
        if (attempt < 5)
            schedule(now_ + (second << attempt), Event::SynRetry, flow, attempt + 1);
    }

    void onSynRetry(Event const& event)
    {
        CallerFlow const& flow = flows_[event.first];
        if (!flow.established && !flow.over)
            sendSyn(event.first, event.second);
    }

    // A reliable packet is sent again until its target has received it.
    void sendReliable(std::uint32_t index, PacketKind kind)
    {
        CallerFlow& flow = flows_[index];
        ++flow.pendingSequence;
        flow.pending = true;
        send(index, kind, flow.pendingSequence);
        schedule(now_ + 300 * millisecond, Event::Retry, index, flow.pendingSequence, 1U | (static_cast<std::uint32_t>(kind) << 8U));
    }

    void onRetry(Event const& event)
    {
        CallerFlow& flow = flows_[event.first];
        if (flow.over || !flow.pending || flow.pendingSequence != event.second)
            return;
        std::uint32_t const attempt = event.third & 0xFFU;
        if (attempt > 7)
            return breakFlow(flow, false);
        send(event.first, static_cast<PacketKind>(event.third >> 8U), event.second);
        schedule(now_ + (300 * millisecond << attempt), Event::Retry, event.first, event.second, event.third + 1);
    }

    void breakFlow(CallerFlow& flow, bool crashed)
    {
        if (flow.over)
            return;
        flow.over = true;
        flow.overSince = now_;
        flow.broken = true;
        ++result_.broken;
        result_.brokenElsewhere += crashed ? 0 : 1;
    }

    void send(std::uint32_t flow, PacketKind kind, std::uint32_t sequence)
    {
        std::uint32_t const index = storePacket({ {}, flow, sequence, kind, tcpSequence(flow, kind) });
        schedule(now_ + run_.deployment.clientLatency + pick(100), Event::AtEntry, pickEntry(), index);
        packets_ += isMeasuring() ? 1 : 0;
    }

    // Data that is sent again gets new bytes here; only the order of sequence numbers matters.
    std::uint32_t tcpSequence(std::uint32_t flow, PacketKind kind)
    {
        std::uint32_t const sequence = kind == PacketKind::Syn ? 1 : flows_[flow].nextByte;
        flows_[flow].nextByte += kind == PacketKind::Data ? 16 : 0;
        return sequence;
    }

    std::uint32_t pickEntry()
    {
        for (;;) {
            std::uint32_t const index = pick(entries_.size());
            bool const gone = !entries_[index].alive && now_ >= entryGoneAt_;
            if (entries_[index].listed && !gone)
                return index;
        }
    }

    std::uint32_t storePacket(Packet const& packet)
    {
        if (free_.empty()) {
            inFlight_.push_back(packet);
            return static_cast<std::uint32_t>(inFlight_.size() - 1);
        }
        std::uint32_t const index = free_.back();
        free_.pop_back();
        inFlight_[index] = packet;
        return index;
    }

    Packet takePacket(std::uint32_t index)
    {
        free_.push_back(index);
        return inFlight_[index];
    }

    // Packet path.

    void onAtEntry(Event const& event)
    {
        Packet packet = takePacket(event.second);
        EntryNode& entry = entries_[event.first];
        if (!entry.alive)
            return;
        std::int32_t const to = isProduct() ? selectByPipeline(entry, packet) : selectByPolicy(entry, packet);
        if (to >= 0)
            sendToTarget(entry.dataCentre, static_cast<std::uint32_t>(to), packet);
    }

    void sendToTarget(std::uint32_t fromDataCentre, std::uint32_t to, Packet const& packet)
    {
        if (isCut(fromDataCentre, targets_[to].dataCentre))
            return;
        schedule(now_ + latency(fromDataCentre, targets_[to].dataCentre), Event::AtTarget, to, storePacket(packet));
    }

    std::int32_t selectByPipeline(EntryNode& entry, Packet& packet)
    {
        FabricDatagram const datagram(flows_[packet.flow].key, packet.kind, 1);
        EntryDecision const decision = entry.pipeline->decide(datagram.span(), nowPoint(), wallSeconds());
        if (decision.outcome != EntryOutcome::Forward)
            return -1;
        std::array<std::byte, 256> bytes;
        std::span<std::byte const> const header = entry.pipeline->headerBuffer();
        auto const inner = std::copy(header.begin(), header.end(), bytes.begin());
        std::copy(decision.inner.begin(), decision.inner.end(), inner);
        packet.route = decodeRouted({ bytes.data(), header.size() + decision.inner.size() }, keys_, wallSeconds()).route;
        return static_cast<std::int32_t>(targetAt(decision.to));
    }

    std::int32_t selectByPolicy(EntryNode const& entry, Packet const& packet)
    {
        if (run_.policy == Policy::Omniscient)
            return selectLeastLoaded(packet);
        usable_.clear();
        for (ViewTarget const& record : entry.view.targets) {
            if (!record.dead && !record.draining)
                usable_.push_back(targetAt(record.data));
        }
        CallerFlow const& flow = flows_[packet.flow];
        if (run_.policy == Policy::Chain && packet.kind != PacketKind::Syn)
            return selectOwner(entry, flow);
        if (usable_.empty())
            return -1;
        if (run_.policy == Policy::Modulo)
            return static_cast<std::int32_t>(usable_[static_cast<std::uint64_t>(flow.hash) % usable_.size()]);
        return bestRanked(flow);
    }

    [[nodiscard]] double scoreOf(CallerFlow const& flow, std::uint32_t target) const
    {
        return rendezvousScore(mixHash(target, 0), static_cast<std::uint64_t>(flow.hash), 100);
    }

    [[nodiscard]] std::int32_t bestRanked(CallerFlow const& flow) const
    {
        auto const best = std::max_element(usable_.begin(), usable_.end(), [&](std::uint32_t left, std::uint32_t right) { return scoreOf(flow, left) < scoreOf(flow, right); });
        return static_cast<std::int32_t>(*best);
    }

    std::int32_t selectOwner(EntryNode const& entry, CallerFlow const& flow)
    {
        if (flow.owner < 0 || !targets_[static_cast<std::size_t>(flow.owner)].alive)
            return -1;
        double const own = scoreOf(flow, static_cast<std::uint32_t>(flow.owner));
        for (ViewTarget const& record : entry.view.targets)
            passes_ += isMeasuring() && !record.dead && scoreOf(flow, targetAt(record.data)) > own ? 1 : 0;
        return flow.owner;
    }

    std::int32_t selectLeastLoaded(Packet const& packet)
    {
        CallerFlow& flow = flows_[packet.flow];
        if (flow.owner >= 0 && targets_[static_cast<std::size_t>(flow.owner)].alive)
            return flow.owner;
        if (packet.kind != PacketKind::Syn)
            return -1;
        std::int32_t best = -1;
        std::uint32_t ties = 0;
        for (std::uint32_t index = 0; index < targets_.size(); ++index) {
            Target const& target = targets_[index];
            if (!target.alive || target.draining)
                continue;
            std::uint32_t const least = best < 0 ? UINT32_MAX : targets_[static_cast<std::size_t>(best)].assigned;
            ties = target.assigned == least ? ties + 1 : ties;
            if (target.assigned < least || (target.assigned == least && pick(ties) == 0)) {
                ties = target.assigned < least ? 1 : ties;
                best = static_cast<std::int32_t>(index);
            }
        }
        if (best < 0)
            return -1;
        Target& chosen = targets_[static_cast<std::size_t>(best)];
        if (flow.kind != FlowKind::Feed && chosen.assigned >= run_.deployment.slots * (1 + run_.deployment.queuePerSlot)) {
            refuse(packet.flow);
            return -1;
        }
        flow.owner = best;
        chosen.assigned += flow.kind == FlowKind::Feed ? 0 : 1;
        return best;
    }

    void onAtTarget(Event const& event)
    {
        Packet packet = takePacket(event.second);
        Target& target = targets_[event.first];
        if (!target.alive)
            return;
        if (!isProduct())
            return deliver(event.first, packet);
        CallerFlow const& flow = flows_[packet.flow];
        InnerPacket inner;
        inner.key = flow.key;
        inner.flow = flow.hash;
        inner.syn = packet.kind == PacketKind::Syn;
        inner.fin = packet.kind == PacketKind::Finish;
        inner.sequence = packet.tcpSequence;
        inner.payloadBytes = packet.kind == PacketKind::Data ? 16 : 0;
        AgentDecision const decision = target.agent->decide(packet.route, inner, nowPoint());
        if (decision.notice.has_value()) {
            controlBytes_ += isMeasuring() ? flowMessageBytes : 0;
            schedule(now_ + run_.deployment.placeLatency, Event::Notice, decision.notice->entry.address - 0x0A010001, packet.flow, event.first);
        }
        if (decision.action == AgentAction::Deliver)
            return deliver(event.first, packet);
        if (decision.action == AgentAction::Refuse)
            return refuse(packet.flow);
        if (decision.action == AgentAction::Pass) {
            passes_ += isMeasuring() ? 1 : 0;
            packet.route = decision.route;
            sendToTarget(target.dataCentre, targetAt(decision.to), packet);
        }
    }

    void onNotice(Event const& event)
    {
        EntryNode& entry = entries_[event.first];
        if (entry.alive)
            entry.pipeline->learnOwner(flows_[event.second].hash, targets_[event.third].record.data, nowPoint());
    }

    void refuse(std::uint32_t index)
    {
        CallerFlow& flow = flows_[index];
        bool const opened = (flow.owner >= 0 && isProduct() && targets_[static_cast<std::size_t>(flow.owner)].alive) || flow.established;
        result_.falselyNotRun += opened ? 1 : 0;
        if (flow.over)
            return;
        flow.over = true;
        flow.overSince = now_;
        flow.refused = true;
        result_.refused += flow.measured ? 1 : 0;
    }

    // Targets.

    [[nodiscard]] static bool isOpenAt(CallerFlow const& flow, std::uint32_t index) noexcept
    {
        return flow.owner == static_cast<std::int32_t>(index) || flow.second == static_cast<std::int32_t>(index);
    }

    void deliver(std::uint32_t index, Packet const& packet)
    {
        CallerFlow& flow = flows_[packet.flow];
        Target& target = targets_[index];
        if (packet.kind == PacketKind::Syn)
            return openFlow(index, packet.flow);
        if (flow.over)
            return closeFlow(target, packet);
        if (!isOpenAt(flow, index)) {
            ++result_.misrouted;
            return breakFlow(flow, false); // The target answers with a reset.
        }
        flow.pending = flow.pending && flow.pendingSequence != packet.sequence;
        bool const works = packet.kind == PacketKind::Data && flow.kind != FlowKind::Feed;
        if (works && !flow.inService && !flow.waiting)
            enqueue(index, packet.flow);
    }

    void closeFlow(Target& target, Packet const& packet)
    {
        if (packet.kind != PacketKind::Finish)
            return;
        auto const place = std::find(target.open.begin(), target.open.end(), packet.flow);
        if (place == target.open.end())
            return;
        *place = target.open.back();
        target.open.pop_back();
    }

    void openFlow(std::uint32_t index, std::uint32_t flowIndex)
    {
        CallerFlow& flow = flows_[flowIndex];
        Target& target = targets_[index];
        if (flow.over)
            return;
        bool const known = std::find(target.open.begin(), target.open.end(), flowIndex) != target.open.end();
        if (!known) {
            if (target.queue.size() >= shedQueue)
                return refuse(flowIndex);
            target.open.push_back(flowIndex);
            bool const another = flow.owner >= 0 && flow.owner != static_cast<std::int32_t>(index) && targets_[static_cast<std::size_t>(flow.owner)].alive;
            result_.runTwice += another ? 1 : 0;
            (another ? flow.second : flow.owner) = static_cast<std::int32_t>(index);
        }
        schedule(now_ + run_.deployment.clientLatency, Event::Established, flowIndex);
    }

    void onEstablished(Event const& event)
    {
        CallerFlow& flow = flows_[event.first];
        if (flow.established || flow.over)
            return;
        flow.established = true;
        send(event.first, PacketKind::Acknowledgement, 0);
        sendReliable(event.first, PacketKind::Data);
        if (flow.kind == FlowKind::Feed)
            schedule(now_ + 50 * millisecond + pick(second), Event::FeedPacket, event.first);
        if (flow.kind == FlowKind::Upload)
            schedule(now_ + 50 * millisecond, Event::UploadPacket, event.first);
    }

    // The caller acknowledges what the feed sent.
    void onFeedPacket(Event const& event)
    {
        if (flows_[event.first].over || now_ >= end())
            return;
        if (!flows_[event.first].pending)
            sendReliable(event.first, PacketKind::Acknowledgement);
        schedule(now_ + second, Event::FeedPacket, event.first);
    }

    void onUploadPacket(Event const& event)
    {
        CallerFlow const& flow = flows_[event.first];
        if (flow.over)
            return;
        if (!flow.pending)
            sendReliable(event.first, PacketKind::Data);
        schedule(now_ + 50 * millisecond, Event::UploadPacket, event.first);
    }

    void enqueue(std::uint32_t index, std::uint32_t flowIndex)
    {
        Target& target = targets_[index];
        if (target.busy < run_.deployment.slots)
            return serve(index, flowIndex);
        flows_[flowIndex].waiting = true;
        target.queue.push_back(flowIndex);
    }

    void serve(std::uint32_t index, std::uint32_t flowIndex)
    {
        CallerFlow& flow = flows_[flowIndex];
        Target& target = targets_[index];
        flow.waiting = false;
        flow.inService = true;
        setBusy(target, target.busy + 1);
        if (flow.measured)
            waits_.push_back(static_cast<float>(now_ - flow.firstSyn) / millisecond);
        Micros const time = flow.work * (now_ < target.slowUntil ? 3 : 1);
        schedule(now_ + time, Event::ServiceEnd, flowIndex, index);
    }

    void onServiceEnd(Event const& event)
    {
        Target& target = targets_[event.second];
        CallerFlow& flow = flows_[event.first];
        if (!target.alive)
            return;
        setBusy(target, target.busy - 1);
        target.assigned -= run_.policy == Policy::Omniscient ? 1 : 0;
        if (isMeasuring())
            completed_ += static_cast<double>(flow.work);
        schedule(now_ + run_.deployment.clientLatency, Event::Answered, event.first);
        if (!target.queue.empty()) {
            std::uint32_t const next = target.queue.front();
            target.queue.pop_front();
            serve(event.second, next);
        }
    }

    void onAnswered(Event const& event)
    {
        CallerFlow& flow = flows_[event.first];
        if (flow.over)
            return;
        flow.over = true;
        flow.overSince = now_;
        send(event.first, PacketKind::Acknowledgement, 0);
        send(event.first, PacketKind::Finish, 0);
    }

    // Results.

    Result summarise()
    {
        double sum = 0;
        double highest = 0;
        std::size_t counted = 0;
        for (Target& target : targets_) {
            Micros const from = std::max(target.joined, measureStart());
            Micros const until = target.left >= 0 ? std::min(target.left, end()) : end();
            // A target that drains or warms up does not take its share on purpose.
            bool const comparable = until - from > run_.length / 2 && !target.draining;
            if (!comparable)
                continue;
            accountBusy(target);
            double const average = target.busyIntegral / static_cast<double>(until - from);
            sum += average;
            highest = std::max(highest, average);
            ++counted;
        }
        result_.imbalance = sum > 0 ? highest / (sum / static_cast<double>(counted)) : 0;
        result_.extraHops = packets_ > 0 ? static_cast<double>(passes_) / static_cast<double>(packets_) : 0;
        double const capacity = capacityPerMicro() * static_cast<double>(run_.length);
        result_.completedShare = completed_ / std::min(capacity, offered_);
        double const nodes = static_cast<double>(targets_.size() + entries_.size());
        result_.controlBytes = controlBytes_ / (static_cast<double>(run_.length) / second) / nodes;
        if (!waits_.empty()) {
            auto const place = waits_.begin() + static_cast<std::ptrdiff_t>(waits_.size() * 99 / 100);
            std::nth_element(waits_.begin(), place, waits_.end());
            result_.waitMilliseconds = *place;
        }
        return result_;
    }

    Run run_;
    std::mt19937_64 random_;
    Micros now_ { 0 };
    std::uint64_t order_ { 0 };
    Service service_;
    KeyRing keys_;
    std::priority_queue<Event> events_;
    std::vector<Target> targets_;
    std::vector<EntryNode> entries_;
    std::vector<ViewTarget> truth_;
    std::vector<ServiceView> views_;
    std::vector<CallerFlow> flows_;
    std::vector<Packet> inFlight_;
    std::vector<std::uint32_t> free_;
    std::vector<std::uint32_t> usable_;
    std::vector<float> waits_;
    Result result_;
    std::uint64_t packets_ { 0 };
    std::uint64_t passes_ { 0 };
    double offered_ { 0 };
    double completed_ { 0 };
    double controlBytes_ { 0 };
    Micros entryGoneAt_ { INT64_MAX };
    bool partition_ { false };
    bool seenPartition_ { false };
};

} // namespace plantaindrift::measure
