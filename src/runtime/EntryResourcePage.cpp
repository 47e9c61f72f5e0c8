#include "runtime/EntryResourcePage.h"

#include "plantaindrift/runtime/Log.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iterator>
#include <sys/resource.h>
#include <system_error>

namespace plantaindrift {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };

    // The table of flows is between a quarter and a half full, and both sizes exist while it grows.
    constexpr std::uint64_t bytesPerRememberedFlow = 600;
    constexpr std::uint64_t flowMemoryDivisor = 3;
    constexpr std::uint64_t bytesPerMegabyte = 1'000'000;
    constexpr std::uint64_t minimumRememberedFlows = 1024;

    // Sockets, event loop and store connections of an entry take about 30; scrapes and probes come on top.
    constexpr std::uint32_t neededDescriptors = 64;

    Duration toDuration(timeval const& time) noexcept
    {
        return std::chrono::seconds { time.tv_sec } + std::chrono::microseconds { time.tv_usec };
    }

    double toSeconds(Duration time) noexcept
    {
        return std::chrono::duration<double>(time).count();
    }

    double openDescriptors()
    {
        std::error_code error;
        std::filesystem::directory_iterator const entries("/proc/self/fd", error);
        return error ? 0 : static_cast<double>(std::distance(begin(entries), end(entries)));
    }

} // namespace

Duration ProcessUse::processorTime() noexcept
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

Duration ProcessUse::recordTick(TimePoint now) noexcept
{
    Duration const lateness = lastTick_ == TimePoint {} ? Duration::zero() : std::max<Duration>(Duration::zero(), now - lastTick_ - tickInterval);
    lastTick_ = now;
    return lateness;
}

std::uint32_t limitRememberedFlows(std::uint32_t flows, EntryResources const& resources) noexcept
{
    if (resources.memoryMb == 0)
        return flows;
    std::uint64_t const fitting = resources.memoryMb * bytesPerMegabyte / flowMemoryDivisor / bytesPerRememberedFlow;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(flows, std::max(fitting, minimumRememberedFlows)));
}

std::vector<EntryPeer> runningPeers(std::span<Member const> members, Member const& self)
{
    std::vector<EntryPeer> peers;
    for (Member const& member : members) {
        bool const isRunning = member.state == MemberState::Active || member.state == MemberState::Suspect;
        bool const isPeer = member.role == MemberRole::Entry && member.dataCentre == self.dataCentre && member.name != self.name;
        if (isPeer && isRunning && !member.draining)
            peers.push_back({ entryNameHash(member.name), member.data });
    }
    return peers;
}

void logResources(std::string_view name, EntryResources const& resources, std::uint32_t rememberedFlows)
{
    logEvent(LogLevel::Info, "resources", { { "name", name }, { "link_mbps", resources.linkMbps }, { "cpu_share", resources.processorShare }, { "descriptors", resources.descriptors }, { "memory_mb", resources.memoryMb }, { "remembered_flows", rememberedFlows } });
    if (resources.descriptors > 0 && resources.descriptors < neededDescriptors)
        logEvent(LogLevel::Warning, "descriptors_scarce", { { "name", name }, { "descriptors", resources.descriptors }, { "needed", neededDescriptors } });
}

void logRotation(std::string_view name, EntryResourceReport const& report)
{
    RotationDecision const& decision = report.rotation;
    logEvent(LogLevel::Info, decision.isInRotation ? "rotation_returned" : "rotation_left",
        { { "name", name }, { "reason", rotationReasonName(decision.reason) }, { "link_utilisation", report.linkUtilisation }, { "cpu_utilisation", report.processorUtilisation },
            { "queue_ms", std::chrono::duration_cast<std::chrono::milliseconds>(report.modelledQueue).count() }, { "delay_ms", std::chrono::duration_cast<std::chrono::milliseconds>(report.measuredDelay).count() },
            { "refused_bytes_per_s", static_cast<std::uint64_t>(report.refusedBytesPerSecond) }, { "running", decision.running }, { "known", decision.knownOthers }, { "out", decision.out }, { "total_bytes_per_s", static_cast<std::uint64_t>(decision.totalBytesPerSecond) },
            { "room_bytes_per_s", static_cast<std::uint64_t>(decision.roomBytesPerSecond) }, { "share_bytes_per_s", static_cast<std::uint64_t>(decision.shareBytesPerSecond) } });
}

void addResourceMetrics(MetricsPage& page, EntryResources const& resources, EntryResourceReport const& report)
{
    std::string_view const bytesHelp = "Bytes of the packet path with IP and UDP headers, by direction.";
    page.addCounter("plantaindrift_entry_bytes_total", bytesHelp, { { "direction", "received" } }, static_cast<double>(report.receivedBytes));
    page.addCounter("plantaindrift_entry_bytes_total", bytesHelp, { { "direction", "sent" } }, static_cast<double>(report.sentBytes));
    if (!resources.hasLimit())
        return;
    std::string_view const utilisationHelp = "Use of a resource relative to the declared limit, mean of 300 ms.";
    page.addGauge("plantaindrift_entry_utilisation_ratio", utilisationHelp, { { "resource", "link" } }, report.linkUtilisation);
    page.addGauge("plantaindrift_entry_utilisation_ratio", utilisationHelp, { { "resource", "processor" } }, report.processorUtilisation);
    page.addGauge("plantaindrift_entry_queue_seconds", "Time that the modelled outbound queue takes to drain.", {}, toSeconds(report.modelledQueue));
    page.addGauge("plantaindrift_entry_link_delay_seconds", "Measured round trip of openings in excess of the smallest one.", {}, toSeconds(report.measuredDelay));
    page.addGauge("plantaindrift_entry_refused_bytes_per_second", "Expected bytes a second of the flows that this entry refused, mean of 300 ms.", {}, report.refusedBytesPerSecond);
    std::string_view const bulkHelp = "Large segments of callers that had to wait for the link, by result.";
    page.addCounter("plantaindrift_entry_bulk_segments_total", bulkHelp, { { "result", "paced" } }, static_cast<double>(report.bulk.paced));
    page.addCounter("plantaindrift_entry_bulk_segments_total", bulkHelp, { { "result", "dropped" } }, static_cast<double>(report.bulk.dropped));
    page.addGauge("plantaindrift_entry_in_rotation", "1 if the entry is in rotation; the reason explains the state.", { { "reason", std::string(rotationReasonName(report.rotation.reason)) } }, report.rotation.isInRotation ? 1 : 0);
    page.addGauge("plantaindrift_entry_open_descriptors", "Open file descriptors.", {}, openDescriptors());
}

} // namespace plantaindrift
