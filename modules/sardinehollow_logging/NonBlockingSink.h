#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace sardinehollow::logging {

/**
 * Writes log lines to a descriptor that may be a full pipe, without blocking. Lines that the
 * descriptor does not accept are buffered; a line that does not fit into the buffer is dropped and
 * counted. Safe for concurrent use.
 */
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex>
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

} // namespace sardinehollow::logging
