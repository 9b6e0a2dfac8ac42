#include "sardinehollow_daemon/claims/ClaimServiceRunner.h"

namespace sardinehollow::daemon {

namespace {

// Upper bound on how late a due batch or time-out is handled.
constexpr std::chrono::milliseconds pollInterval {5};

} // namespace

ClaimServiceRunner::ClaimServiceRunner(peer::ClaimServiceSettings settings,
                                       peer::ClaimJournal &journal,
                                       const core::MonotonicClock &clock,
                                       ResponseHandler onResponse)
    : m_journal(journal)
    , m_clock(clock)
    , m_onResponse(std::move(onResponse))
    , m_service(std::move(settings))
    , m_thread([this] { run(); })
{ }

ClaimServiceRunner::~ClaimServiceRunner()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void ClaimServiceRunner::setOwner(bool owner)
{
    const std::lock_guard lock(m_mutex);
    m_service.setOwner(owner);
}

void ClaimServiceRunner::setKinds(const peer::ClaimKinds &kinds)
{
    const std::lock_guard lock(m_mutex);
    m_service.setKinds(kinds);
}

void ClaimServiceRunner::setBatchInterval(core::Duration interval)
{
    const std::lock_guard lock(m_mutex);
    m_service.setBatchInterval(interval);
}

peer::ClaimService::Responses ClaimServiceRunner::handle(const peer::ClaimCall &call)
{
    peer::ClaimService::Responses responses;
    {
        const std::lock_guard lock(m_mutex);
        responses = m_service.handle(call, m_clock.now());
    }
    m_changed.notify_all();
    return responses;
}

std::string ClaimServiceRunner::scope() const
{
    const std::lock_guard lock(m_mutex);
    return m_service.scope();
}

std::size_t ClaimServiceRunner::claimCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_service.claimCount();
}

bool ClaimServiceRunner::hasResigned() const
{
    const std::lock_guard lock(m_mutex);
    return !m_service.isServing();
}

void ClaimServiceRunner::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto wall = std::chrono::system_clock::now().time_since_epoch();
        m_service.setWallClock(std::chrono::duration_cast<std::chrono::seconds>(wall));
        peer::ClaimService::Responses responses = m_service.advance(m_clock.now());
        const std::optional<peer::JournalRequest> request = m_service.nextRequest(m_clock.now());
        if (!request && responses.empty()) {
            m_changed.wait_for(lock, pollInterval);
            continue;
        }
        lock.unlock();
        respond(responses);
        if (request) {
            const peer::JournalResult result = m_journal.call(*request);
            lock.lock();
            responses = m_service.onJournalResult(result, m_clock.now());
            lock.unlock();
            respond(responses);
        }
        lock.lock();
    }
}

void ClaimServiceRunner::respond(const peer::ClaimService::Responses &responses) const
{
    for (const peer::ClaimResponse &response : responses)
        m_onResponse(response);
}

} // namespace sardinehollow::daemon
