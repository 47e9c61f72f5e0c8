// Packets per second of an entry's receive-decide-send loop against a bare receive-and-send loop with the same system
// calls, in one run. Two threads send to the loop over loopback and receive from it; a fixed number of datagrams is in
// flight, so that nothing is lost to full buffers. The two kinds of loop alternate, and the ratio of
// each pair of turns is printed with their median.

#include "../common/Workload.h"
#include "plantaindrift/plantaindrift.h"
#include "runtime/PacketLoop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>

DEFINE_uint32(turns, 7, "pairs of turns");
DEFINE_uint32(turn_milliseconds, 700, "length of one turn");
DEFINE_uint32(payload_bytes, 200, "payload of the inner TCP packets");
DEFINE_uint32(flows, 100000, "flows that the packets belong to");
DEFINE_uint32(in_flight, 512, "datagrams on their way at once");

using namespace plantaindrift;

namespace {

constexpr Endpoint loopback { 0x7F000001, 0 };

/// Decides as an entry does.
class EntryFilter : public PacketFilter {
public:
    explicit EntryFilter(Endpoint agent)
        : pipeline_({ { 0x7F000001, 1 }, workload::makeKeys(), 1U << 18 })
    {
        // All targets have the same agent endpoint, so that every packet comes back to the one counting socket.
        ServiceView view = workload::makeView(7, agent);
        for (ViewTarget& target : view.targets)
            target.data = agent;
        pipeline_.setConfiguration(workload::makeConfiguration());
        pipeline_.setView(view);
    }

    PacketVerdict decide(std::span<std::byte const> datagram, Endpoint, PacketTime const& time) noexcept override
    {
        EntryDecision const decision = pipeline_.decide(datagram, time.now, time.nowSeconds);
        if (decision.outcome != EntryOutcome::Forward)
            return {};
        return { decision.to, pipeline_.headerBuffer(), decision.inner };
    }

private:
    EntryPipeline pipeline_;
};

PacketLoop openLoop()
{
    absl::StatusOr<PacketLoop> loop = PacketLoop::open({ loopback });
    if (!loop.ok()) {
        std::fprintf(stderr, "%s\n", loop.status().ToString().c_str());
        std::exit(1);
    }
    return std::move(loop).value();
}

/// One way of receiving and sending; step() handles what is there and returns the number of datagrams.
class Forwarder {
public:
    virtual ~Forwarder() = default;
    virtual std::uint64_t step() = 0;
};

sockaddr_in toSocketAddress(Endpoint endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

/// The product's loop with the entry's decision.
class EntryBatches : public Forwarder {
public:
    EntryBatches(PacketLoop& loop, Endpoint agent)
        : loop_(loop)
        , filter_(agent)
    {
    }

    std::uint64_t step() override { return loop_.runOnce(filter_); }

private:
    PacketLoop& loop_;
    EntryFilter filter_;
};

/// recvmmsg and sendmmsg with nothing between them: every datagram goes on as it is.
class BareBatches : public Forwarder {
public:
    BareBatches(PacketLoop& loop, Endpoint to)
        : socket_(loop.nativeHandle())
        , to_(toSocketAddress(to))
        , buffers_(PacketLoop::batchSize * PacketLoop::maximumDatagramBytes)
    {
        for (std::size_t slot = 0; slot < PacketLoop::batchSize; ++slot) {
            std::byte* const buffer = buffers_.data() + slot * PacketLoop::maximumDatagramBytes;
            receiveVectors_[slot] = { buffer, PacketLoop::maximumDatagramBytes };
            sendVectors_[slot] = { buffer, 0 };
            receiveMessages_[slot].msg_hdr = { &senders_[slot], sizeof(sockaddr_in), &receiveVectors_[slot], 1, nullptr, 0, 0 };
            sendMessages_[slot].msg_hdr = { &to_, sizeof(sockaddr_in), &sendVectors_[slot], 1, nullptr, 0, 0 };
        }
    }

    std::uint64_t step() override
    {
        int const received = recvmmsg(socket_, receiveMessages_.data(), PacketLoop::batchSize, MSG_DONTWAIT, nullptr);
        if (received <= 0)
            return 0;
        for (int slot = 0; slot < received; ++slot)
            sendVectors_[static_cast<std::size_t>(slot)].iov_len = receiveMessages_[static_cast<std::size_t>(slot)].msg_len;
        int const sent = sendmmsg(socket_, sendMessages_.data(), static_cast<unsigned>(received), MSG_DONTWAIT);
        return sent > 0 ? static_cast<std::uint64_t>(sent) : 0;
    }

private:
    int socket_;
    sockaddr_in to_;
    std::vector<std::byte> buffers_;
    std::array<sockaddr_in, PacketLoop::batchSize> senders_ {};
    std::array<iovec, PacketLoop::batchSize> receiveVectors_ {};
    std::array<iovec, PacketLoop::batchSize> sendVectors_ {};
    std::array<mmsghdr, PacketLoop::batchSize> receiveMessages_ {};
    std::array<mmsghdr, PacketLoop::batchSize> sendMessages_ {};
};

/// One datagram with each recvfrom and sendto, decided by an entry or sent on as it is.
class Singles : public Forwarder {
public:
    Singles(PacketLoop& loop, Endpoint to, bool isEntry)
        : socket_(loop.nativeHandle())
        , to_(toSocketAddress(to))
        , filter_(to)
        , isEntry_(isEntry)
    {
    }

    std::uint64_t step() override
    {
        std::byte* const datagram = buffer_.data() + maximumHeaderBytes;
        sockaddr_in from {};
        socklen_t length = sizeof(from);
        ssize_t const size = recvfrom(socket_, datagram, PacketLoop::maximumDatagramBytes, MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &length);
        if (size < 0)
            return 0;
        std::span<std::byte const> const received { datagram, static_cast<std::size_t>(size) };
        std::span<std::byte const> const output = isEntry_ ? decide(received, from) : received;
        return sendto(socket_, output.data(), output.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr const*>(&to_), sizeof(to_)) > 0 ? 1 : 0;
    }

private:
    std::span<std::byte const> decide(std::span<std::byte const> received, sockaddr_in const& from)
    {
        auto const wall = std::chrono::system_clock::now().time_since_epoch();
        auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(wall).count();
        PacketTime const time { std::chrono::steady_clock::now(), static_cast<std::uint32_t>(seconds) };
        PacketVerdict const verdict = filter_.decide(received, { ntohl(from.sin_addr.s_addr), ntohs(from.sin_port) }, time);
        std::byte* const first = buffer_.data() + (verdict.payload.data() - buffer_.data()) - verdict.header.size();
        std::copy(verdict.header.begin(), verdict.header.end(), first);
        return { first, verdict.header.size() + verdict.payload.size() };
    }

    int socket_;
    sockaddr_in to_;
    EntryFilter filter_;
    bool isEntry_;
    std::array<std::byte, maximumHeaderBytes + PacketLoop::maximumDatagramBytes> buffer_ {};
};

/// Sends datagrams to the loop under test and receives what it sends, each in a thread of its own, so that the loop and
/// not its peer limits the rate.
class Feeder {
public:
    Feeder()
        : source_(openLoop())
        , sink_(openLoop())
    {
        std::size_t const size = workload::geneveBytes + workload::tcpIpBytes + FLAGS_payload_bytes;
        datagrams_.reserve(FLAGS_flows);
        for (std::uint32_t flow = 0; flow < FLAGS_flows; ++flow) {
            datagrams_.emplace_back(size);
            workload::writeDatagram(flow, false, datagrams_.back());
        }
    }

    [[nodiscard]] Endpoint sink() const { return sink_.localEndpoint(); }

    void start(Endpoint to)
    {
        stop_ = false;
        sent_ = 0;
        returned_ = 0;
        sourceThread_ = std::thread { [this, to] { runSource(to); } };
        sinkThread_ = std::thread { [this] { runSink(); } };
    }

    void stop()
    {
        stop_ = true;
        sourceThread_.join();
        sinkThread_.join();
    }

private:
    class Counter : public PacketFilter {
    public:
        PacketVerdict decide(std::span<std::byte const>, Endpoint, PacketTime const&) noexcept override { return {}; }
    };

    void runSink()
    {
        Counter counter;
        while (!stop_) {
            std::size_t const received = sink_.runOnce(counter);
            returned_ += received;
            if (received == 0)
                (void)sink_.waitReadable(std::chrono::milliseconds { 1 });
        }
    }

    void runSource(Endpoint to)
    {
        std::chrono::steady_clock::time_point lastProgress = std::chrono::steady_clock::now();
        while (!stop_) {
            std::uint64_t const inFlight = sent_ - std::min<std::uint64_t>(sent_, returned_);
            if (inFlight + PacketLoop::batchSize <= FLAGS_in_flight) {
                sendBurst(to);
                lastProgress = std::chrono::steady_clock::now();
            } else if (std::chrono::steady_clock::now() - lastProgress > std::chrono::milliseconds { 20 }) {
                sent_ = returned_; // what has not come back by now is lost
            } else {
                std::this_thread::yield();
            }
        }
    }

    void sendBurst(Endpoint to)
    {
        sockaddr_in address = toSocketAddress(to);
        std::array<iovec, PacketLoop::batchSize> vectors;
        std::array<mmsghdr, PacketLoop::batchSize> messages {};
        for (std::size_t index = 0; index < messages.size(); ++index) {
            next_ = (next_ + 1) % datagrams_.size();
            vectors[index] = { datagrams_[next_].data(), datagrams_[next_].size() };
            messages[index].msg_hdr = { &address, sizeof(address), &vectors[index], 1, nullptr, 0, 0 };
        }
        int const sent = sendmmsg(source_.nativeHandle(), messages.data(), PacketLoop::batchSize, 0);
        if (sent < 0)
            std::perror("sendmmsg");
        else
            sent_ += static_cast<std::uint64_t>(sent);
    }

    PacketLoop source_;
    PacketLoop sink_;
    std::vector<std::vector<std::byte>> datagrams_;
    std::size_t next_ { 0 };
    std::uint64_t sent_ { 0 }; ///< used by the source's thread only while that runs
    std::atomic<std::uint64_t> returned_ { 0 };
    std::atomic<bool> stop_ { false };
    std::thread sourceThread_;
    std::thread sinkThread_;
};

struct Turn {
    double packetsPerSecond { 0 };
    double packetsPerCpuSecond { 0 };
    double busy { 0 }; ///< share of the turn that the loop's thread was on a processor
};

double threadCpuSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_THREAD, &usage);
    auto const seconds = [](timeval const& time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

Turn measure(PacketLoop& loop, Forwarder& forwarder, Feeder& feeder)
{
    feeder.start(loop.localEndpoint());
    std::uint64_t packets = 0;
    double const cpuBefore = threadCpuSeconds();
    std::chrono::steady_clock::time_point const begin = std::chrono::steady_clock::now();
    std::chrono::steady_clock::time_point const end = begin + std::chrono::milliseconds { FLAGS_turn_milliseconds };
    while (std::chrono::steady_clock::now() < end) {
        std::uint64_t const handled = forwarder.step();
        packets += handled;
        if (handled == 0)
            (void)loop.waitReadable(std::chrono::milliseconds { 1 });
    }
    double const seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    double const cpuSeconds = threadCpuSeconds() - cpuBefore;
    feeder.stop();
    double const handled = static_cast<double>(packets);
    return { handled / seconds, handled / cpuSeconds, cpuSeconds / seconds };
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double medianOf(std::vector<Turn> const& turns, double Turn::*field)
{
    std::vector<double> values;
    values.reserve(turns.size());
    for (Turn const& turn : turns)
        values.push_back(turn.*field);
    return median(values);
}

void measurePair(char const* name, PacketLoop& loop, Feeder& feeder, Forwarder& bare, Forwarder& entry)
{
    std::vector<double> ratios;
    std::vector<double> cpuRatios;
    std::vector<Turn> bareTurns;
    std::vector<Turn> entryTurns;
    (void)measure(loop, entry, feeder);
    for (std::uint32_t turn = 0; turn < FLAGS_turns; ++turn) {
        // The order changes from pair to pair, so that a slow drift of the machine's speed cancels out.
        if (turn % 2 == 0)
            bareTurns.push_back(measure(loop, bare, feeder));
        entryTurns.push_back(measure(loop, entry, feeder));
        if (turn % 2 != 0)
            bareTurns.push_back(measure(loop, bare, feeder));
        ratios.push_back(entryTurns.back().packetsPerSecond / bareTurns.back().packetsPerSecond);
        cpuRatios.push_back(entryTurns.back().packetsPerCpuSecond / bareTurns.back().packetsPerCpuSecond);
    }
    auto const [lowest, highest] = std::minmax_element(ratios.begin(), ratios.end());
    std::printf("case=forward calls=%s payload_bytes=%u turns=%u bare_pps=%.0f entry_pps=%.0f ratio=%.3f ratio_lowest=%.3f ratio_highest=%.3f cpu_ratio=%.3f bare_per_cpu_second=%.0f entry_per_cpu_second=%.0f bare_busy=%.2f entry_busy=%.2f\n",
        name, FLAGS_payload_bytes, FLAGS_turns, medianOf(bareTurns, &Turn::packetsPerSecond), medianOf(entryTurns, &Turn::packetsPerSecond), median(ratios), *lowest, *highest,
        median(cpuRatios), medianOf(bareTurns, &Turn::packetsPerCpuSecond), medianOf(entryTurns, &Turn::packetsPerCpuSecond), medianOf(bareTurns, &Turn::busy), medianOf(entryTurns, &Turn::busy));
}

} // namespace

int main(int argumentCount, char** arguments)
{
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    Feeder feeder;
    PacketLoop loop = openLoop();
    BareBatches bareBatches { loop, feeder.sink() };
    EntryBatches entryBatches { loop, feeder.sink() };
    measurePair("recvmmsg_sendmmsg", loop, feeder, bareBatches, entryBatches);
    Singles bareSingles { loop, feeder.sink(), false };
    Singles entrySingles { loop, feeder.sink(), true };
    measurePair("recvfrom_sendto", loop, feeder, bareSingles, entrySingles);
}
