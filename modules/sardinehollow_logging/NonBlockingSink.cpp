#include "sardinehollow_logging/NonBlockingSink.h"

#include <poll.h>
#include <unistd.h>

namespace sardinehollow::logging {

namespace {

constexpr std::size_t maximumPendingBytes = 256 * 1024;
// PIPE_BUF: a pipe that poll() reports as writable accepts at least this many bytes without
// blocking.
constexpr std::size_t maximumWriteBytes = 4096;

// Returns the size of the next write: as many whole lines as fit, so that a process that is killed
// does not leave a partial line. A line that does not fit is split.
std::size_t nextWriteSize(const std::string &pending)
{
    const std::size_t end = pending.rfind('\n', maximumWriteBytes - 1);
    return end == std::string::npos ? std::min(pending.size(), maximumWriteBytes) : end + 1;
}

bool canWrite(int descriptor)
{
    pollfd state {descriptor, POLLOUT, 0};
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace

NonBlockingSink::NonBlockingSink(int descriptor)
    : m_descriptor(descriptor)
{ }

void NonBlockingSink::sink_it_(const spdlog::details::log_msg &message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_pending.size() + line.size() > maximumPendingBytes)
        ++m_droppedLines;
    else
        m_pending.append(line.data(), line.size());
    // Lines are written in batches: a system call for each would cost more than the line itself.
    if (m_pending.size() >= maximumWriteBytes)
        flush_();
}

void NonBlockingSink::flush_()
{
    // The descriptor is shared with other processes, so it must not be made non-blocking.
    while (!m_pending.empty() && canWrite(m_descriptor)) {
        const ssize_t count = write(m_descriptor, m_pending.data(), nextWriteSize(m_pending));
        if (count <= 0)
            return;
        m_pending.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace sardinehollow::logging
