// Cost of the entry's decision and of decoding, with allocations counted, and of the choices behind the tables.
// Prints one line of key=value pairs for each case. Times are from this machine at this moment; compare lines of one run.

#include "../common/Workload.h"
#include "entry/CandidateTable.h"
#include "entry/FlowCache.h"
#include "plantaindrift/plantaindrift.h"
#include "support/CountedAllocations.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <gflags/gflags.h>
#include <random>

DEFINE_uint64(packets, 2000000, "packets of each decision case");
DEFINE_uint64(seed, 1, "seed of the packet order");
DEFINE_bool(tables, true, "also measure candidate tables and flow caches");

using namespace plantaindrift;

namespace {

constexpr std::size_t payloadBytes = 64;
constexpr std::size_t datagramBytes = workload::geneveBytes + workload::tcpIpBytes + payloadBytes;
constexpr Endpoint firstAgent { 0x0A090001, 6081 };
constexpr TimePoint start { std::chrono::hours { 5 } };

/// Wall time and allocations of a piece of work.
class Meter {
public:
    [[nodiscard]] double nanoseconds() const
    {
        return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin_).count();
    }
    [[nodiscard]] std::uint64_t allocated() const { return allocations - before_; }

private:
    std::uint64_t before_ { allocations };
    std::chrono::steady_clock::time_point begin_ { std::chrono::steady_clock::now() };
};

std::vector<std::uint32_t> shuffledFlows(std::uint32_t flows)
{
    std::vector<std::uint32_t> order(flows);
    for (std::uint32_t flow = 0; flow < flows; ++flow)
        order[flow] = flow;
    std::shuffle(order.begin(), order.end(), std::mt19937_64 { FLAGS_seed });
    return order;
}

/// Datagrams of all flows, in shuffled order so that tables and caches are accessed as sprayed packets do.
std::vector<std::byte> makeDatagrams(std::uint32_t flows)
{
    std::vector<std::byte> bytes(std::size_t { flows } * datagramBytes);
    std::span<std::byte> rest { bytes };
    for (std::uint32_t const flow : shuffledFlows(flows)) {
        workload::writeDatagram(flow, false, rest.first(datagramBytes));
        rest = rest.subspan(datagramBytes);
    }
    return bytes;
}

std::span<std::byte const> datagramOf(std::vector<std::byte> const& bytes, std::size_t index)
{
    return std::span<std::byte const> { bytes }.subspan(index * datagramBytes, datagramBytes);
}

struct EntryCase {
    std::uint32_t flows;
    std::size_t targets;
    bool withOwners;
};

void learnOwners(EntryPipeline& pipeline, std::vector<std::byte> const& datagrams, EntryCase const& measured)
{
    for (std::size_t index = 0; index < measured.flows; ++index) {
        FlowHash const flow = parseInnerPacket(datagramOf(datagrams, index).subspan(workload::geneveBytes)).packet.flow;
        Endpoint const owner { static_cast<std::uint32_t>(firstAgent.address + index % measured.targets), firstAgent.port };
        pipeline.learnOwner(flow, owner, start);
    }
}

void measureEntry(EntryCase const& measured)
{
    std::vector<std::byte> const datagrams = makeDatagrams(measured.flows);
    EntryPipeline pipeline { { { 0x0A000001, 6000 }, workload::makeKeys(), 1U << 18 } };
    pipeline.setConfiguration(workload::makeConfiguration());
    pipeline.setView(workload::makeView(measured.targets, firstAgent));
    if (measured.withOwners)
        learnOwners(pipeline, datagrams, measured);

    std::uint64_t forwarded = 0;
    Meter const meter;
    for (std::uint64_t packet = 0; packet < FLAGS_packets; ++packet) {
        EntryDecision const decision = pipeline.decide(datagramOf(datagrams, packet % measured.flows), start, workload::nowSeconds);
        forwarded += decision.outcome == EntryOutcome::Forward ? 1 : 0;
    }
    double const nanoseconds = meter.nanoseconds();
    double const packets = static_cast<double>(FLAGS_packets);
    std::printf("case=entry_decide flows=%u targets=%zu owners=%d packets=%lu forwarded=%lu ns_per_packet=%.1f allocations_per_packet=%.6f\n",
        measured.flows, measured.targets, measured.withOwners ? 1 : 0, FLAGS_packets, forwarded, nanoseconds / packets, static_cast<double>(meter.allocated()) / packets);
}

void measureDecode(std::uint32_t flows, std::uint8_t candidates)
{
    std::vector<std::byte> const plain = makeDatagrams(flows);
    KeyRing const keys = workload::makeKeys();
    RouteOption route;
    route.sentSeconds = workload::nowSeconds;
    route.candidateCount = candidates;
    route.candidates.fill(firstAgent);
    constexpr std::size_t routedBytes = maximumHeaderBytes + datagramBytes;
    std::vector<std::byte> routed(flows * routedBytes);
    std::size_t length = 0;
    for (std::size_t index = 0; index < flows; ++index) {
        std::span<std::byte> const output = std::span<std::byte> { routed }.subspan(index * routedBytes, routedBytes);
        std::span<std::byte const> const inner = datagramOf(plain, index).subspan(workload::geneveBytes);
        std::size_t const headerBytes = writeRoutedHeader(route, inner, keys, output);
        std::copy(inner.begin(), inner.end(), output.subspan(headerBytes).begin());
        length = headerBytes + inner.size();
    }

    std::uint64_t accepted = 0;
    Meter const meter;
    for (std::uint64_t packet = 0; packet < FLAGS_packets; ++packet) {
        std::byte const* const begin = routed.data() + packet % flows * routedBytes;
        DecodedDatagram const decoded = decodeRouted({ begin, length }, keys, workload::nowSeconds);
        ParsedPacket const parsed = parseInnerPacket(decoded.inner);
        accepted += decoded.error == DatagramError::None && parsed.error == PacketError::None ? 1 : 0;
    }
    double const nanoseconds = meter.nanoseconds();
    double const packets = static_cast<double>(FLAGS_packets);
    std::printf("case=decode_routed flows=%u candidates=%u packets=%lu accepted=%lu ns_per_packet=%.1f allocations_per_packet=%.6f\n",
        flows, unsigned { candidates }, FLAGS_packets, accepted, nanoseconds / packets, static_cast<double>(meter.allocated()) / packets);
}

/// Highest first-rank share of a target, divided by its fair share.
double highestShare(CandidateTable const& table, std::size_t buckets, std::size_t targets)
{
    std::vector<std::size_t> firsts(targets);
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        RouteOption route;
        table.list(FlowHash { bucket }, DeadTargets::Excluded, route);
        ++firsts[route.candidates[0].address - firstAgent.address];
    }
    double const fair = static_cast<double>(buckets) / static_cast<double>(targets);
    return static_cast<double>(*std::max_element(firsts.begin(), firsts.end())) / fair;
}

void measureTable(std::size_t buckets, std::size_t targets, bool distinctWeights)
{
    ServiceView view = workload::makeView(targets, firstAgent);
    for (std::size_t index = 0; distinctWeights && index < targets; ++index)
        view.targets[index].weight = static_cast<std::uint16_t>(100 + index);
    CandidateTable table { buckets };
    table.rebuild(view.targets);
    constexpr int rounds = 5;
    Meter const meter;
    for (int round = 0; round < rounds; ++round)
        table.rebuild(view.targets);
    double const milliseconds = meter.nanoseconds() / rounds / 1e6;
    std::printf("case=table_rebuild buckets=%zu targets=%zu distinct_weights=%d rebuild_ms=%.3f row_bytes=%zu highest_share=%.3f\n",
        buckets, targets, distinctWeights ? 1 : 0, milliseconds, table.rowBytes(), highestShare(table, buckets, targets));
}

void measureLookup(std::size_t buckets)
{
    CandidateTable table { buckets };
    table.rebuild(workload::makeView(7, firstAgent).targets);
    std::uint64_t sum = 0;
    Meter const meter;
    for (std::uint64_t packet = 0; packet < FLAGS_packets; ++packet) {
        RouteOption route;
        table.list(FlowHash { mixHash(packet, 3) }, DeadTargets::Excluded, route);
        sum += route.candidates[0].address;
    }
    std::printf("case=table_lookup buckets=%zu targets=7 ns_per_lookup=%.1f checksum=%lu\n", buckets, meter.nanoseconds() / static_cast<double>(FLAGS_packets), sum);
}

/// The alternative to a table: all targets are scored with each packet's own hash.
void measureDirectRanking(std::size_t targets)
{
    std::vector<std::uint64_t> nameHashes;
    nameHashes.reserve(targets);
    for (ViewTarget const& target : workload::makeView(targets, firstAgent).targets)
        nameHashes.push_back(hashText(target.name));
    std::vector<std::pair<double, std::size_t>> scored(targets);
    std::size_t const ranks = std::min(targets, maximumCandidates);
    std::uint64_t const packets = FLAGS_packets / targets;
    std::uint64_t sum = 0;
    Meter const meter;
    for (std::uint64_t packet = 0; packet < packets; ++packet) {
        for (std::size_t index = 0; index < targets; ++index)
            scored[index] = { -rendezvousScore(nameHashes[index], mixHash(packet, 3), 100), index };
        std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(ranks), scored.end());
        sum += scored.front().second;
    }
    std::printf("case=direct_ranking targets=%zu ns_per_lookup=%.1f checksum=%lu\n", targets, meter.nanoseconds() / static_cast<double>(packets), sum);
}

/// Model of a set-associative cache without owners, for hit rates of other shapes than FlowCache's.
class CacheModel {
public:
    CacheModel(std::size_t entries, std::size_t ways, bool refreshOnHit)
        : flows_(entries)
        , ways_(ways)
        , refreshOnHit_(refreshOnHit)
    {
    }

    bool access(std::uint64_t flow)
    {
        auto const begin = flows_.begin() + static_cast<std::ptrdiff_t>((flow >> 20U) % (flows_.size() / ways_) * ways_);
        auto const end = begin + static_cast<std::ptrdiff_t>(ways_);
        auto const found = std::find(begin, end, flow);
        bool const isHit = found != end;
        if (!isHit || refreshOnHit_) {
            auto const replaced = isHit ? found : end - 1;
            std::move_backward(begin, replaced, replaced + 1);
            *begin = flow;
        }
        return isHit;
    }

private:
    std::vector<std::uint64_t> flows_;
    std::size_t ways_;
    bool refreshOnHit_;
};

struct CacheShape {
    std::size_t ways;
    bool refreshOnHit;
    double load; ///< flows per cache entry
    bool skewed; ///< a tenth of the flows send nine tenths of the packets
};

void measureCacheShape(CacheShape const& shape)
{
    constexpr std::size_t entries = 1U << 16;
    std::uint64_t const flows = static_cast<std::uint64_t>(shape.load * entries);
    CacheModel cache { entries, shape.ways, shape.refreshOnHit };
    std::mt19937_64 random { FLAGS_seed };
    std::uint64_t hits = 0;
    std::uint64_t counted = 0;
    std::uint64_t const accesses = flows * 24;
    for (std::uint64_t access = 0; access < accesses; ++access) {
        bool const isBusy = shape.skewed && random() % 10 != 0;
        std::uint64_t const flow = random() % (isBusy ? flows / 10 : flows);
        bool const isHit = cache.access(mixHash(flow, 11));
        bool const isWarm = access > accesses / 2;
        counted += isWarm ? 1 : 0;
        hits += isWarm && isHit ? 1 : 0;
    }
    std::printf("case=cache_shape entries=%zu ways=%zu order=%s load=%.2f skewed=%d hit_rate=%.4f\n", entries, shape.ways,
        shape.refreshOnHit ? "least_recently_used" : "first_in_first_out", shape.load, shape.skewed ? 1 : 0, static_cast<double>(hits) / static_cast<double>(counted));
}

void measureCacheLookup(std::size_t entries)
{
    FlowCache cache { entries };
    for (std::uint64_t flow = 0; flow < entries; ++flow)
        cache.learn(FlowHash { mixHash(flow, 11) }, firstAgent, start);
    std::uint64_t hits = 0;
    Meter const meter;
    for (std::uint64_t packet = 0; packet < FLAGS_packets; ++packet) {
        std::uint64_t const flow = packet * 0x9E3779B97F4A7C15ULL % entries;
        hits += cache.find(FlowHash { mixHash(flow, 11) }, start).has_value() ? 1 : 0;
    }
    double const packets = static_cast<double>(FLAGS_packets);
    std::printf("case=cache_lookup entries=%zu bytes=%zu hit_rate=%.4f ns_per_lookup=%.1f\n", cache.capacity(), cache.capacity() * FlowCache::bytesPerFlow,
        static_cast<double>(hits) / packets, meter.nanoseconds() / packets);
}

void measureTables()
{
    for (std::size_t const buckets : { 1024, 4096, 16384, 65536 }) {
        for (std::size_t const targets : { 3, 7, 100, 500 })
            measureTable(buckets, targets, false);
        measureLookup(buckets);
    }
    for (std::size_t const targets : { 7, 100, 500 }) {
        measureTable(CandidateTable::defaultBuckets, targets, true);
        measureDirectRanking(targets);
    }
}

void measureCaches()
{
    for (double const load : { 0.5, 1.0, 2.0 }) {
        for (bool const skewed : { false, true }) {
            for (std::size_t const ways : { 1, 2, 4, 8 })
                measureCacheShape({ ways, true, load, skewed });
            measureCacheShape({ 4, false, load, skewed });
        }
    }
    for (unsigned const bits : { 10U, 14U, 18U, 20U })
        measureCacheLookup(std::size_t { 1 } << bits);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    for (std::uint32_t const flows : { 1000, 100000, 1000000 }) {
        measureEntry({ flows, 7, false });
        measureEntry({ flows, 7, true });
    }
    measureEntry({ 100000, 100, false });
    measureDecode(1000, 7);
    measureDecode(100000, 7);
    measureDecode(100000, 1);
    if (!FLAGS_tables)
        return 0;
    measureTables();
    measureCaches();
}
