#include "runtime/LogOutput.h"

#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace plantaindrift {

LogOutput::LogOutput(int descriptor, std::size_t capacityBytes, NoticeFormat noticeFormat)
    : descriptor_(descriptor)
    , capacityBytes_(capacityBytes)
    , noticeFormat_(std::move(noticeFormat))
{
    makeNonBlocking();
}

LogOutput::~LogOutput()
{
    flush();
    if (isOwned_)
        ::close(descriptor_);
}

// The flag O_NONBLOCK belongs to the open file description, which other processes may share, so that a pipe or terminal is
// opened anew. A regular file never makes the writer wait for a reader, and opening it anew would change the position.
void LogOutput::makeNonBlocking()
{
    struct stat status { };
    if (::fstat(descriptor_, &status) != 0 || S_ISREG(status.st_mode))
        return;
    isSocket_ = S_ISSOCK(status.st_mode);
    if (isSocket_)
        return;
    std::string const path = "/proc/self/fd/" + std::to_string(descriptor_);
    int const opened = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY);
    if (opened >= 0) {
        descriptor_ = opened;
        isOwned_ = true;
        return;
    }
    int const flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        (void)::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void LogOutput::write(std::string_view line)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    drain();
    appendNotice();
    bool const hasRoom = omittedLines_ == 0 && pendingBytes() + line.size() < capacityBytes_;
    if (!hasRoom) {
        ++omittedLines_;
        return;
    }
    append(line);
    drain();
}

void LogOutput::flush()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    drain();
    appendNotice();
    drain();
}

std::uint64_t LogOutput::omittedLines() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return omittedLines_;
}

void LogOutput::append(std::string_view line)
{
    pending_ += line;
    pending_ += '\n';
}

// Half of the buffer has to be free, so that a slow reader does not get a notice for every few lines.
void LogOutput::appendNotice()
{
    if (omittedLines_ == 0 || pendingBytes() > capacityBytes_ / 2)
        return;
    append(noticeFormat_(std::exchange(omittedLines_, 0)));
}

void LogOutput::drain()
{
    while (pendingBytes() > 0) {
        std::ptrdiff_t const taken = writeSome(std::string_view(pending_).substr(writtenBytes_));
        if (taken <= 0)
            break;
        writtenBytes_ += static_cast<std::size_t>(taken);
    }
    bool const isMostlyWritten = writtenBytes_ > 0 && writtenBytes_ >= pending_.size() / 2;
    if (isMostlyWritten)
        pending_.erase(0, std::exchange(writtenBytes_, 0));
}

std::ptrdiff_t LogOutput::writeSome(std::string_view bytes) const noexcept
{
    std::ptrdiff_t taken = -1;
    do
        taken = isSocket_ ? ::send(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL) : ::write(descriptor_, bytes.data(), bytes.size());
    while (taken < 0 && errno == EINTR);
    return taken;
}

} // namespace plantaindrift
