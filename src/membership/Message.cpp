#include "membership/Message.h"

#include <utility>

namespace plantaindrift {

std::optional<control::Envelope> decodeEnvelope(std::span<std::byte const> bytes)
{
    if (bytes.empty() || bytes.size() > maximumMessageBytes)
        return std::nullopt;
    control::Envelope envelope;
    bool const parsed = envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (!parsed || envelope.body_case() == control::Envelope::BODY_NOT_SET)
        return std::nullopt;
    return envelope;
}

void Outbox::send(Endpoint to, control::Envelope const& envelope)
{
    if (!to.isSet())
        return;
    messages_.push_back({ to, envelope.SerializeAsString() });
    counts_.sentBytes += messages_.back().bytes.size();
}

void Outbox::send(std::vector<ControlMessage> messages)
{
    for (ControlMessage& message : messages) {
        counts_.sentBytes += message.bytes.size();
        messages_.push_back(std::move(message));
    }
}

std::vector<ControlMessage> Outbox::take()
{
    return std::exchange(messages_, {});
}

} // namespace plantaindrift
