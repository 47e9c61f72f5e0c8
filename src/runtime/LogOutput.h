#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace plantaindrift {

/// \brief Writes log lines to a descriptor without ever waiting for its reader.
///
/// Lines that the descriptor does not take are buffered up to a limit; further lines are left out and counted. A notice
/// with their number is written once the buffer has room again.
class LogOutput {
public:
    /// \brief Formats the notice of lines that were left out, without a line break.
    using NoticeFormat = std::function<std::string(std::uint64_t lines)>;

    /// \param descriptor  stays open and is not closed; its open file description is left as it is where the system permits it
    /// \param capacityBytes  limit of the buffer, in bytes
    LogOutput(int descriptor, std::size_t capacityBytes, NoticeFormat noticeFormat);
    ~LogOutput();
    LogOutput(LogOutput const&) = delete;
    LogOutput& operator=(LogOutput const&) = delete;

    /// \brief Writes or buffers a line, or leaves it out if the buffer is full.
    ///
    /// \param line  without a line break
    void write(std::string_view line);

    /// \brief Writes as much of the buffer as the descriptor takes.
    void flush();

    /// \brief Number of lines left out since the last notice.
    [[nodiscard]] std::uint64_t omittedLines() const;

private:
    int descriptor_;
    std::size_t capacityBytes_;
    NoticeFormat noticeFormat_;
    bool isOwned_ { false };
    bool isSocket_ { false };
    mutable std::mutex mutex_;
    std::string pending_;
    std::size_t writtenBytes_ { 0 }; ///< number of bytes at the front of pending_ that the descriptor has taken
    std::uint64_t omittedLines_ { 0 };

    void makeNonBlocking();
    [[nodiscard]] std::size_t pendingBytes() const noexcept { return pending_.size() - writtenBytes_; }
    void append(std::string_view line);
    void appendNotice();
    void drain();
    [[nodiscard]] std::ptrdiff_t writeSome(std::string_view bytes) const noexcept;
};

} // namespace plantaindrift
