#include "plantaindrift/runtime/UdpSocket.h"

#include "plantaindrift/base/Error.h"

#include <array>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace plantaindrift {

namespace {

    constexpr std::size_t maximumDatagramBytes = 65536;
    constexpr int kernelBufferBytes = 4 << 20;
    // Limits how long timers and control messages are delayed by received datagrams.
    constexpr int datagramsPerTurn = 256;

    sockaddr_in toSocketAddress(Endpoint endpoint) noexcept
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(endpoint.address);
        address.sin_port = htons(endpoint.port);
        return address;
    }

    iovec toVector(std::span<std::byte const> bytes) noexcept
    {
        // sendmsg takes pointers to mutable bytes but does not modify them.
        return { const_cast<std::byte*>(bytes.data()), bytes.size() };
    }

} // namespace

UdpSocket::UdpSocket(asio::io_context& loop)
    : socket_(loop)
    , buffer_(maximumDatagramBytes)
{
}

absl::Status UdpSocket::start(Endpoint address, Receiver receiver)
{
    receiver_ = std::move(receiver);
    try {
        socket_.open(asio::ip::udp::v4());
        socket_.set_option(asio::socket_base::receive_buffer_size(kernelBufferBytes));
        socket_.set_option(asio::socket_base::send_buffer_size(kernelBufferBytes));
        socket_.bind(asio::ip::udp::endpoint(asio::ip::address_v4(address.address), address.port));
        socket_.non_blocking(true);
    } catch (std::exception const& error) {
        return makeError(ErrorKind::InvalidSettings, "cannot receive UDP on " + formatEndpoint(address) + ": " + error.what() + "; choose a free address in the settings");
    }
    wait();
    return absl::OkStatus();
}

void UdpSocket::send(Endpoint to, std::span<std::byte const> header, std::span<std::byte const> body) noexcept
{
    sockaddr_in address = toSocketAddress(to);
    std::array<iovec, 2> parts { toVector(header), toVector(body) };
    msghdr message {};
    message.msg_name = &address;
    message.msg_namelen = sizeof(address);
    message.msg_iov = parts.data();
    message.msg_iovlen = body.empty() ? 1 : 2;
    if (::sendmsg(socket_.native_handle(), &message, MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
        ++counts_.sendErrors;
    else
        ++counts_.sent;
}

void UdpSocket::stop()
{
    asio::error_code ignored;
    socket_.close(ignored);
}

void UdpSocket::wait()
{
    socket_.async_wait(asio::ip::udp::socket::wait_read, [this](asio::error_code const& error) {
        if (error)
            return;
        receiveBatch();
        if (socket_.is_open())
            wait();
    });
}

void UdpSocket::receiveBatch()
{
    for (int count = 0; count < datagramsPerTurn && socket_.is_open(); ++count) {
        sockaddr_in from {};
        socklen_t fromLength = sizeof(from);
        ssize_t const length = ::recvfrom(socket_.native_handle(), buffer_.data(), buffer_.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &fromLength);
        if (length < 0)
            return;
        ++counts_.received;
        receiver_({ buffer_.data(), static_cast<std::size_t>(length) }, { ntohl(from.sin_addr.s_addr), ntohs(from.sin_port) });
    }
}

} // namespace plantaindrift
