#include "SpawnedSystem.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace sardinehollow::apps {

namespace {

constexpr std::chrono::seconds startTimeout {60};
constexpr std::chrono::milliseconds pollInterval {100};
constexpr int signalExitBase = 128;
constexpr int failedExitCode = 1;

} // namespace

SpawnedSystem::SpawnedSystem(const std::string &deployment, std::string addressFile)
    : m_addressFile(std::move(addressFile))
    , m_process(Poco::Process::launch("scripts/demo",
                                      {"--deployment", deployment, "--keep", m_addressFile}))
{
    // Blocked after the launch, because the system would inherit the signal mask.
    sigemptyset(&m_stopSignals);
    sigaddset(&m_stopSignals, SIGINT);
    sigaddset(&m_stopSignals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &m_stopSignals, nullptr);
    m_supervisor = std::thread([this] { supervise(); });
}

SpawnedSystem::~SpawnedSystem()
{
    m_isStopping = true;
    m_supervisor.join();
    stop();
}

bool SpawnedSystem::waitUntilReady() const
{
    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (std::filesystem::exists(m_addressFile))
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

void SpawnedSystem::supervise()
{
    const timespec timeout {
            0, std::chrono::duration_cast<std::chrono::nanoseconds>(pollInterval).count()};
    while (!m_isStopping) {
        const int signal = sigtimedwait(&m_stopSignals, nullptr, &timeout);
        if (signal > 0) {
            stop();
            std::_Exit(signalExitBase + signal);
        }
        // -1 as long as the process runs.
        if (m_process.tryWait() != -1) {
            std::cerr << "the system has ended; run scripts/demo to see why" << std::endl;
            std::filesystem::remove(m_addressFile);
            std::_Exit(failedExitCode);
        }
    }
}

void SpawnedSystem::stop()
{
    Poco::Process::requestTermination(m_process.id());
    m_process.wait();
    std::filesystem::remove(m_addressFile);
}

} // namespace sardinehollow::apps
