#pragma once

#include <Poco/Process.h>

#include <atomic>
#include <csignal>
#include <string>
#include <thread>

namespace sardinehollow::apps {

/**
 * Starts the stand-in and the daemons with scripts/demo, and stops them on destruction. A
 * termination request to this process stops the system and ends the process; so does the end of the
 * system itself.
 */
class SpawnedSystem
{
public:
    /** The system writes its addresses to the file once it is ready. */
    SpawnedSystem(const std::string &deployment, std::string addressFile);
    ~SpawnedSystem();

    SpawnedSystem(const SpawnedSystem &) = delete;
    SpawnedSystem &operator=(const SpawnedSystem &) = delete;

    /** Waits until the address file exists; returns false on time-out. */
    bool waitUntilReady() const;

private:
    void supervise();
    void stop();

    const std::string m_addressFile;
    Poco::ProcessHandle m_process;
    sigset_t m_stopSignals {};
    std::atomic<bool> m_isStopping {false};
    std::thread m_supervisor;
};

} // namespace sardinehollow::apps
