#include "sardinehollow_logging/NonBlockingSink.h"

#include <poll.h>
#include <unistd.h>

namespace sardinehollow::logging {

namespace {

constexpr std::size_t mostPendingBytes = 256 * 1024;
// A pipe that can be written to takes at least this much (PIPE_BUF) without blocking.
constexpr std::size_t pipeBytes = 4096;

// As many whole lines as one write takes, so that a process that is killed leaves no half of one.
std::size_t nextWrite(const std::string &pending)
{
    const std::size_t end = pending.rfind('\n', pipeBytes - 1);
    return end == std::string::npos ? std::min(pending.size(), pipeBytes) : end + 1;
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
    if (m_pending.size() + line.size() > mostPendingBytes)
        ++m_droppedLines;
    else
        m_pending.append(line.data(), line.size());
    // Lines are written in groups: a call for each would cost more than the line.
    if (m_pending.size() >= pipeBytes)
        flush_();
}

void NonBlockingSink::flush_()
{
    // The descriptor is shared with other processes, so that it cannot be made non-blocking.
    while (!m_pending.empty() && canWrite(m_descriptor)) {
        const ssize_t count = write(m_descriptor, m_pending.data(), nextWrite(m_pending));
        if (count <= 0)
            return;
        m_pending.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace sardinehollow::logging
