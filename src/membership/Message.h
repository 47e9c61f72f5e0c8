#pragma once

#include "plantaindrift/membership/EntryControl.h"

#include "control.pb.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace plantaindrift {

/// \brief Largest control message that is decoded; a shard of the two-year size has 20 KB.
inline constexpr std::size_t maximumMessageBytes = 1U << 20U;

/// \brief Decodes an envelope, or nothing if it is malformed or empty.
[[nodiscard]] std::optional<control::Envelope> decodeEnvelope(std::span<std::byte const> bytes);

/// \brief Messages to send, with the count of their bytes.
class Outbox {
public:
    explicit Outbox(EntryControl::Counts& counts) noexcept
        : counts_(counts)
    {
    }

    /// \brief Adds a message; one without a destination is dropped.
    void send(Endpoint to, control::Envelope const& envelope);

    /// \brief Adds messages that are encoded already.
    void send(std::vector<ControlMessage> messages);

    [[nodiscard]] std::vector<ControlMessage> take();

private:
    EntryControl::Counts& counts_;
    std::vector<ControlMessage> messages_;
};

} // namespace plantaindrift
