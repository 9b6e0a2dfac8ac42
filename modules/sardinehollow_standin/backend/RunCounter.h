#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sardinehollow::standin {

/** Counts how often each idempotency key was executed, over all simulated backend servers. */
class RunCounter
{
public:
    void record(const std::string &key);
    std::map<std::string, std::uint32_t> runs() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint32_t> m_runs;
};

} // namespace sardinehollow::standin
