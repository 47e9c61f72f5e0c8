#include "plantaindrift/runtime/Daemon.h"

#include "plantaindrift/agent/AgentPipeline.h"
#include "plantaindrift/base/Error.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/membership/AgentControl.h"
#include "plantaindrift/packet/FlowMessage.h"
#include "plantaindrift/packet/InnerPacket.h"
#include "plantaindrift/packet/Refusal.h"
#include "runtime/DaemonCore.h"
#include "runtime/PlatformThread.h"
#include "runtime/TargetMonitor.h"

#include <algorithm>
#include <array>
#include <optional>

namespace plantaindrift {

namespace {

    constexpr std::size_t redirectsPerTick = 64;
    constexpr std::size_t reasonCount = 9;
    constexpr std::size_t datagramErrorCount = 7;
    constexpr std::array<char const*, datagramErrorCount> datagramErrorNames { "none", "truncated", "not_geneve", "missing_route", "bad_route", "unauthenticated", "stale" };
    constexpr std::chrono::seconds defaultSlowStart { 30 };
    constexpr std::chrono::seconds defaultDrainDeadline { std::chrono::hours { 24 } };
    // Spreads the first announcements: 9,000 agents that start at the same time write fewer than 100 a
    // second.
    constexpr std::chrono::milliseconds maximumAnnouncementDelay { 90000 };
    constexpr std::chrono::milliseconds announcementFlushTimeout { 1000 };
    constexpr std::chrono::milliseconds firstReportTimeout { 1000 };
    constexpr std::chrono::milliseconds drainPollInterval { 500 };
    // Entries that have not yet received the leave still send first packets here; the agent forwards them for this long.
    constexpr std::chrono::seconds leaveDelay { 2 };

    Member agentMember(AgentSettings const& settings)
    {
        Member self;
        self.role = MemberRole::Agent;
        self.name = settings.common.name;
        self.dataCentre = settings.common.dataCentre;
        self.service = settings.service;
        self.incarnation = firstIncarnation();
        self.data = settings.common.data;
        self.control = settings.common.control;
        self.weight = static_cast<std::uint16_t>(settings.weight);
        self.slots = static_cast<std::uint16_t>(settings.slots);
        self.connections = settings.connections;
        return self;
    }

    AgentControlOptions controlOptions(AgentSettings const& settings, Member const& self)
    {
        AgentControlOptions options;
        options.self = self;
        options.entries = settings.entries;
        options.randomSeed = mixHash(hashText(self.name), self.incarnation);
        return options;
    }

    // A target that has run for longer than its slow start is warm even if its agent has just started.
    bool isColdStart(AgentSettings const& settings)
    {
        if (settings.loadUrl.empty())
            return true;
        absl::StatusOr<TargetReport> const report = readTargetReport(settings.loadUrl, firstReportTimeout);
        return !report.ok() || !report->uptime || *report->uptime < defaultSlowStart;
    }

    AgentOptions pipelineOptions(AgentSettings const& settings)
    {
        AgentOptions options;
        options.name = settings.common.name;
        options.dataCentre = settings.common.dataCentre;
        options.self = settings.common.data;
        options.service = hashService(settings.service);
        options.coldStart = isColdStart(settings);
        return options;
    }

    std::unique_ptr<FlowSource> makeFlowSource(AgentSettings const& settings)
    {
        if (settings.flows == FlowSourceKind::Kernel)
            return makeKernelFlowSource("/proc/net/tcp");
        return makeHttpFlowSource(settings.flowsUrl, firstReportTimeout);
    }

    class AgentDaemon final : public PacketFilter {
    public:
        AgentDaemon(AgentSettings const& settings, FleetKeys const& keys)
            : settings_(settings)
            , self_(agentMember(settings))
            , keys_(makeKeyRing(keys))
            , pipeline_(pipelineOptions(settings), std::chrono::steady_clock::now())
            , control_(controlOptions(settings, self_))
            , core_(settings.common, keys, handlers())
            , monitor_(core_.loop(), monitorOptions(settings), makeFlowSource(settings), monitorHandlers())
        {
            plainHeaderBytes_ = writePlainHeader(plainHeader_);
        }

        absl::Status run()
        {
            if (!settings_.common.platformUrl.empty()) {
                announcer_.emplace(core_.loop(), openPlatform(settings_.common), self_, settings_.common.platformPollInterval, mixHash(hashText(self_.name), self_.incarnation), [this](bool requested) { applyDrainRequest(requested); });
                announcer_->announce(self_, maximumAnnouncementDelay);
            }
            monitor_.start();
            return core_.run();
        }

        [[nodiscard]] PacketVerdict decide(std::span<std::byte const> datagram, Endpoint, PacketTime const& time) noexcept override
        {
            if (isFlowMessage(datagram)) {
                handleFlowMessage(datagram, time);
                return {};
            }
            DecodedDatagram const decoded = decodeRouted(datagram, keys_, time.nowSeconds);
            ++datagramErrors_[static_cast<std::size_t>(decoded.error)];
            if (decoded.error != DatagramError::None)
                return {};
            ParsedPacket const parsed = parseInnerPacket(decoded.inner);
            if (parsed.error != PacketError::None) {
                ++malformedPackets_;
                return {};
            }
            AgentDecision const decision = pipeline_.decide(decoded.route, parsed.packet, time.now);
            if (decision.notice)
                sendFlowMessage(FlowMessageKind::OwnerNotice, decision.notice->entry, decision.notice->flow, time.nowSeconds);
            return makeVerdict(decision, decoded.inner);
        }

    private:
        AgentSettings settings_;
        Member self_;
        KeyRing keys_;
        AgentPipeline pipeline_;
        AgentControl control_;
        DaemonCore core_;
        TargetMonitor monitor_;
        std::optional<PlatformAnnouncer> announcer_;
        std::array<std::byte, maximumHeaderBytes> plainHeader_ {};
        std::size_t plainHeaderBytes_ { 0 };
        std::array<std::byte, maximumHeaderBytes> routedHeader_ {};
        std::array<std::byte, maximumRefusalBytes> refusal_ {};
        std::array<Redirect, redirectsPerTick> redirects_ {};
        std::array<std::uint64_t, datagramErrorCount> datagramErrors_ {};
        std::uint64_t malformedPackets_ { 0 };
        std::uint64_t refusedMessages_ { 0 };
        std::optional<Service> service_;
        std::uint32_t fingerprint_ { 0 };
        LoadReport loadReport_;
        bool recovered_ { false };
        bool wasReady_ { false };
        bool drainRequested_ { false };
        std::optional<TimePoint> drainStart_;
        std::optional<TimePoint> leaveDeadline_;
        std::optional<TimePoint> flowListRequested_;
        std::size_t listedFlows_ { 0 };
        absl::Status drainResult_;

        DaemonCore::Handlers handlers()
        {
            DaemonCore::Handlers handlers;
            handlers.packets = this;
            handlers.control = [this](Endpoint from, std::span<std::byte const> bytes) { receiveControl(from, bytes); };
            handlers.tick = [this](TimePoint now) { tick(now); };
            handlers.keys = [this](KeyRing const& keys) { keys_ = keys; };
            handlers.readSeeds = makeSeedReader<AgentSettings>([file = settings_.common.file] { return readAgentSettings(file); }, &AgentSettings::entries);
            handlers.seeds = [this](std::vector<Endpoint> const& seeds, TimePoint now) { control_.setSeeds(seeds, now); };
            handlers.ready = [this] { return isReady(); };
            handlers.metrics = [this](MetricsPage& page) { addMetrics(page); };
            handlers.stop = [this] { beginStop(); };
            return handlers;
        }

        static TargetMonitor::Options monitorOptions(AgentSettings const& settings)
        {
            TargetMonitor::Options options;
            options.loadUrl = settings.loadUrl;
            options.loadInterval = settings.loadInterval;
            options.flowsInterval = settings.flowsInterval;
            return options;
        }

        TargetMonitor::Handlers monitorHandlers()
        {
            TargetMonitor::Handlers handlers;
            handlers.load = [this](LoadReport const& load) {
                loadReport_ = load;
                pipeline_.setLoadReport(load, std::chrono::steady_clock::now());
            };
            handlers.flows = [this](std::vector<FlowKey> const& flows, TimePoint requestStart) { reconcile(flows, requestStart); };
            return handlers;
        }

        PacketVerdict makeVerdict(AgentDecision const& decision, std::span<std::byte const> inner) noexcept
        {
            if (decision.action == AgentAction::Deliver)
                return { settings_.deliveryEndpoint, std::span<std::byte const>(plainHeader_).first(plainHeaderBytes_), inner };
            if (decision.action == AgentAction::Pass) {
                std::size_t const bytes = writeRoutedHeader(decision.route, inner, keys_, routedHeader_);
                return { decision.to, std::span<std::byte const>(routedHeader_).first(bytes), inner };
            }
            if (decision.action == AgentAction::Refuse) {
                std::size_t const bytes = writeRefusal(inner, refusal_);
                if (bytes > 0)
                    return { settings_.refusalEndpoint, std::span<std::byte const>(plainHeader_).first(plainHeaderBytes_), std::span<std::byte const>(refusal_).first(bytes) };
            }
            return {};
        }

        void sendFlowMessage(FlowMessageKind kind, Endpoint to, FlowHash flow, std::uint32_t nowSeconds) noexcept
        {
            FlowMessage message;
            message.kind = kind;
            message.flow = flow;
            message.owner = settings_.common.data;
            message.sentSeconds = nowSeconds;
            std::array<std::byte, flowMessageBytes> const bytes = encodeFlowMessage(message, keys_);
            core_.sendData(to, bytes);
        }

        void handleFlowMessage(std::span<std::byte const> datagram, PacketTime const& time) noexcept
        {
            DecodedFlowMessage const decoded = decodeFlowMessage(datagram, keys_, time.nowSeconds);
            if (decoded.error != DatagramError::None || decoded.message.kind != FlowMessageKind::Redirect) {
                ++refusedMessages_;
                return;
            }
            pipeline_.acceptRedirect(decoded.message.flow, decoded.message.owner, time.now);
        }

        void receiveControl(Endpoint from, std::span<std::byte const> bytes)
        {
            TimePoint const now = std::chrono::steady_clock::now();
            control_.receive(from, bytes, now);
            applyControl(now);
        }

        void tick(TimePoint now)
        {
            std::size_t const count = pipeline_.tick(now, redirects_);
            std::uint32_t const nowSeconds = wallClockSeconds();
            for (std::size_t index = 0; index < count; ++index)
                sendFlowMessage(FlowMessageKind::Redirect, redirects_[index].to, redirects_[index].flow, nowSeconds);
            control_.tick(now, pipeline_.busyFraction(now));
            applyControl(now);
            logReadinessChange();
            checkDrain(now);
        }

        void applyControl(TimePoint now)
        {
            std::optional<Service> const service = control_.takeChangedService();
            if (service)
                applyService(*service);
            std::optional<ServiceView> const view = control_.takeChangedView();
            if (view)
                applyView(*view, now);
            for (AgentControl::PeerLoad const& load : control_.takePeerLoads())
                pipeline_.setPeerLoad(load.peer, load.busyFraction, now);
            std::optional<TimePoint> const reply = control_.lastReply();
            if (reply)
                pipeline_.renewLease(*reply);
            core_.sendControl(control_.takeMessages());
        }

        void applyService(Service const& service)
        {
            service_ = service;
            pipeline_.setService(service);
            logEvent(LogLevel::Info, "service_changed", { { "service", service.name }, { "slots", service.limits.slots }, { "connections", service.limits.connections } });
        }

        void applyView(ServiceView const& view, TimePoint now)
        {
            fingerprint_ = view.fingerprint;
            pipeline_.setView(view, now);
            logEvent(LogLevel::Info, "view_changed", { { "service", view.service }, { "targets", view.targets.size() }, { "fingerprint", view.fingerprint } });
        }

        [[nodiscard]] bool belongsToService(FlowKey const& flow) const
        {
            if (!service_ || !control_.knowsAddresses())
                return true;
            return std::any_of(service_->addresses.begin(), service_->addresses.end(), [&flow](ServiceAddress const& address) { return address.endpoint == flow.destination && address.protocol == flow.protocol; });
        }

        void reconcile(std::vector<FlowKey> const& flows, TimePoint requestStart)
        {
            std::vector<FlowHash> hashes;
            for (FlowKey const& flow : flows) {
                if (belongsToService(flow))
                    hashes.push_back(hashFlow(flow));
            }
            pipeline_.reconcile(hashes, requestStart);
            flowListRequested_ = requestStart;
            listedFlows_ = hashes.size();
            if (!recovered_)
                logEvent(LogLevel::Info, "recovered", { { "name", self_.name }, { "flows", hashes.size() } });
            recovered_ = true;
        }

        [[nodiscard]] bool isReady() const { return recovered_ && service_.has_value() && fingerprint_ != 0 && !core_.isStopping(); }

        void logReadinessChange()
        {
            bool const ready = isReady();
            if (ready == wasReady_)
                return;
            wasReady_ = ready;
            logEvent(LogLevel::Info, ready ? "ready" : "not_ready", { { "name", self_.name }, { "service", self_.service } });
        }

        // A drain request of an operator stops new flows only; the process runs until it is stopped.
        void applyDrainRequest(bool requested)
        {
            if (requested == drainRequested_ || core_.isStopping())
                return;
            drainRequested_ = requested;
            pipeline_.setDraining(requested);
            control_.setDraining(requested, std::chrono::steady_clock::now());
            core_.sendControl(control_.takeMessages());
            announceState(requested ? MemberState::Draining : MemberState::Active);
            logEvent(LogLevel::Info, requested ? "drain_requested" : "drain_withdrawn", { { "name", self_.name }, { "flows", pipeline_.counts().openFlows } });
        }

        void beginStop()
        {
            TimePoint const now = std::chrono::steady_clock::now();
            logReadinessChange();
            if (settings_.stopMode == StopMode::Handover) {
                logEvent(LogLevel::Info, "handover", { { "name", self_.name }, { "flows", pipeline_.counts().openFlows } });
                finish(absl::OkStatus());
                return;
            }
            pipeline_.setDraining(true);
            control_.setDraining(true, now);
            core_.sendControl(control_.takeMessages());
            announceState(MemberState::Draining);
            drainStart_ = now;
            monitor_.setFlowsInterval(drainPollInterval);
            logEvent(LogLevel::Info, "draining", { { "name", self_.name }, { "flows", pipeline_.counts().openFlows }, { "deadline_seconds", drainDeadline().count() } });
        }

        [[nodiscard]] std::chrono::seconds drainDeadline() const
        {
            if (settings_.drainDeadline.count() > 0)
                return settings_.drainDeadline;
            return service_ ? service_->drain.deadline : defaultDrainDeadline;
        }

        // A flow counts as closed from the caller's FIN on, though the target may still be sending its answer. The drain
        // therefore ends only when a list requested after its start contains no flow either.
        [[nodiscard]] bool isDrained() const
        {
            bool const listed = !flowListRequested_ || *flowListRequested_ < *drainStart_ || listedFlows_ > 0;
            return pipeline_.counts().openFlows == 0 && !listed;
        }

        void checkDrain(TimePoint now)
        {
            if (leaveDeadline_ && now >= *leaveDeadline_)
                finish(drainResult_);
            if (!drainStart_ || leaveDeadline_)
                return;
            bool const drained = isDrained();
            if (drained || now >= *drainStart_ + drainDeadline())
                leave(drained, now);
        }

        void leave(bool drained, TimePoint now)
        {
            std::size_t const open = std::max<std::size_t>(pipeline_.counts().openFlows, listedFlows_);
            if (!drained)
                drainResult_ = makeError(ErrorKind::DeadlinePassed, std::to_string(open) + " flows were open at the drain deadline; raise drain_deadline_s to let them end");
            control_.leave(now);
            core_.sendControl(control_.takeMessages());
            announceState(MemberState::Left);
            logEvent(drained ? LogLevel::Info : LogLevel::Warning, "left", { { "name", self_.name }, { "open_flows", open } });
            leaveDeadline_ = now + leaveDelay;
        }

        void announceState(MemberState state)
        {
            if (!announcer_)
                return;
            Member member = self_;
            member.state = state;
            member.draining = state == MemberState::Draining;
            announcer_->announce(member, std::chrono::milliseconds(0));
        }

        void finish(absl::Status const& status)
        {
            monitor_.requestStop();
            if (announcer_ && settings_.stopMode == StopMode::Drain)
                announcer_->flush(announcementFlushTimeout);
            core_.finish(status);
        }

        void addMetrics(MetricsPage& page) const
        {
            AgentCounts const counts = pipeline_.counts();
            MetricsPage::Labels const service { { "service", self_.service } };
            page.addGauge("plantaindrift_agent_flows", "Open flows as counted by the agent.", service, counts.openFlows);
            page.addGauge("plantaindrift_agent_notes", "Pass notes kept.", service, counts.notes);
            page.addGauge("plantaindrift_agent_busy_slots", "Busy slots as estimated by the agent.", service, counts.estimatedBusy);
            page.addGauge("plantaindrift_target_reported_busy_slots", "Busy slots as reported by the target.", service, loadReport_.busySlots);
            page.addGauge("plantaindrift_target_reported_connections", "Open connections as reported by the target.", service, loadReport_.openConnections);
            page.addGauge("plantaindrift_target_healthy", "1 if the target reports that it is healthy.", service, loadReport_.healthy ? 1 : 0);
            page.addCounter("plantaindrift_agent_delivered_packets_total", "Packets handed to the target.", service, static_cast<double>(counts.delivered));
            page.addCounter("plantaindrift_agent_admitted_flows_total", "Flows admitted.", service, static_cast<double>(counts.admitted));
            page.addCounter("plantaindrift_agent_passed_packets_total", "Packets sent on to another agent.", service, static_cast<double>(counts.passed));
            page.addCounter("plantaindrift_agent_refused_flows_total", "First packets refused to the caller as not run.", service, static_cast<double>(counts.refused));
            addDropMetrics(page, counts);
            addControlMetrics(page);
        }

        void addDropMetrics(MetricsPage& page, AgentCounts const& counts) const
        {
            for (std::size_t reason = 1; reason < reasonCount; ++reason) {
                std::string const name(agentReasonName(static_cast<AgentReason>(reason)));
                page.addCounter("plantaindrift_agent_dropped_packets_total", "Packets dropped by reason.", { { "service", self_.service }, { "reason", name } }, static_cast<double>(counts.dropped[reason]));
            }
            for (std::size_t error = 1; error < datagramErrorCount; ++error)
                page.addCounter("plantaindrift_agent_datagrams_refused_total", "Datagrams not taken by reason.", { { "reason", datagramErrorNames[error] } }, static_cast<double>(datagramErrors_[error]));
            page.addCounter("plantaindrift_agent_malformed_packets_total", "Inner packets that cannot be parsed.", {}, static_cast<double>(malformedPackets_));
            page.addCounter("plantaindrift_flow_messages_refused_total", "Flow messages that are malformed, stale or not authenticated.", {}, static_cast<double>(refusedMessages_));
        }

        void addControlMetrics(MetricsPage& page) const
        {
            EntryControl::Counts const counts = control_.counts();
            page.addCounter("plantaindrift_control_bytes_total", "Bytes of control messages by direction.", { { "direction", "sent" } }, static_cast<double>(counts.sentBytes));
            page.addCounter("plantaindrift_control_bytes_total", "Bytes of control messages by direction.", { { "direction", "received" } }, static_cast<double>(counts.receivedBytes));
            page.addCounter("plantaindrift_control_malformed_total", "Control messages that cannot be decoded.", {}, static_cast<double>(counts.malformed));
            std::optional<TimePoint> const reply = control_.lastReply();
            if (reply) {
                std::chrono::duration<double> const age = std::chrono::steady_clock::now() - *reply;
                page.addGauge("plantaindrift_agent_lease_age_seconds", "Time since a monitor last answered a heartbeat.", {}, age.count());
            }
        }
    };

} // namespace

absl::Status runAgent(std::string const& settingsFile, bool checkOnly)
{
    return runDaemon<AgentDaemon>(readAgentSettings(settingsFile), checkOnly);
}

} // namespace plantaindrift
