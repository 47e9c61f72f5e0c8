#include "plantaindrift/runtime/RelayDaemon.h"

#include "plantaindrift/base/Hash.h"
#include "plantaindrift/membership/AgentControl.h"
#include "plantaindrift/membership/JoinDelay.h"
#include "plantaindrift/relay/AgentRelay.h"
#include "runtime/DaemonCore.h"
#include "runtime/DecisionLog.h"
#include "runtime/EvacuationLog.h"
#include "runtime/FleetStoreThread.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <optional>

namespace plantaindrift {

namespace {

    constexpr std::chrono::milliseconds idlePollInterval { 5 };

    // Entries choose targets and search for owners; agents need the member list only for searches that an entry
    // hands on.
    constexpr std::chrono::seconds listPeriod { 10 };

    Member agentMember(RelayAgentSettings const& settings)
    {
        Member self;
        self.role = MemberRole::Agent;
        self.name = settings.common.name;
        self.dataCentre = settings.common.dataCentre;
        self.service = settings.service;
        self.incarnation = firstIncarnation();
        self.data = settings.common.data;
        self.control = settings.common.control;
        return self;
    }

    AgentControlOptions controlOptions(RelayAgentSettings const& settings, Member const& self)
    {
        AgentControlOptions options;
        options.self = self;
        options.entries = settings.entries;
        options.sharesLoad = false;
        options.listPeriod = listPeriod;
        options.handlesEvacuations = settings.handlesEvacuations;
        options.randomSeed = mixHash(hashText(self.name), self.incarnation);
        return options;
    }

    AgentRelayOptions relayOptions(RelayAgentSettings const& settings, Member const& self, KeyRing const& keys)
    {
        AgentRelayOptions options;
        options.targetName = self.name;
        options.dataCentre = self.dataCentre;
        options.ownEndpoint = self.data;
        options.targetEndpoint = settings.target;
        options.serviceName = settings.service;
        options.keys = keys;
        options.callerPort = settings.common.data.port;
        return options;
    }

    absl::StatusOr<RelayAgentSettings> readSettings(RelayPlatform const& platform, std::string const& file)
    {
        absl::StatusOr<RelayAgentSettings> settings = readRelayAgentSettings(file);
        if (!settings.ok())
            return settings;
        for (Endpoint& entry : settings->entries)
            entry = platform.seedEndpoint(entry, settings->common.control.port);
        return settings;
    }

    class RelayAgentDaemon final : public PacketFilter, private RelaySender {
    public:
        RelayAgentDaemon(RelayAgentSettings const& settings, FleetKeys const& keys, RelayPlatform const& platform)
            : settings_(settings)
            , platform_(platform)
            , self_(agentMember(settings))
            , relay_(relayOptions(settings, self_, makeKeyRing(keys)), platform.codec(), *this, decisions_, std::chrono::steady_clock::now())
            , announcements_(settings.service, settings.target, settings.announcementInterval, std::chrono::steady_clock::now())
            , control_(controlOptions(settings, self_))
            , targetOutputFilter_(*this)
            , core_(settings.common, keys, handlers())
            , stopTimer_(core_.loop())
            , joinDelay_(std::chrono::steady_clock::now(), !settings.common.platformUrl.empty())
        {
        }

        absl::Status run()
        {
            if (!settings_.common.platformUrl.empty()) {
                FleetStoreThread::Handlers handlers;
                handlers.members = [this](std::vector<Member> const& members, bool registered) { addMembers(members, registered); };
                handlers.written = [this] { joinDelay_.recordWritten(std::chrono::steady_clock::now()); };
                store_.emplace(core_.loop(), platform_.openStore(settings_.common.platformUrl), self_, std::move(handlers));
                store_->start();
            }
            return core_.run();
        }

        [[nodiscard]] PacketVerdict decide(std::span<std::byte const> datagram, Endpoint from, PacketTime const& time) noexcept override
        {
            return relay_.processRelayDatagram(datagram, from, time.now, time.nowSeconds, time.maximumWait);
        }

    private:
        // Receives what the target sends.
        class TargetOutputFilter final : public PacketFilter {
        public:
            explicit TargetOutputFilter(RelayAgentDaemon& daemon)
                : daemon_(daemon)
            {
            }

            [[nodiscard]] PacketVerdict decide(std::span<std::byte const> datagram, Endpoint /*from*/, PacketTime const& time) noexcept override
            {
                return daemon_.relay_.processTargetDatagram(datagram, time.now, time.nowSeconds);
            }

        private:
            RelayAgentDaemon& daemon_;
        };

        RelayAgentSettings settings_;
        RelayPlatform const& platform_;
        Member self_;
        DecisionLog decisions_;
        EvacuationLog evacuationLog_;
        AgentRelay relay_;
        TargetAnnouncementTracker announcements_;
        AgentControl control_;
        TargetOutputFilter targetOutputFilter_;
        DaemonCore core_;
        asio::steady_timer stopTimer_;
        std::optional<FleetStoreThread> store_;
        TimePoint stopDeadline_;
        JoinDelay joinDelay_;
        std::uint64_t refusedAnnouncements_ { 0 };
        bool wasUnanswered_ { false };

        void send(Endpoint to, std::span<std::byte const> datagram) noexcept override { core_.sendData(to, datagram); }

        DaemonCore::Handlers handlers()
        {
            DaemonCore::Handlers handlers;
            handlers.packets = this;
            handlers.packetPorts.emplace_back(settings_.targetOutput, &targetOutputFilter_);
            handlers.httpPorts.emplace_back(settings_.announcements, [this](HttpRequest const& request) { return handleAnnouncement(request); });
            handlers.control = [this](Endpoint from, std::span<std::byte const> bytes) { receiveControl(from, bytes); };
            handlers.tick = [this](TimePoint now) { tick(now); };
            handlers.keys = [this](KeyRing const& keys) { relay_.setKeys(keys); };
            handlers.readSeeds = makeSeedReader<RelayAgentSettings>([this] { return readSettings(platform_, settings_.common.file); }, &RelayAgentSettings::entries);
            handlers.seeds = [this](std::vector<Endpoint> const& seeds, TimePoint now) { control_.setSeeds(seeds, now); };
            handlers.ready = [this] { return !core_.isStopping(); };
            handlers.metrics = [this](MetricsPage& page) { addMetrics(page); };
            handlers.stop = [this] { beginStop(); };
            return handlers;
        }

        HttpAnswer handleAnnouncement(HttpRequest const& request)
        {
            absl::StatusOr<TargetAnnouncement> const announcement = platform_.readAnnouncement(request);
            if (!announcement.ok()) {
                ++refusedAnnouncements_;
                logEvent(LogLevel::Warning, "announcement_refused", { { "path", request.path }, { "problem", statusMessage(announcement.status()) } });
                return { 400, "{}", "application/json" };
            }
            TimePoint const now = std::chrono::steady_clock::now();
            bool const wasAccepting = announcements_.targetState(now).isAccepting;
            bool const wasHeard = announcements_.newest().has_value();
            AnnouncementOutcome const outcome = announcements_.processAnnouncement(*announcement, now);
            if (outcome == AnnouncementOutcome::AcceptedNewTarget)
                relay_.handleTargetReplacement(startOf(*announcement, now));
            applyTarget(now);
            TargetState const state = targetState(now);
            bool const isNews = !wasHeard || wasAccepting != announcements_.targetState(now).isAccepting;
            if (outcome != AnnouncementOutcome::Accepted || isNews)
                logEvent(LogLevel::Info, "target_announced", { { "id", announcement->id }, { "outcome", announcementOutcomeName(outcome) }, { "sequence", announcement->sequence }, { "started_ms", announcement->startTimeMs }, { "draining", announcement->isDraining }, { "leaving", announcement->isLeaving }, { "start_observed", state.isStartObserved }, { "started_with_agent", state.hasStartedWithAgent } });
            return { 200, "{}", "application/json" };
        }

        // The target runs on this machine, so that its clock is this process's.
        static TimePoint startOf(TargetAnnouncement const& announcement, TimePoint now)
        {
            std::int64_t const ageMs = wallClockMilliseconds() - announcement.startTimeMs;
            return now - std::chrono::milliseconds { std::max<std::int64_t>(ageMs, 0) };
        }

        void applyTarget(TimePoint now)
        {
            control_.setDraining(!announcements_.targetState(now).isAccepting, now);
            relay_.setTargetState(targetState(now), now);
            core_.sendControl(control_.takeMessages());
        }

        [[nodiscard]] TargetState targetState(TimePoint now) const
        {
            TargetState state = announcements_.targetState(now);
            state.hasStartedWithAgent = announcements_.hasStartedWith(static_cast<std::int64_t>(self_.incarnation));
            // Entries that do not know this agent yet could not find its flows.
            state.isAccepting = state.isAccepting && joinDelay_.isOver(now);
            return state;
        }

        void receiveControl(Endpoint from, std::span<std::byte const> bytes)
        {
            control_.receive(from, bytes, std::chrono::steady_clock::now());
            if (store_)
                store_->noteStoreGeneration(control_.storeGeneration());
            applyControl();
        }

        void addMembers(std::vector<Member> const& members, bool registered)
        {
            if (registered)
                joinDelay_.recordKnown();
            applyTarget(std::chrono::steady_clock::now());
            std::vector<Endpoint> entries;
            for (Member const& member : members) {
                if (member.role == MemberRole::Entry)
                    entries.push_back(member.control);
            }
            logEvent(LogLevel::Info, "members_read", { { "members", members.size() }, { "entries", entries.size() }, { "registered", registered } });
            control_.setListedEntries(entries, std::chrono::steady_clock::now());
            applyControl();
        }

        void tick(TimePoint now)
        {
            applyTarget(now);
            TargetLoad const load = relay_.load();
            control_.tick(now, static_cast<double>(load.activeRequests) / load.slots);
            applyControl();
            checkEntries(now);
            relay_.tick(now, wallClockSeconds());
        }

        // The store may name entries that this agent does not know, and may have lost the record by which they find it.
        void checkEntries(TimePoint now)
        {
            bool const isUnanswered = control_.isUnanswered(now);
            bool const hasLostEntry = control_.takeLostEntry();
            if (isUnanswered != wasUnanswered_)
                logEvent(isUnanswered ? LogLevel::Warning : LogLevel::Info, isUnanswered ? "entries_lost" : "entries_reached", { { "name", self_.name }, { "store_generation", control_.storeGeneration() } });
            wasUnanswered_ = isUnanswered;
            if (store_ && (isUnanswered || hasLostEntry))
                store_->requestCheck();
        }

        void applyControl()
        {
            std::optional<EvacuationChange> const change = control_.takeChangedEvacuations();
            if (change) {
                relay_.setEvacuations(change->set, std::chrono::steady_clock::now());
                evacuationLog_.record(*change, std::chrono::system_clock::now());
            }
            std::optional<ServiceView> const view = control_.takeChangedView();
            if (view) {
                relay_.setView(*view);
                logEvent(LogLevel::Info, "view_changed", { { "service", view->service }, { "targets", view->targets.size() }, { "fingerprint", view->fingerprint } });
            }
            if (std::optional<Service> const service = control_.takeChangedService()) {
                constexpr double thousandths = 1000;
                relay_.setColdRate(service->coldRate / thousandths);
            }
            core_.sendControl(control_.takeMessages());
        }

        // The target may keep running while this process is replaced, so the stop waits until no request is in progress.
        void beginStop()
        {
            TimePoint const now = std::chrono::steady_clock::now();
            relay_.stopAccepting(now, wallClockSeconds());
            if (store_)
                store_->requestStop();
            stopDeadline_ = now + settings_.stopTimeout;
            waitUntilIdle();
        }

        void waitUntilIdle()
        {
            // If the target runs no more, entries have to learn it from this process.
            TimePoint const now = std::chrono::steady_clock::now();
            bool const isIdle = relay_.load().activeRequests == 0 && relay_.targetActivity(now) != AgentRelay::TargetActivity::Unknown;
            if (isIdle || now >= stopDeadline_) {
                relay_.stopAccepting(now, wallClockSeconds());
                leaveIfTargetGone();
                logEvent(LogLevel::Info, "left", { { "name", self_.name }, { "quiet", isIdle } });
                core_.finish(absl::OkStatus());
                return;
            }
            stopTimer_.expires_after(idlePollInterval);
            stopTimer_.async_wait([this](asio::error_code const& error) {
                if (!error)
                    waitUntilIdle();
            });
        }

        // Leaves the fleet if the target has ended. Otherwise the record stays for the process that replaces this one.
        void leaveIfTargetGone()
        {
            TimePoint const now = std::chrono::steady_clock::now();
            bool const isUnresponsive = relay_.targetActivity(now) == AgentRelay::TargetActivity::Unresponsive;
            if (!announcements_.targetState(now).isGone && !isUnresponsive)
                return;
            control_.leave(now);
            core_.sendControl(control_.takeMessages());
            // If all entries restarted, they would use the record as that of a running target.
            if (store_)
                store_->removeSelf();
        }

        void addMetrics(MetricsPage& page) const
        {
            MetricsPage::Labels const service { { "service", self_.service } };
            for (std::size_t outcome = 0; outcome < agentRelayOutcomeCount; ++outcome) {
                std::string const name(agentRelayOutcomeName(static_cast<AgentRelayOutcome>(outcome)));
                page.addCounter("plantaindrift_agent_segments_total", "Segments by outcome.", { { "service", self_.service }, { "outcome", name } }, static_cast<double>(relay_.outcomeCounts()[outcome]));
            }
            relay_.visitOpeningCounts([&page, this](std::string_view action, std::string_view reason, std::uint64_t count) {
                page.addCounter("plantaindrift_agent_openings_total", "Opening segments by what became of them and why.", { { "service", self_.service }, { "action", std::string(action) }, { "reason", std::string(reason) } }, static_cast<double>(count));
            });
            page.addCounter("plantaindrift_evacuated_openings_total", "Openings of new flows that reached an evacuated data centre.", service, static_cast<double>(relay_.evacuatedOpeningCount()));
            TargetLoad const load = relay_.load();
            page.addGauge("plantaindrift_agent_open_flows", "Flows in the flow table.", service, load.openFlows);
            page.addGauge("plantaindrift_agent_busy", "Requests in progress or queued at the target.", service, load.activeRequests);
            page.addGauge("plantaindrift_agent_service_seconds", "Mean time of a request that does not wait.", service, load.serviceTimeTenthMs / 10000.0);
            page.addGauge("plantaindrift_agent_failed_ratio", "Part of the latest requests that ended without an answer.", service, load.failedPercent / 100.0);
            page.addGauge("plantaindrift_agent_cold_allowance", "New flows a second that the cold target takes; 0 for no limit.", service, load.coldAllowance);
            page.addGauge("plantaindrift_agent_accepting", "1 if the target takes new flows.", service, load.isAccepting ? 1 : 0);
            page.addHistogram("plantaindrift_agent_request_seconds", "Times from a request's last segment to its answer's first, with the wait at the target.", service, relay_.requestTimes());
            if (store_)
                store_->addMetrics(page);
            if (settings_.handlesEvacuations)
                evacuationLog_.addMetrics(page);
            page.addCounter("plantaindrift_agent_announcements_refused_total", "Announcements that could not be read.", {}, static_cast<double>(refusedAnnouncements_));
        }
    };

} // namespace

absl::Status runRelayAgent(RelayPlatform const& platform, std::string const& settingsFile, bool checkOnly)
{
    return runDaemon<RelayAgentDaemon>(readSettings(platform, settingsFile), checkOnly, platform);
}

} // namespace plantaindrift
