#pragma once

#include "plantaindrift/base/Types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace plantaindrift {

/// \brief What an agent remembers about the first packet of a flow that it does not own.
enum class NoteKind : std::uint8_t {
    Passed, ///< this agent was unwilling and sent the packet to `owner`
    Claimed, ///< `owner` claims the flow; this agent itself while its own probe is on the way
    Redirected, ///< `owner` has the flow and renews this note
    Refused, ///< this agent refused the flow
    HalfOpen, ///< the target answered the SYN, and the handshake is not complete
    Orphaned ///< the agent that the note pointed to is gone; the flow may live further along the list
};

/// \brief One pass note; 32 bytes.
struct PassNote {
    FlowHash flow {};
    TimePoint expires;
    Endpoint owner;
    std::uint32_t sequence { 0 }; ///< TCP sequence number of the first packet
    NoteKind kind { NoteKind::Passed };
    bool strict { false }; ///< the flow must not be admitted twice, even after a crash
    bool used { false };
};

/// \brief Pass notes by flow: open addressing with linear probing, filled to at most one half.
///
/// Pointers stay valid until the next erase.
class PassNotes {
public:
    /// \brief Time that a note is kept: above the 63 s that five retransmissions of a SYN take from 1 s.
    static constexpr std::chrono::seconds lifetime { 70 };

    explicit PassNotes(std::size_t limit);

    /// \brief The note of a flow; null if there is none or it has expired.
    [[nodiscard]] PassNote* find(FlowHash flow, TimePoint now) noexcept;

    /// \brief Adds or replaces a note. \returns null at the bound
    PassNote* put(PassNote const& note) noexcept;

    void erase(PassNote& note) noexcept;

    /// \brief Erases expired notes in part of the table; the whole table is covered in `steps` calls.
    void sweep(TimePoint now, std::size_t steps) noexcept;

    /// \brief Visits every note; the visitor may change all but the flow.
    template <typename Visitor>
    void forEach(Visitor visitor) noexcept
    {
        for (PassNote& note : notes_) {
            if (note.used)
                visitor(note);
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] std::size_t limit() const noexcept { return limit_; }

private:
    [[nodiscard]] std::size_t home(FlowHash flow) const noexcept;
    [[nodiscard]] PassNote* lookUp(FlowHash flow) noexcept;

    std::vector<PassNote> notes_;
    std::size_t limit_;
    std::size_t size_ { 0 };
    std::size_t cursor_ { 0 };
    unsigned shift_;
};

} // namespace plantaindrift
