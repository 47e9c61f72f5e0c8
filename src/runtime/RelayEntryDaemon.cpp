#include "plantaindrift/runtime/RelayDaemon.h"

#include "plantaindrift/base/Hash.h"
#include "plantaindrift/membership/EntryControl.h"
#include "plantaindrift/relay/EntryRelay.h"
#include "runtime/ConfigurationLog.h"
#include "runtime/DaemonCore.h"
#include "runtime/DecisionLog.h"
#include "runtime/EntryResourcePage.h"
#include "runtime/EvacuationLog.h"
#include "runtime/EvacuationReader.h"
#include "runtime/FleetStoreThread.h"
#include "runtime/MemberReader.h"
#include "runtime/PacedSender.h"
#include "runtime/VerdictLog.h"
#include "runtime/ViewLog.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace plantaindrift {

namespace {

    // Port number, for DaemonCore::sendData, of the endpoint to which agents send notices and load.
    constexpr std::size_t relayPortIndex = 1;

    // After a start, callers' segments wait at most this long for the first configuration and the first target. A caller
    // retransmits after 200 ms.
    constexpr std::chrono::milliseconds maximumHoldTime { 500 };

    // Listing all members takes noticeable time on a small share of a core.
    constexpr std::chrono::seconds peerUpdateInterval { 1 };
    constexpr std::chrono::seconds censusInterval { 1 };

    // Interval between reads of the members by an entry that knows no other running one.
    constexpr std::chrono::seconds loneReadInterval { 5 };

    // An entry that is cut off or frozen for longer writes its record again when it is back.
    constexpr std::chrono::seconds goneEntryAge { 300 };

    Member entryMember(RelayEntrySettings const& settings)
    {
        Member self;
        self.role = MemberRole::Entry;
        self.name = settings.common.name;
        self.dataCentre = settings.common.dataCentre;
        self.incarnation = firstIncarnation();
        self.data = settings.relay;
        self.control = settings.common.control;
        return self;
    }

    EntryControlOptions controlOptions(RelayEntrySettings const& settings, Member const& self)
    {
        EntryControlOptions options;
        options.self = self;
        options.seeds = settings.seeds;
        options.randomSeed = mixHash(hashText(self.name), self.incarnation);
        options.bytesPerSecond = settings.controlBytesPerSecond;
        options.handlesEvacuations = settings.handlesEvacuations;
        options.maximumMessageBytes = maximumControlMessageBytes(settings.common.controlTransport);
        return options;
    }

    EntryRelayOptions relayOptions(RelayEntrySettings const& settings, Member const& self, KeyRing const& keys)
    {
        EntryRelayOptions options;
        options.ownEndpoint = settings.relay;
        options.dataCentre = self.dataCentre;
        options.keys = keys;
        options.randomSeed = mixHash(hashText(self.name), self.incarnation);
        options.maximumFlows = limitRememberedFlows(settings.maximumRememberedFlows, settings.resources);
        options.callerPort = settings.common.data.port;
        options.name = settings.common.name;
        options.resources = settings.resources;
        options.remote = settings.remote;
        return options;
    }

    void addSiteMetrics(MetricsPage& page, SiteCounts const& site)
    {
        for (std::size_t reason = 0; reason < remoteReasonCount; ++reason) {
            std::string const name(remoteReasonName(static_cast<RemoteReason>(reason)));
            page.addCounter("plantaindrift_entry_new_flows_total", "New flows by data centre of the chosen target and reason.", { { "data_centre", site.dataCentre }, { "reason", name } }, static_cast<double>(site.flows[reason]));
        }
        if (site.extraTenthMs)
            page.addGauge("plantaindrift_entry_extra_round_trip_seconds", "Time by which a round trip to the data centre exceeds a local one.", { { "data_centre", site.dataCentre } }, *site.extraTenthMs / 10000);
    }

    absl::StatusOr<RelayEntrySettings> readSettings(RelayPlatform const& platform, std::string const& file)
    {
        absl::StatusOr<RelayEntrySettings> settings = readRelayEntrySettings(file);
        if (!settings.ok())
            return settings;
        for (Endpoint& seed : settings->seeds)
            seed = platform.seedEndpoint(seed, settings->common.control.port);
        return settings;
    }

    class RelayEntryDaemon final : public PacketFilter, private RelaySender {
    public:
        RelayEntryDaemon(RelayEntrySettings const& settings, FleetKeys const& keys, RelayPlatform const& platform)
            : settings_(settings)
            , platform_(platform)
            , self_(entryMember(settings))
            , relay_(relayOptions(settings, self_, makeKeyRing(keys)), platform.codec(), *this, decisions_)
            , control_(controlOptions(settings, self_))
            , messages_(*this)
            , core_(settings.common, keys, handlers())
            , stopTimer_(core_.loop())
            , paced_(core_.loop(), pacingRules())
        {
        }

        absl::Status run()
        {
            if (settings_.resources.hasLimit())
                logResources(self_.name, settings_.resources, limitRememberedFlows(settings_.maximumRememberedFlows, settings_.resources));
            if (!settings_.common.platformUrl.empty()) {
                FleetStoreThread::Handlers handlers;
                handlers.configuration = [this](VersionedConfiguration const& found) { addConfiguration(found); };
                handlers.generation = [this](std::uint64_t generation) { control_.setStoreGeneration(generation); };
                handlers.members = [this](std::vector<Member> const& members, bool /*known*/) { addMembers(members); };
                handlers.freshMembers = [this](TimePoint started) { relay_.recordMemberRead(started); };
                store_.emplace(core_.loop(), platform_.openStore(settings_.common.platformUrl), self_, std::move(handlers));
                store_->start();
                relay_.requireMemberRead();
                memberReader_.emplace(core_.loop(), platform_.openStore(settings_.common.platformUrl), [this](std::vector<Member> const& members, TimePoint started) {
                    addMembers(members);
                    relay_.recordMemberRead(started);
                });
                startEvacuationReader();
            }
            return core_.run();
        }

        [[nodiscard]] PacketVerdict decide(std::span<std::byte const> datagram, Endpoint /*from*/, PacketTime const& time) noexcept override
        {
            PacketVerdict const verdict = relay_.processCallerDatagram(datagram, time.now, time.nowSeconds, time.maximumWait);
            return verdict.isBulk || paced_.holds(verdict.flowHash) ? paced_.pace(verdict, time.now) : verdict;
        }

    private:
        // Receives what agents send to the relay endpoint.
        class MessageFilter final : public PacketFilter {
        public:
            explicit MessageFilter(RelayEntryDaemon& daemon)
                : daemon_(daemon)
            {
            }

            [[nodiscard]] PacketVerdict decide(std::span<std::byte const> datagram, Endpoint from, PacketTime const& time) noexcept override
            {
                if (!daemon_.relay_.processAgentMessage(from, datagram, time.now, time.nowSeconds))
                    ++daemon_.refusedMessages_;
                if (!daemon_.wasReady_)
                    daemon_.logReadinessChange();
                return {};
            }

        private:
            RelayEntryDaemon& daemon_;
        };

        RelayEntrySettings settings_;
        RelayPlatform const& platform_;
        Member self_;
        DecisionLog decisions_;
        ViewLog viewLog_;
        EvacuationLog evacuationLog_;
        EntryRelay relay_;
        EntryControl control_;
        MessageFilter messages_;
        DaemonCore core_;
        asio::steady_timer stopTimer_;
        PacedSender paced_;
        std::optional<FleetStoreThread> store_;
        std::optional<MemberReader> memberReader_;
        std::optional<EvacuationReader> evacuationReader_;
        TimePoint started_ { std::chrono::steady_clock::now() };
        TimePoint lastCensus_;
        TimePoint lastLoneRead_;
        std::uint64_t configurationVersion_ { 0 };
        std::uint64_t refusedMessages_ { 0 };
        std::uint64_t discardedConfigurations_ { 0 };
        ProcessUse processUse_;
        TimePoint peersUpdated_;
        bool wasReady_ { false };
        bool wasOutOfRotation_ { false };
        bool hasMembers_ { false };
        bool awaitsEvacuations_ { false }; ///< the first read of the evacuations has not ended

        void send(Endpoint to, std::span<std::byte const> datagram) noexcept override { core_.sendData(to, datagram, relayPortIndex); }

        PacedSender::Rules pacingRules()
        {
            PacedSender::Rules rules;
            rules.decide = [this](std::size_t bytes, TimePoint now) { return relay_.decideBulk(bytes, now); };
            rules.release = [this](std::size_t bytes, Duration waited, TimePoint now) { return relay_.releaseBulk(bytes, waited, now); };
            rules.send = [this](Endpoint to, std::span<std::byte const> datagram) { core_.sendData(to, datagram, 0); };
            return rules;
        }

        DaemonCore::Handlers handlers()
        {
            DaemonCore::Handlers handlers;
            handlers.packets = this;
            handlers.holdPackets = true;
            handlers.packetPorts.emplace_back(settings_.relay, &messages_);
            handlers.control = [this](Endpoint from, std::span<std::byte const> bytes) { receiveControl(from, bytes); };
            handlers.tick = [this](TimePoint now) { tick(now); };
            handlers.keys = [this](KeyRing const& keys) { relay_.setKeys(keys); };
            handlers.readSeeds = makeSeedReader<RelayEntrySettings>([this] { return readSettings(platform_, settings_.common.file); }, &RelayEntrySettings::seeds);
            handlers.seeds = [this](std::vector<Endpoint> const& seeds, TimePoint /*now*/) { control_.setSeeds(seeds); };
            handlers.ready = [this] { return isReady(); };
            handlers.metrics = [this](MetricsPage& page) { addMetrics(page); };
            handlers.stop = [this] { beginStop(); };
            return handlers;
        }

        [[nodiscard]] bool isReady() const { return !core_.isStopping() && relay_.canServe() && !relay_.shouldLeaveRotation(); }

        void receiveControl(Endpoint from, std::span<std::byte const> bytes)
        {
            control_.receive(from, bytes, std::chrono::steady_clock::now());
            applyControl();
        }

        void tick(TimePoint now)
        {
            if (now - started_ >= maximumHoldTime)
                core_.releasePackets();
            control_.tick(now);
            logVerdicts(control_.takeVerdicts());
            logConfigurationEvents(control_.takeConfigurationEvents());
            applyControl();
            relay_.setViewsComplete(control_.isCaughtUp(now) || (hasMembers_ && !control_.expectsFullState(now)));
            updateResources(now);
            relay_.tick(now, wallClockSeconds());
            requestMembers();
            reportEntries(now);
            logReadinessChange();
            logRotationChange(now);
        }

        void updateResources(TimePoint now)
        {
            if (!settings_.resources.hasLimit())
                return;
            relay_.recordProcess(processUse_.processorTime(), processUse_.recordTick(now), now);
            if (now - peersUpdated_ < peerUpdateInterval)
                return;
            peersUpdated_ = now;
            relay_.setEntryPeers(runningPeers(control_.members(), self_));
        }

        void logRotationChange(TimePoint now)
        {
            if (relay_.shouldLeaveRotation() == wasOutOfRotation_)
                return;
            wasOutOfRotation_ = relay_.shouldLeaveRotation();
            logRotation(self_.name, relay_.resourceReport(now));
        }

        void startEvacuationReader()
        {
            std::unique_ptr<FleetStore> store = platform_.openStore(settings_.common.platformUrl);
            if (!settings_.handlesEvacuations || !store->holdsEvacuations())
                return;
            awaitsEvacuations_ = true;
            EvacuationReader::Handlers handlers;
            handlers.evacuations = [this](StoredEvacuations const& stored) {
                control_.addEvacuations(stored, std::chrono::steady_clock::now());
                applyControl();
            };
            handlers.attempted = [this] {
                awaitsEvacuations_ = false;
                logReadinessChange();
            };
            evacuationReader_.emplace(core_.loop(), std::move(store), mixHash(hashText(self_.name), self_.incarnation), std::move(handlers));
        }

        void reportEntries(TimePoint now)
        {
            if (!store_ || now - lastCensus_ < censusInterval)
                return;
            lastCensus_ = now;
            EntryCensus census = control_.entryCensus(now, goneEntryAge);
            // Two entries of a data centre are enough to remove records.
            if (!control_.isWatcher())
                census.gone.clear();
            readMembersIfAlone(census, now);
            store_->setEntryCensus(std::move(census));
        }

        // The entries that this one knew may have been replaced while it could not hear of the others.
        void readMembersIfAlone(EntryCensus const& census, TimePoint now)
        {
            if (census.running > 1 || now - lastLoneRead_ < loneReadInterval)
                return;
            lastLoneRead_ = now;
            memberReader_->request();
        }

        void requestMembers()
        {
            if (memberReader_ && relay_.needsMemberRead())
                memberReader_->request();
        }

        void logReadinessChange()
        {
            bool const ready = isReady();
            if (ready && !awaitsEvacuations_)
                core_.releasePackets();
            if (ready == wasReady_)
                return;
            wasReady_ = ready;
            logEvent(LogLevel::Info, ready ? "ready" : "not_ready", { { "name", self_.name }, { "version", control_.changeLog().position() } });
        }

        void addConfiguration(VersionedConfiguration const& found)
        {
            std::uint64_t const position = control_.completePosition();
            if (found.version < position) {
                ++discardedConfigurations_;
                logEvent(LogLevel::Info, "configuration_discarded", { { "version", found.version }, { "position", position } });
            }
            control_.addSnapshot(found.version, found.configuration, std::chrono::steady_clock::now());
            applyControl("store");
        }

        void addMembers(std::vector<Member> const& members)
        {
            hasMembers_ = true;
            logEvent(LogLevel::Info, "members_read", { { "members", members.size() } });
            if (evacuationReader_)
                evacuationReader_->setEntryCount(static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](Member const& member) { return member.role == MemberRole::Entry; })));
            TimePoint const now = std::chrono::steady_clock::now();
            control_.addMembers(members, now);
            applyControl();
            relay_.tick(now, wallClockSeconds());
        }

        // Applies new configuration and views to the packet path and sends the pending control messages.
        void applyControl(std::string_view source = "peers")
        {
            applyEvacuations();
            if (control_.configurationVersion() != configurationVersion_)
                applyConfiguration(source);
            for (ServiceView const& view : control_.takeChangedViews())
                applyView(view);
            core_.sendControl(control_.takeMessages());
        }

        void applyEvacuations()
        {
            std::optional<EvacuationChange> const change = control_.takeChangedEvacuations();
            if (!change)
                return;
            relay_.setEvacuations(change->set, std::chrono::steady_clock::now());
            evacuationLog_.record(*change, std::chrono::system_clock::now());
        }

        void applyConfiguration(std::string_view source)
        {
            configurationVersion_ = control_.configurationVersion();
            Configuration const& configuration = control_.changeLog().configuration();
            relay_.setConfiguration(configuration, std::chrono::steady_clock::now());
            std::size_t addresses = 0;
            for (Service const& service : configuration.services)
                addresses += service.addresses.size();
            logEvent(LogLevel::Info, "configuration_applied", { { "version", control_.changeLog().position() }, { "services", configuration.services.size() }, { "addresses", addresses }, { "source", source } });
        }

        void applyView(ServiceView const& view)
        {
            relay_.setView(view, std::chrono::steady_clock::now());
            viewLog_.recordView(view);
        }

        void beginStop()
        {
            logReadinessChange();
            if (store_)
                store_->requestLeave();
            if (evacuationReader_)
                evacuationReader_->requestStop();
            stopTimer_.expires_after(settings_.stopDelay);
            stopTimer_.async_wait([this](asio::error_code const& error) {
                if (!error)
                    finishStop();
            });
        }

        void finishStop()
        {
            paced_.flush();
            control_.leave(std::chrono::steady_clock::now());
            core_.sendControl(control_.takeMessages());
            logEvent(LogLevel::Info, "left", { { "name", self_.name } });
            core_.finish(absl::OkStatus());
        }

        void addMetrics(MetricsPage& page) const
        {
            for (std::size_t outcome = 0; outcome < entryRelayOutcomeCount; ++outcome) {
                std::string const name(entryRelayOutcomeName(static_cast<EntryRelayOutcome>(outcome)));
                page.addCounter("plantaindrift_entry_segments_total", "Segments of callers by outcome.", { { "outcome", name } }, static_cast<double>(relay_.outcomeCounts()[outcome]));
            }
            page.addGauge("plantaindrift_entry_flows", "Flows whose owner is remembered.", {}, static_cast<double>(relay_.flowCount()));
            for (SiteCounts const& site : relay_.siteCounts(std::chrono::steady_clock::now()))
                addSiteMetrics(page, site);
            page.addCounter("plantaindrift_flow_messages_refused_total", "Relay messages that are malformed, stale or not authenticated.", {}, static_cast<double>(refusedMessages_));
            page.addGauge("plantaindrift_configuration_position", "Applied version of the configuration.", {}, static_cast<double>(control_.changeLog().position()));
            page.addCounter("plantaindrift_configurations_discarded_total", "Configurations that the store gave and that are older than the one in force.", {}, static_cast<double>(discardedConfigurations_));
            relay_.visitReturnCounts([&page](EntryRelayOutcome outcome, std::string_view reason, std::uint64_t count) {
                page.addCounter("plantaindrift_entry_returned_openings_total", "Openings that agents returned, by what became of them and why they were returned.", { { "outcome", std::string(entryRelayOutcomeName(outcome)) }, { "reason", std::string(reason) } }, static_cast<double>(count));
            });
            page.addCounter("plantaindrift_evacuated_flows_total", "Flows that opened in a data centre after its evacuation.", {}, static_cast<double>(relay_.evacuatedFlowCount()));
            page.addCounter("plantaindrift_entry_search_queries_total", "Messages that searches for owners sent to agents.", {}, static_cast<double>(relay_.searchMessageCount()));
            page.addCounter("plantaindrift_entry_searches_widened_total", "Searches for owners that went on in services that do not have the flow's address.", {}, static_cast<double>(relay_.widenedSearchCount()));
            std::string_view const searchHelp = "Times from the first segment of a flow without a known owner to the end of the search.";
            page.addHistogram("plantaindrift_entry_search_seconds", searchHelp, { { "outcome", "found" } }, relay_.successfulSearchTimes());
            page.addHistogram("plantaindrift_entry_search_seconds", searchHelp, { { "outcome", "lost" } }, relay_.failedSearchTimes());
            addResourceMetrics(page, settings_.resources, relay_.resourceReport(std::chrono::steady_clock::now()));
            addDetectorMetrics(page, control_.counts());
            addConfigurationMetrics(page, control_.counts());
            if (store_)
                store_->addMetrics(page);
            if (memberReader_)
                memberReader_->addMetrics(page);
            if (evacuationReader_)
                evacuationReader_->addMetrics(page);
            if (settings_.handlesEvacuations)
                evacuationLog_.addMetrics(page);
        }
    };

} // namespace

absl::Status runRelayEntry(RelayPlatform const& platform, std::string const& settingsFile, bool checkOnly)
{
    return runDaemon<RelayEntryDaemon>(readSettings(platform, settingsFile), checkOnly, platform);
}

} // namespace plantaindrift
