#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string>

namespace sardinehollow::gateway {

/**
 * Writes log lines to a descriptor that may be a full pipe: what it does not take is kept up to a
 * bound and dropped beyond it. For one thread.
 */
class NonBlockingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit NonBlockingSink(int descriptor);

    std::uint64_t droppedLines() const { return m_droppedLines; }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    const int m_descriptor;
    std::string m_pending;
    std::uint64_t m_droppedLines = 0;
};

} // namespace sardinehollow::gateway
