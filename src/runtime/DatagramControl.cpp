#include "runtime/DatagramControl.h"

#include "packet/Tag.h"
#include "packet/Wire.h"
#include "plantaindrift/runtime/Log.h"
#include "runtime/ControlSocket.h"
#include "runtime/DaemonCore.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>
#include <vector>

namespace plantaindrift {

namespace {

    struct ControlHeader {
        wire::big_uint8_buf_t keyEpoch;
        wire::big_uint24_buf_t reserved;
        wire::big_uint32_buf_t sentSeconds;
        Tag tag;
    };
    static_assert(sizeof(ControlHeader) == 24);

    Tag computeControlTag(ControlHeader header, std::span<std::byte const> message, DatagramKey const& key)
    {
        header.tag.fill(0);
        std::vector<std::byte> input(sizeof(header) + message.size());
        wire::write(header, input);
        std::copy(message.begin(), message.end(), input.begin() + sizeof(header));
        return computeTag(input, key);
    }

} // namespace

DatagramControl::DatagramControl(asio::io_context& loop, Endpoint self, FleetKeys const& keys, Receiver receiver)
    : socket_(loop)
    , self_(self)
    , keys_(makeKeyRing(keys))
    , receiver_(std::move(receiver))
{
}

absl::Status DatagramControl::start()
{
    return socket_.start(self_, [this](std::span<std::byte const> datagram, Endpoint from) { receive(datagram, from); });
}

void DatagramControl::send(Endpoint to, std::string_view bytes)
{
    if (bytes.size() > maximumMessageBytes) {
        ++counts_.dropped;
        longestDropped_ = std::max(longestDropped_, bytes.size());
        return;
    }
    std::span<std::byte const> const message = std::as_bytes(std::span(bytes.data(), bytes.size()));
    ControlHeader header;
    header.keyEpoch = keys_.keys.front().epoch;
    header.reserved = 0;
    header.sentSeconds = wallClockSeconds();
    header.tag = computeControlTag(header, message, keys_.keys.front());
    std::array<std::byte, sizeof(ControlHeader)> headerBytes;
    wire::write(header, headerBytes);
    socket_.send(to, headerBytes, message);
    ++counts_.sent;
}

void DatagramControl::receive(std::span<std::byte const> datagram, Endpoint from)
{
    if (datagram.size() < sizeof(ControlHeader)) {
        ++counts_.malformed;
        return;
    }
    ControlHeader const header = wire::read<ControlHeader>(datagram);
    std::span<std::byte const> const message = datagram.subspan(sizeof(ControlHeader));
    DatagramKey const* const key = findKey(keys_, header.keyEpoch.value());
    bool const isAuthentic = key != nullptr && isEqualTag(header.tag, computeControlTag(header, message, *key));
    if (!isAuthentic || isStale(header.sentSeconds.value(), wallClockSeconds())) {
        ++counts_.refusedPeers;
        return;
    }
    ++counts_.received;
    receiver_(from, message);
}

absl::Status DatagramControl::setKeys(FleetKeys keys)
{
    keys_ = makeKeyRing(keys);
    return absl::OkStatus();
}

void DatagramControl::tick(TimePoint now)
{
    constexpr std::chrono::seconds logInterval { 1 };
    if (longestDropped_ == 0 || now - lastLogged_ < logInterval)
        return;
    lastLogged_ = now;
    logEvent(LogLevel::Warning, "control_message_too_long", { { "bytes", std::exchange(longestDropped_, 0) }, { "maximum", maximumMessageBytes } });
}

void DatagramControl::stop()
{
    socket_.stop();
}

std::size_t maximumControlMessageBytes(ControlTransportKind kind) noexcept
{
    return kind == ControlTransportKind::Datagram ? DatagramControl::maximumMessageBytes : ControlSocket::maximumMessageBytes;
}

std::unique_ptr<ControlTransport> makeControlTransport(asio::io_context& loop, CommonSettings const& settings, FleetKeys keys, ControlTransport::Receiver receiver)
{
    if (settings.controlTransport == ControlTransportKind::Datagram)
        return std::make_unique<DatagramControl>(loop, settings.control, keys, std::move(receiver));
    return std::make_unique<ControlSocket>(loop, settings.control, std::move(keys), std::move(receiver));
}

} // namespace plantaindrift
