#pragma once

#include "balancing/LinkBudget.h"
#include "plantaindrift/relay/RelaySender.h"

namespace plantaindrift {

/// \brief Counts the messages that an entry sends by itself.
class CountingSender final : public RelaySender {
public:
    explicit CountingSender(RelaySender& sender)
        : sender_(sender)
    {
    }

    /// \brief Sets the counter; called before the first message.
    void setLink(LinkBudget& link) noexcept { link_ = &link; }

    /// \brief Sets the time of the messages that follow.
    void setTime(TimePoint now) noexcept { now_ = now; }

    void send(Endpoint to, std::span<std::byte const> datagram) noexcept override
    {
        link_->recordSent(datagram.size(), now_);
        sender_.send(to, datagram);
    }

private:
    RelaySender& sender_;
    LinkBudget* link_ { nullptr };
    TimePoint now_;
};

} // namespace plantaindrift
