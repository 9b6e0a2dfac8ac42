#include "sardinehollow_platform/mirror/PrefixMirror.h"

#include <utility>

namespace sardinehollow::platform {

namespace {

constexpr core::Duration initialRetryDelay = std::chrono::milliseconds(100);
constexpr core::Duration maxRetryDelay = std::chrono::milliseconds(500);

} // namespace

PrefixMirror::PrefixMirror(KeyValueStore &store, CallPurpose purpose, std::string prefix,
                           MirrorListener &listener, std::uint64_t seed,
                           core::Duration initialPause, bool isActive)
    : m_store(store)
    , m_purpose(purpose)
    , m_prefix(std::move(prefix))
    , m_listener(listener)
    , m_initialPause(initialPause)
    , m_random(seed)
    , m_backOff(m_random, initialRetryDelay, maxRetryDelay)
    , m_isActive(isActive)
    , m_thread([this] { run(); })
{ }

PrefixMirror::~PrefixMirror()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void PrefixMirror::run()
{
    bool isFirst = true;
    bool hasSnapshot = false;
    bool hasPaused = false;
    while (waitUntilActive()) {
        // The listener may have got its first contents elsewhere while the mirror was inactive.
        hasSnapshot = hasSnapshot || (isFirst && revision() > 0);
        hasPaused = hasPaused || hasSnapshot;
        isFirst = false;
        if (!hasSnapshot) {
            if (!readSnapshot()) {
                waitForRetry();
                continue;
            }
            hasSnapshot = true;
            if (!std::exchange(hasPaused, true))
                waitForInitialPause();
        }
        const std::optional<core::Error> reason = runWatch();
        if (!reason)
            continue;
        // NotFound: the changes since m_revision were compacted. Conflict: the store's revision
        // went back. In both cases a watch cannot resume, and a new snapshot is needed.
        hasSnapshot = reason->kind != core::ErrorKind::NotFound
                && reason->kind != core::ErrorKind::Conflict;
        if (!hasSnapshot)
            continue;
        reportLost(*reason);
        waitForRetry();
    }
}

bool PrefixMirror::waitUntilActive()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] { return m_isActive || m_isStopping; });
    return !m_isStopping;
}

void PrefixMirror::waitForInitialPause()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, m_initialPause,
                    [this] { return m_isStopping || !m_isActive || m_isWatchRestartDue; });
}

bool PrefixMirror::readSnapshot()
{
    m_listener.onSnapshotRequested();
    // An older copy would put a configuration in force that has been replaced, and a watch from its
    // revision on may report nothing for a while.
    const core::Result<RangeResult> result
            = m_store.range(m_purpose, m_prefix, true, Freshness::Current);
    if (!result) {
        reportLost(result.error());
        return false;
    }
    reportRegained();
    {
        const std::lock_guard lock(m_mutex);
        m_revision = result->revision;
    }
    m_listener.onSnapshot(result->keyValues);
    return true;
}

std::optional<core::Error> PrefixMirror::runWatch()
{
    std::int64_t revision = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_watchEndReason.reset();
        m_isWatchRestartDue = false;
        revision = m_revision;
    }
    const core::Result<std::unique_ptr<Watch>> running
            = m_store.watch(m_purpose, m_prefix, true, revision, *this);
    if (!running)
        return running.error();
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] {
        return m_watchEndReason || m_isStopping || m_isWatchRestartDue || !m_isActive;
    });
    // Decided under the lock: the mirror may be active again before this thread continues.
    if (!m_isActive && !m_watchEndReason)
        return std::nullopt;
    return m_watchEndReason.value_or(
            core::Error {core::ErrorKind::Unavailable,
                         "the store did not respond to another call; the watch is restarted",
                         "check the state of the platform's store"});
}

void PrefixMirror::restartWatch()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isWatchRestartDue = true;
    }
    m_wake.notify_all();
}

void PrefixMirror::setActive(bool isActive)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isActive = isActive;
    }
    m_wake.notify_all();
}

void PrefixMirror::advanceTo(std::int64_t revision)
{
    const std::lock_guard lock(m_mutex);
    m_revision = std::max(m_revision, revision);
}

std::int64_t PrefixMirror::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

void PrefixMirror::onChanged(const std::vector<KeyValue> &keyValues, std::int64_t revision)
{
    onPartOfChanges(keyValues, revision);
    m_listener.onUpToDate();
}

void PrefixMirror::onPartOfChanges(const std::vector<KeyValue> &keyValues, std::int64_t revision)
{
    reportRegained();
    advanceTo(revision);
    if (!keyValues.empty())
        m_listener.onChanged(keyValues);
}

void PrefixMirror::onEnded(const core::Error &reason)
{
    {
        const std::lock_guard lock(m_mutex);
        m_watchEndReason = reason;
    }
    m_wake.notify_all();
}

void PrefixMirror::reportLost(const core::Error &reason)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStoreLost || m_isStopping)
            return;
        m_isStoreLost = true;
    }
    m_listener.onStoreLost(reason);
}

void PrefixMirror::reportRegained()
{
    {
        const std::lock_guard lock(m_mutex);
        m_backOff.reset();
        if (!m_isStoreLost)
            return;
        m_isStoreLost = false;
    }
    m_listener.onStoreRegained();
}

void PrefixMirror::waitForRetry()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, m_backOff.next(), [this] { return m_isStopping; });
}

} // namespace sardinehollow::platform
