// Guards against datagrams that are lost, truncated or sent to the wrong endpoint between the socket and the filter.

#include "PacketFixtures.h"
#include "plantaindrift/plantaindrift.h"
#include "runtime/PacketLoop.h"

#include <boost/test/unit_test.hpp>

using namespace plantaindrift;
using namespace fixtures;
using namespace std::chrono_literals;

namespace {

constexpr Endpoint anyPort { 0x7F000001, 0 };
/// Ends a failing test only; on loopback a datagram is readable at once.
constexpr std::chrono::milliseconds patience { 5000 };

PacketLoop openLoop()
{
    absl::StatusOr<PacketLoop> loop = PacketLoop::open({ anyPort });
    BOOST_TEST_REQUIRE(loop.ok(), loop.status().ToString());
    return std::move(loop).value();
}

/// Records what is received and sends nothing.
class Recorder : public PacketFilter {
public:
    PacketVerdict decide(std::span<std::byte const> datagram, Endpoint from, PacketTime const&) noexcept override
    {
        received.emplace_back(datagram.begin(), datagram.end());
        senders.push_back(from);
        return {};
    }

    std::vector<Bytes> received;
    std::vector<Endpoint> senders;
};

/// Replaces the first bytes of each datagram by a header and forwards it to one endpoint.
class HeaderRewriter : public PacketFilter {
public:
    HeaderRewriter(Endpoint to, Bytes header, std::size_t removedBytes)
        : to_(to)
        , header_(std::move(header))
        , removedBytes_(removedBytes)
    {
    }

    PacketVerdict decide(std::span<std::byte const> datagram, Endpoint, PacketTime const&) noexcept override
    {
        return { to_, header_, datagram.subspan(std::min(removedBytes_, datagram.size())) };
    }

private:
    Endpoint to_;
    Bytes header_;
    std::size_t removedBytes_;
};

/// Answers every datagram with fixed bytes.
class Answerer : public PacketFilter {
public:
    explicit Answerer(Bytes answer)
        : answer_(std::move(answer))
    {
    }

    PacketVerdict decide(std::span<std::byte const>, Endpoint from, PacketTime const&) noexcept override { return { from, {}, answer_ }; }

private:
    Bytes answer_;
};

void runUntil(PacketLoop& loop, PacketFilter& filter, std::uint64_t received)
{
    while (loop.counts().received < received) {
        BOOST_TEST_REQUIRE(loop.waitReadable(patience));
        loop.runOnce(filter);
    }
}

Bytes makeBytes(std::size_t size, std::size_t seed)
{
    Bytes bytes(size);
    for (std::size_t index = 0; index < size; ++index)
        bytes[index] = static_cast<std::byte>(index * 3 + seed);
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_CASE(HeaderReplacesTheFirstBytesOfEachDatagram)
{
    PacketLoop source = openLoop();
    PacketLoop middle = openLoop();
    PacketLoop sink = openLoop();
    Bytes const header = makeBytes(maximumHeaderBytes, 5);
    HeaderRewriter rewriter { sink.localEndpoint(), header, 8 };
    Recorder recorder;
    // More than one batch, with sizes from empty to more than an Ethernet frame.
    constexpr std::size_t datagrams = PacketLoop::batchSize * 2 + 3;
    for (std::size_t index = 0; index < datagrams; ++index) {
        BOOST_TEST_REQUIRE(source.send(middle.localEndpoint(), makeBytes(index * 20, index)));
        runUntil(middle, rewriter, index / 32 * 32);
    }
    runUntil(middle, rewriter, datagrams);
    runUntil(sink, recorder, datagrams);
    for (std::size_t index = 0; index < datagrams; ++index) {
        Bytes const sent = makeBytes(index * 20, index);
        Bytes expected = header;
        expected.insert(expected.end(), sent.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(8, sent.size())), sent.end());
        BOOST_TEST((recorder.received[index] == expected), "datagram " << index);
        BOOST_TEST((recorder.senders[index] == middle.localEndpoint()));
    }
    BOOST_TEST(middle.counts().sent == datagrams);
    BOOST_TEST(middle.counts().sendFailed == 0U);
}

BOOST_AUTO_TEST_CASE(LongestDatagramPassesAndLongerOnesAreCounted)
{
    PacketLoop source = openLoop();
    PacketLoop sink = openLoop();
    Recorder recorder;
    BOOST_TEST_REQUIRE(source.send(sink.localEndpoint(), makeBytes(PacketLoop::maximumDatagramBytes, 1)));
    BOOST_TEST_REQUIRE(source.send(sink.localEndpoint(), makeBytes(PacketLoop::maximumDatagramBytes + 1, 2)));
    runUntil(sink, recorder, 2);
    BOOST_TEST_REQUIRE(recorder.received.size() == 1U);
    BOOST_TEST((recorder.received[0] == makeBytes(PacketLoop::maximumDatagramBytes, 1)));
    BOOST_TEST(sink.counts().oversized == 1U);
}

BOOST_AUTO_TEST_CASE(PayloadOutsideTheDatagramIsSent)
{
    PacketLoop source = openLoop();
    PacketLoop middle = openLoop();
    Bytes const answer = makeBytes(40, 9);
    Answerer answerer { answer };
    Recorder recorder;
    BOOST_TEST_REQUIRE(source.send(middle.localEndpoint(), makeBytes(10, 1)));
    runUntil(middle, answerer, 1);
    runUntil(source, recorder, 1);
    BOOST_TEST((recorder.received[0] == answer));
}

// A verdict that does not fit the buffer must not be written past its end.
BOOST_AUTO_TEST_CASE(VerdictsThatDoNotFitAreCounted)
{
    PacketLoop source = openLoop();
    PacketLoop middle = openLoop();
    HeaderRewriter longHeader { source.localEndpoint(), makeBytes(maximumHeaderBytes + 1, 1), 0 };
    Answerer longPayload { makeBytes(PacketLoop::maximumDatagramBytes + maximumHeaderBytes + 1, 1) };
    BOOST_TEST_REQUIRE(source.send(middle.localEndpoint(), makeBytes(10, 1)));
    runUntil(middle, longHeader, 1);
    BOOST_TEST_REQUIRE(source.send(middle.localEndpoint(), makeBytes(10, 1)));
    runUntil(middle, longPayload, 2);
    BOOST_TEST(middle.counts().sendFailed == 2U);
    BOOST_TEST(middle.counts().sent == 0U);
}

// A datagram that the kernel rejects must not stop the following ones of the batch.
BOOST_AUTO_TEST_CASE(FailedSendDoesNotStopTheBatch)
{
    class Alternating : public PacketFilter {
    public:
        explicit Alternating(Endpoint to)
            : to_(to)
        {
        }
        PacketVerdict decide(std::span<std::byte const> datagram, Endpoint, PacketTime const&) noexcept override
        {
            ++calls_;
            // Sending to the broadcast address fails without SO_BROADCAST.
            Endpoint const to = calls_ % 2 == 0 ? to_ : Endpoint { 0xFFFFFFFF, 9 };
            return { to, {}, datagram };
        }

    private:
        Endpoint to_;
        std::size_t calls_ { 0 };
    };
    PacketLoop source = openLoop();
    PacketLoop middle = openLoop();
    PacketLoop sink = openLoop();
    Alternating alternating { sink.localEndpoint() };
    Recorder recorder;
    for (std::size_t index = 0; index < 10; ++index)
        BOOST_TEST_REQUIRE(source.send(middle.localEndpoint(), makeBytes(10, index)));
    runUntil(middle, alternating, 10);
    runUntil(sink, recorder, 5);
    BOOST_TEST(middle.counts().sent == 5U);
    BOOST_TEST(middle.counts().sendFailed == 5U);
}

BOOST_AUTO_TEST_CASE(PortInUseIsRefusedWithARemedy)
{
    PacketLoop const first = openLoop();
    absl::StatusOr<PacketLoop> const second = PacketLoop::open({ first.localEndpoint() });
    BOOST_TEST_REQUIRE(!second.ok());
    BOOST_TEST((errorKind(second.status()) == ErrorKind::InvalidSettings));
    BOOST_TEST(second.status().message().find("free port") != absl::string_view::npos);
}
