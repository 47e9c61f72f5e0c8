#pragma once

#include "plantaindrift/base/Types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantaindrift {

/// \brief Whether a flow may still carry new data.
enum class FlowState : std::uint8_t {
    Open,
    Finished, ///< the caller sent FIN
    Reset ///< the caller sent RST
};

/// \brief One flow of the local target; 64 bytes.
struct Flow {
    FlowHash hash {};
    TimePoint admitted;
    TimePoint lastPacket;
    TimePoint lastPayload;
    TimePoint lastRedirect;
    std::uint32_t listedIn { 0 }; ///< number of the last reconciliation that listed the flow
    std::uint32_t payloadEnd { 0 }; ///< TCP sequence number after the caller's last data
    FlowState state { FlowState::Open };
    Protocol protocol { Protocol::Tcp };
    bool used { false };
    bool confirmed { false }; ///< the caller sent more than a SYN
    bool hasPayload { false }; ///< the caller sent data
    bool inProgress { false }; ///< a request is on its way, or waits for its answer

    [[nodiscard]] bool isClosing() const noexcept { return state != FlowState::Open; }
};

/// \brief Flows of the local target: open addressing with linear probing, filled to at most one half.
///
/// Pointers stay valid until the next erase or resize.
class FlowTable {
public:
    /// \brief Changes the bound and keeps every flow; allocates.
    void resize(std::size_t limit);

    [[nodiscard]] Flow* find(FlowHash hash) noexcept;

    /// \brief Adds an open flow. \returns null at the bound
    Flow* insert(FlowHash hash, Protocol protocol, TimePoint now) noexcept;

    void erase(Flow& flow) noexcept;

    /// \brief Marks a flow as closing.
    void close(Flow& flow, FlowState state) noexcept;

    /// \brief Makes a closing flow open again.
    void reopen(Flow& flow) noexcept;

    void setInProgress(Flow& flow, bool inProgress) noexcept;

    /// \brief Visits every flow and erases those for which the visitor returns true; a flow may be visited twice.
    template <typename Visitor>
    void eraseIf(Visitor visitor) noexcept
    {
        for (std::size_t index = 0; index < flows_.size();) {
            if (flows_[index].used && visitor(flows_[index]))
                erase(flows_[index]); // Another flow may have moved here.
            else
                ++index;
        }
    }

    /// \brief Slot access for scans in steps; null for an unused slot.
    [[nodiscard]] Flow* slot(std::size_t index) noexcept { return flows_[index].used ? &flows_[index] : nullptr; }
    [[nodiscard]] std::size_t slotCount() const noexcept { return flows_.size(); }

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] std::size_t limit() const noexcept { return limit_; }
    [[nodiscard]] std::size_t openCount() const noexcept { return open_; }
    [[nodiscard]] std::size_t inProgressCount() const noexcept { return inProgress_; }

private:
    [[nodiscard]] std::size_t home(FlowHash hash) const noexcept;

    std::vector<Flow> flows_;
    std::size_t limit_ { 0 };
    std::size_t size_ { 0 };
    std::size_t open_ { 0 };
    std::size_t inProgress_ { 0 };
    unsigned shift_ { 64 };
};

} // namespace plantaindrift
