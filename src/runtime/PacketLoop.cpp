#include "runtime/PacketLoop.h"

#include "plantaindrift/base/Error.h"
#include "plantaindrift/packet/Encapsulation.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace plantaindrift {

namespace {

    constexpr std::size_t headroomBytes = maximumHeaderBytes;
    constexpr std::size_t slotBytes = headroomBytes + PacketLoop::maximumDatagramBytes;

    sockaddr_in toSocketAddress(Endpoint endpoint) noexcept
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(endpoint.address);
        address.sin_port = htons(endpoint.port);
        return address;
    }

    Endpoint toEndpoint(sockaddr_in const& address) noexcept
    {
        return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
    }

    PacketTime readClocks() noexcept
    {
        auto const wall = std::chrono::system_clock::now().time_since_epoch();
        auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(wall).count();
        return { std::chrono::steady_clock::now(), static_cast<std::uint32_t>(seconds), {} };
    }

    absl::Status socketError(char const* what, Endpoint endpoint)
    {
        std::string const reason = std::strerror(errno);
        return makeError(ErrorKind::InvalidSettings, absl::StrCat("cannot ", what, " UDP socket ", formatEndpoint(endpoint), ": ", reason, "; set an address of this machine and a free port"));
    }

} // namespace

struct PacketLoop::State {
    explicit State(int handle)
        : socket(handle)
        , buffers(batchSize * slotBytes)
    {
        for (std::size_t slot = 0; slot < batchSize; ++slot) {
            receiveVectors[slot] = { buffers.data() + slot * slotBytes + headroomBytes, maximumDatagramBytes };
            prepare(receiveMessages[slot].msg_hdr, senders[slot], receiveVectors[slot]);
            prepare(sendMessages[slot].msg_hdr, receivers[slot], sendVectors[slot]);
        }
    }

    ~State() { close(socket); }
    State(State const&) = delete;
    State& operator=(State const&) = delete;

    static void prepare(msghdr& message, sockaddr_in& address, iovec& vector) noexcept
    {
        message.msg_name = &address;
        message.msg_namelen = sizeof(address);
        message.msg_iov = &vector;
        message.msg_iovlen = 1;
    }

    [[nodiscard]] std::size_t receive() noexcept;
    void decide(std::size_t slot, PacketFilter& filter, PacketTime const& time) noexcept;
    void queue(std::size_t slot, PacketVerdict const& verdict) noexcept;
    void flush() noexcept;

    int socket;
    Endpoint local;
    PacketLoopCounts counts;
    std::size_t queued { 0 };
    std::vector<std::byte> buffers;
    std::array<sockaddr_in, batchSize> senders {};
    std::array<sockaddr_in, batchSize> receivers {};
    std::array<iovec, batchSize> receiveVectors {};
    std::array<iovec, batchSize> sendVectors {};
    std::array<mmsghdr, batchSize> receiveMessages {};
    std::array<mmsghdr, batchSize> sendMessages {};
};

std::size_t PacketLoop::State::receive() noexcept
{
    // recvmmsg overwrites the address lengths of the messages that it fills.
    for (mmsghdr& message : receiveMessages)
        message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    int const received = recvmmsg(socket, receiveMessages.data(), batchSize, MSG_DONTWAIT, nullptr);
    if (received < 0) {
        bool const isEmpty = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        counts.receiveErrors += isEmpty ? 0 : 1;
        return 0;
    }
    counts.received += static_cast<std::uint64_t>(received);
    return static_cast<std::size_t>(received);
}

void PacketLoop::State::decide(std::size_t slot, PacketFilter& filter, PacketTime const& time) noexcept
{
    mmsghdr const& message = receiveMessages[slot];
    if ((message.msg_hdr.msg_flags & MSG_TRUNC) != 0) {
        ++counts.oversized;
        return;
    }
    std::byte const* const start = buffers.data() + slot * slotBytes + headroomBytes;
    PacketVerdict const verdict = filter.decide({ start, message.msg_len }, toEndpoint(senders[slot]), time);
    if (verdict.to.isSet())
        queue(slot, verdict);
}

void PacketLoop::State::queue(std::size_t slot, PacketVerdict const& verdict) noexcept
{
    std::byte* const slotStart = buffers.data() + slot * slotBytes;
    std::byte* const datagram = slotStart + headroomBytes;
    std::byte* const slotEnd = slotStart + slotBytes;
    bool const isInside = verdict.payload.data() >= datagram && verdict.payload.data() + verdict.payload.size() <= slotEnd;
    std::byte* payload = isInside ? slotStart + (verdict.payload.data() - slotStart) : slotStart + std::min(verdict.header.size(), slotBytes);
    bool const fits = verdict.header.size() <= static_cast<std::size_t>(payload - slotStart)
        && verdict.payload.size() <= static_cast<std::size_t>(slotEnd - payload);
    if (!fits) {
        ++counts.sendFailed;
        return;
    }
    if (!isInside)
        std::copy(verdict.payload.begin(), verdict.payload.end(), payload);
    std::byte* const first = payload - verdict.header.size();
    std::copy(verdict.header.begin(), verdict.header.end(), first);
    sendVectors[queued] = { first, verdict.header.size() + verdict.payload.size() };
    receivers[queued] = toSocketAddress(verdict.to);
    ++queued;
}

void PacketLoop::State::flush() noexcept
{
    std::size_t offset = 0;
    while (offset < queued) {
        unsigned const remaining = static_cast<unsigned>(queued - offset);
        int const sent = sendmmsg(socket, sendMessages.data() + offset, remaining, MSG_DONTWAIT);
        if (sent > 0) {
            offset += static_cast<std::size_t>(sent);
            counts.sent += static_cast<std::uint64_t>(sent);
        } else if (errno != EINTR) {
            // The error is about the first message; the others may still be sent.
            ++counts.sendFailed;
            ++offset;
        }
    }
    queued = 0;
}

PacketLoop::PacketLoop(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{
}

PacketLoop::~PacketLoop() = default;
PacketLoop::PacketLoop(PacketLoop&& other) noexcept = default;
PacketLoop& PacketLoop::operator=(PacketLoop&& other) noexcept = default;

absl::StatusOr<PacketLoop> PacketLoop::open(PacketLoopOptions const& options)
{
    int const handle = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_UDP);
    if (handle < 0)
        return socketError("create", options.bind);
    std::unique_ptr<State> state = std::make_unique<State>(handle);
    // With a smaller buffer than requested, packets are lost only in bursts, so that a failure here is not an error.
    (void)setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &options.receiveBufferBytes, sizeof(options.receiveBufferBytes));
    (void)setsockopt(handle, SOL_SOCKET, SO_SNDBUF, &options.sendBufferBytes, sizeof(options.sendBufferBytes));
    sockaddr_in address = toSocketAddress(options.bind);
    if (bind(handle, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) != 0)
        return socketError("bind", options.bind);
    socklen_t length = sizeof(address);
    if (getsockname(handle, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        return socketError("name", options.bind);
    state->local = toEndpoint(address);
    return PacketLoop { std::move(state) };
}

int PacketLoop::nativeHandle() const noexcept
{
    return state_->socket;
}

Endpoint PacketLoop::localEndpoint() const noexcept
{
    return state_->local;
}

std::size_t PacketLoop::runOnce(PacketFilter& filter, Duration maximumWait) noexcept
{
    std::size_t const received = state_->receive();
    if (received == 0)
        return 0;
    PacketTime time = readClocks();
    time.maximumWait = maximumWait;
    for (std::size_t slot = 0; slot < received; ++slot)
        state_->decide(slot, filter, time);
    state_->flush();
    return received;
}

bool PacketLoop::waitReadable(std::chrono::milliseconds timeout) const noexcept
{
    pollfd descriptor { state_->socket, POLLIN, 0 };
    return poll(&descriptor, 1, static_cast<int>(timeout.count())) > 0;
}

bool PacketLoop::send(Endpoint to, std::span<std::byte const> bytes) noexcept
{
    sockaddr_in const address = toSocketAddress(to);
    ssize_t const sent = sendto(state_->socket, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
    bool const isSent = sent == static_cast<ssize_t>(bytes.size());
    ++(isSent ? state_->counts.sent : state_->counts.sendFailed);
    return isSent;
}

PacketLoopCounts PacketLoop::counts() const noexcept
{
    return state_->counts;
}

} // namespace plantaindrift
