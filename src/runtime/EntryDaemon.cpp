#include "plantaindrift/runtime/Daemon.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/base/Hash.h"
#include "plantaindrift/entry/EntryPipeline.h"
#include "plantaindrift/membership/EntryControl.h"
#include "plantaindrift/packet/FlowMessage.h"
#include "runtime/ConfigurationLog.h"
#include "runtime/DaemonCore.h"
#include "runtime/PlatformThread.h"
#include "runtime/VerdictLog.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <optional>

namespace plantaindrift {

namespace {

    constexpr std::size_t outcomeCount = 4;
    constexpr std::array<char const*, outcomeCount> outcomeNames { "forward", "drop_malformed", "drop_no_service", "drop_no_target" };

    // Packet counts of one service at this entry.
    struct ServiceCounts {
        std::string name;
        std::array<std::uint64_t, outcomeCount> packets {};
    };

    Member entryMember(EntrySettings const& settings)
    {
        Member self;
        self.role = MemberRole::Entry;
        self.name = settings.common.name;
        self.dataCentre = settings.common.dataCentre;
        self.incarnation = firstIncarnation();
        self.data = settings.common.data;
        self.control = settings.common.control;
        return self;
    }

    EntryControlOptions controlOptions(EntrySettings const& settings)
    {
        EntryControlOptions options;
        options.self = entryMember(settings);
        options.seeds = settings.seeds;
        options.randomSeed = mixHash(hashText(settings.common.name), firstIncarnation());
        options.bytesPerSecond = settings.controlBytesPerSecond;
        options.maximumMessageBytes = maximumControlMessageBytes(settings.common.controlTransport);
        return options;
    }

    EntryOptions pipelineOptions(EntrySettings const& settings, KeyRing const& keys)
    {
        EntryOptions options;
        options.self = settings.common.data;
        options.keys = keys;
        options.flowCacheEntries = settings.flowCacheEntries;
        return options;
    }

    class EntryDaemon final : public PacketFilter {
    public:
        EntryDaemon(EntrySettings const& settings, FleetKeys const& keys)
            : settings_(settings)
            , keys_(makeKeyRing(keys))
            , pipeline_(pipelineOptions(settings, keys_))
            , control_(controlOptions(settings))
            , core_(settings.common, keys, handlers())
            , stopTimer_(core_.loop())
        {
        }

        absl::Status run()
        {
            startPlatform();
            return core_.run();
        }

        [[nodiscard]] PacketVerdict decide(std::span<std::byte const> datagram, Endpoint, PacketTime const& time) noexcept override
        {
            if (isFlowMessage(datagram)) {
                handleFlowMessage(datagram, time);
                return {};
            }
            EntryDecision const decision = pipeline_.decide(datagram, time.now, time.nowSeconds);
            ++outcomes_[static_cast<std::size_t>(decision.outcome)];
            absl::flat_hash_map<ServiceHash, ServiceCounts>::iterator const service = services_.find(decision.service);
            if (service != services_.end())
                ++service->second.packets[static_cast<std::size_t>(decision.outcome)];
            if (decision.outcome != EntryOutcome::Forward)
                return {};
            return { decision.to, pipeline_.headerBuffer().first(decision.headerBytes), decision.inner };
        }

    private:
        EntrySettings settings_;
        KeyRing keys_;
        EntryPipeline pipeline_;
        EntryControl control_;
        DaemonCore core_;
        asio::steady_timer stopTimer_;
        std::optional<PlatformReader> platform_;
        absl::flat_hash_map<ServiceHash, ServiceCounts> services_;
        std::array<std::uint64_t, outcomeCount> outcomes_ {};
        std::uint64_t ownerNotices_ { 0 };
        std::uint64_t refusedMessages_ { 0 };
        std::uint64_t position_ { 0 };
        std::uint64_t configurationVersion_ { 0 };
        std::optional<TimePoint> lastConfirmed_;
        bool wasReady_ { false };

        DaemonCore::Handlers handlers()
        {
            DaemonCore::Handlers handlers;
            handlers.packets = this;
            handlers.control = [this](Endpoint from, std::span<std::byte const> bytes) { receiveControl(from, bytes); };
            handlers.tick = [this](TimePoint now) { tick(now); };
            handlers.keys = [this](KeyRing const& keys) { setKeys(keys); };
            handlers.readSeeds = makeSeedReader<EntrySettings>([file = settings_.common.file] { return readEntrySettings(file); }, &EntrySettings::seeds);
            handlers.seeds = [this](std::vector<Endpoint> const& seeds, TimePoint /*now*/) { control_.setSeeds(seeds); };
            handlers.ready = [this] { return isReady(); };
            handlers.metrics = [this](MetricsPage& page) { addMetrics(page); };
            handlers.stop = [this] { beginStop(); };
            return handlers;
        }

        void startPlatform()
        {
            if (settings_.common.platformUrl.empty())
                return;
            PlatformReader::Handlers handlers;
            handlers.changes = [this](std::vector<ConfigurationChange> const& changes) { addChanges(changes); };
            handlers.snapshot = [this](std::uint64_t position, Configuration const& configuration) { addSnapshot(position, configuration); };
            handlers.members = [this](std::vector<Member> const& members) { addMembers(members); };
            handlers.confirmed = [this] { lastConfirmed_ = std::chrono::steady_clock::now(); };
            platform_.emplace(core_.loop(), openPlatform(settings_.common), settings_.common, std::move(handlers));
            platform_->start();
        }

        void setKeys(KeyRing const& keys)
        {
            keys_ = keys;
            pipeline_.setKeys(keys);
        }

        [[nodiscard]] bool isReady() const
        {
            bool const configured = control_.changeLog().position() > 0;
            return configured && !core_.isStopping() && control_.isCaughtUp(std::chrono::steady_clock::now());
        }

        void handleFlowMessage(std::span<std::byte const> datagram, PacketTime const& time) noexcept
        {
            DecodedFlowMessage const decoded = decodeFlowMessage(datagram, keys_, time.nowSeconds);
            if (decoded.error != DatagramError::None || decoded.message.kind != FlowMessageKind::OwnerNotice) {
                ++refusedMessages_;
                return;
            }
            ++ownerNotices_;
            pipeline_.learnOwner(decoded.message.flow, decoded.message.owner, time.now);
        }

        void receiveControl(Endpoint from, std::span<std::byte const> bytes)
        {
            control_.receive(from, bytes, std::chrono::steady_clock::now());
            applyControl();
        }

        void tick(TimePoint now)
        {
            control_.tick(now);
            logVerdicts(control_.takeVerdicts());
            logConfigurationEvents(control_.takeConfigurationEvents());
            applyControl();
            if (platform_)
                platform_->setState(control_.completePosition(), control_.isWatcher());
            logReadinessChange();
        }

        void logReadinessChange()
        {
            bool const ready = isReady();
            if (ready == wasReady_)
                return;
            wasReady_ = ready;
            logEvent(LogLevel::Info, ready ? "ready" : "not_ready", { { "name", settings_.common.name }, { "position", control_.changeLog().position() } });
        }

        void addChanges(std::vector<ConfigurationChange> const& changes)
        {
            control_.addChanges(changes, std::chrono::steady_clock::now());
            applyControl();
        }

        void addSnapshot(std::uint64_t position, Configuration const& configuration)
        {
            control_.addSnapshot(position, configuration, std::chrono::steady_clock::now());
            applyControl();
        }

        void addMembers(std::vector<Member> const& members)
        {
            control_.addMembers(members, std::chrono::steady_clock::now());
            applyControl();
        }

        // Applies new configuration and views to the packet path and sends the pending control messages.
        void applyControl()
        {
            if (control_.configurationVersion() != configurationVersion_)
                applyConfiguration();
            for (ServiceView const& view : control_.takeChangedViews())
                applyView(view);
            core_.sendControl(control_.takeMessages());
        }

        void applyConfiguration()
        {
            configurationVersion_ = control_.configurationVersion();
            position_ = control_.changeLog().position();
            Configuration const& configuration = control_.changeLog().configuration();
            pipeline_.setConfiguration(configuration);
            for (Service const& service : configuration.services)
                services_[hashService(service.name)].name = service.name;
            logEvent(LogLevel::Info, "configuration_applied", { { "position", position_ }, { "services", configuration.services.size() } });
        }

        void applyView(ServiceView const& view)
        {
            pipeline_.setView(view);
            logEvent(LogLevel::Info, "view_changed", { { "service", view.service }, { "targets", view.targets.size() }, { "fingerprint", view.fingerprint } });
        }

        void beginStop()
        {
            logReadinessChange();
            if (platform_)
                platform_->requestStop();
            stopTimer_.expires_after(settings_.stopDelay);
            stopTimer_.async_wait([this](asio::error_code const& error) {
                if (!error)
                    finishStop();
            });
        }

        void finishStop()
        {
            control_.leave(std::chrono::steady_clock::now());
            core_.sendControl(control_.takeMessages());
            logEvent(LogLevel::Info, "left", { { "name", settings_.common.name } });
            core_.finish(absl::OkStatus());
        }

        void addMetrics(MetricsPage& page) const
        {
            for (std::size_t outcome = 0; outcome < outcomeCount; ++outcome)
                page.addCounter("plantaindrift_entry_packets_total", "Packets from the fabric by outcome.", { { "outcome", outcomeNames[outcome] } }, static_cast<double>(outcomes_[outcome]));
            addServiceMetrics(page);
            page.addCounter("plantaindrift_entry_owner_notices_total", "Owner notices taken from agents.", {}, static_cast<double>(ownerNotices_));
            page.addCounter("plantaindrift_flow_messages_refused_total", "Flow messages that are malformed, stale or not authenticated.", {}, static_cast<double>(refusedMessages_));
            addControlMetrics(page);
        }

        void addServiceMetrics(MetricsPage& page) const
        {
            for (absl::flat_hash_map<ServiceHash, ServiceCounts>::const_iterator service = services_.begin(); service != services_.end(); ++service) {
                for (std::size_t outcome = 0; outcome < outcomeCount; ++outcome) {
                    if (service->second.packets[outcome] > 0)
                        page.addCounter("plantaindrift_service_packets_total", "Packets of a service by outcome.", { { "service", service->second.name }, { "outcome", outcomeNames[outcome] } }, static_cast<double>(service->second.packets[outcome]));
                }
            }
        }

        void addControlMetrics(MetricsPage& page) const
        {
            EntryControl::Counts const counts = control_.counts();
            page.addGauge("plantaindrift_configuration_position", "Applied position of the change log.", {}, static_cast<double>(control_.changeLog().position()));
            if (lastConfirmed_) {
                std::chrono::duration<double> const age = std::chrono::steady_clock::now() - *lastConfirmed_;
                page.addGauge("plantaindrift_configuration_age_seconds", "Time since the platform last confirmed the configuration to this process.", {}, age.count());
            }
            page.addGauge("plantaindrift_configuration_watcher", "1 if this entry holds a watch at the platform.", {}, control_.isWatcher() ? 1 : 0);
            page.addCounter("plantaindrift_control_bytes_total", "Bytes of control messages by direction.", { { "direction", "sent" } }, static_cast<double>(counts.sentBytes));
            page.addCounter("plantaindrift_control_bytes_total", "Bytes of control messages by direction.", { { "direction", "received" } }, static_cast<double>(counts.receivedBytes));
            page.addCounter("plantaindrift_control_malformed_total", "Control messages that cannot be decoded.", {}, static_cast<double>(counts.malformed));
            page.addCounter("plantaindrift_control_deferred_total", "Changes that waited for the control budget.", {}, static_cast<double>(counts.deferred));
            addDetectorMetrics(page, counts);
            addConfigurationMetrics(page, counts);
            addMemberMetrics(page);
        }

        void addMemberMetrics(MetricsPage& page) const
        {
            constexpr std::size_t stateCount = 5;
            std::array<std::array<std::uint64_t, stateCount>, 2> numbers {};
            for (Member const& member : control_.members())
                ++numbers[static_cast<std::size_t>(member.role)][static_cast<std::size_t>(member.state)];
            for (std::size_t state = 0; state < stateCount; ++state) {
                std::string const name(memberStateName(static_cast<MemberState>(state)));
                page.addGauge("plantaindrift_members", "Members known by role and state.", { { "role", "entry" }, { "state", name } }, static_cast<double>(numbers[0][state]));
                page.addGauge("plantaindrift_members", "Members known by role and state.", { { "role", "agent" }, { "state", name } }, static_cast<double>(numbers[1][state]));
            }
        }
    };

} // namespace

absl::Status runEntry(std::string const& settingsFile, bool checkOnly)
{
    return runDaemon<EntryDaemon>(readEntrySettings(settingsFile), checkOnly);
}

} // namespace plantaindrift
