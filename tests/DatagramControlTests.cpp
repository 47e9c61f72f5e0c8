// Guards against control messages that entries take for sendable and the transport loses.
#include "plantaindrift/membership/EntryControl.h"
#include "runtime/DatagramControl.h"

#include <boost/test/unit_test.hpp>

#include <asio/ip/udp.hpp>
#include <chrono>
#include <string>
#include <vector>

using namespace plantaindrift;

namespace {

Endpoint freeEndpoint(asio::io_context& loop)
{
    constexpr std::uint32_t loopback = 0x7F000001;
    asio::ip::udp::socket socket(loop, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
    return { loopback, socket.local_endpoint().port() };
}

/// A transport that records the sizes of the messages that it receives.
struct Node {
    explicit Node(asio::io_context& loop)
        : endpoint(freeEndpoint(loop))
        , transport(loop, endpoint, {}, [this](Endpoint, std::span<std::byte const> bytes) { received.push_back(bytes.size()); })
    {
        BOOST_REQUIRE(transport.start().ok());
    }

    Endpoint endpoint;
    std::vector<std::size_t> received;
    DatagramControl transport;
};

} // namespace

BOOST_AUTO_TEST_CASE(TheLargestMessageArrivesAndALargerOneIsCounted)
{
    asio::io_context loop;
    Node sender(loop);
    Node receiver(loop);
    std::size_t const maximum = maximumControlMessageBytes(ControlTransportKind::Datagram);
    sender.transport.send(receiver.endpoint, std::string(maximum + 1, 'a'));
    sender.transport.send(receiver.endpoint, std::string(maximum, 'a'));
    for (int round = 0; round < 200 && receiver.received.empty(); ++round) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(50));
    }
    BOOST_TEST(receiver.received == std::vector<std::size_t> { maximum }, boost::test_tools::per_element());
    BOOST_TEST(sender.transport.counts().sent == 1U);
    BOOST_TEST(sender.transport.counts().dropped == 1U);
}

BOOST_AUTO_TEST_CASE(EntriesBoundMessagesForDatagramsUnlessToldOtherwise)
{
    BOOST_TEST(EntryControlOptions().maximumMessageBytes == maximumControlMessageBytes(ControlTransportKind::Datagram));
    BOOST_TEST(maximumControlMessageBytes(ControlTransportKind::Zeromq) > maximumControlMessageBytes(ControlTransportKind::Datagram));
}
