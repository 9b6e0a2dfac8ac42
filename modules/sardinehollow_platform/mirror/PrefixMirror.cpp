#include "sardinehollow_platform/mirror/PrefixMirror.h"

namespace sardinehollow::platform {

namespace {

constexpr core::Duration firstPause = std::chrono::milliseconds(100);
constexpr core::Duration longestPause = std::chrono::milliseconds(500);

} // namespace

PrefixMirror::PrefixMirror(KeyValueStore &store, CallPurpose purpose, std::string prefix,
                           MirrorListener &listener, std::uint64_t seed)
    : m_store(store)
    , m_purpose(purpose)
    , m_prefix(std::move(prefix))
    , m_listener(listener)
    , m_random(seed)
    , m_backOff(m_random, firstPause, longestPause)
    , m_thread([this] { run(); })
{ }

PrefixMirror::~PrefixMirror()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void PrefixMirror::run()
{
    bool hasSnapshot = false;
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopping)
                return;
        }
        if (!hasSnapshot && !read()) {
            pause();
            continue;
        }
        hasSnapshot = true;
        const core::Error reason = watch();
        // A store that forgot its history or returned to older data has to be read anew.
        hasSnapshot = reason.kind != core::ErrorKind::NotFound
                && reason.kind != core::ErrorKind::Conflict;
        if (!hasSnapshot)
            continue;
        noteLost(reason);
        pause();
    }
}

bool PrefixMirror::read()
{
    const core::Result<RangeResult> result = m_store.range(m_purpose, m_prefix, true);
    if (!result) {
        noteLost(result.error());
        return false;
    }
    noteRegained();
    {
        const std::lock_guard lock(m_mutex);
        m_revision = result->revision;
    }
    m_listener.onSnapshot(result->keyValues);
    return true;
}

core::Error PrefixMirror::watch()
{
    std::int64_t revision = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_watchEnd.reset();
        m_isRecheckDue = false;
        revision = m_revision;
    }
    const core::Result<std::unique_ptr<Watch>> running
            = m_store.watch(m_purpose, m_prefix, true, revision, *this);
    if (!running)
        return running.error();
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_watchEnd || m_isStopping || m_isRecheckDue; });
    return m_watchEnd.value_or(core::Error {core::ErrorKind::Unavailable,
                                            "the store left another call without an answer",
                                            "see the state of the platform's store"});
}

void PrefixMirror::recheck()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isRecheckDue = true;
    }
    m_changed.notify_all();
}

void PrefixMirror::onChanged(const std::vector<KeyValue> &keyValues, std::int64_t revision)
{
    noteRegained();
    {
        const std::lock_guard lock(m_mutex);
        m_revision = std::max(m_revision, revision);
    }
    if (!keyValues.empty())
        m_listener.onChanged(keyValues);
}

void PrefixMirror::onEnded(const core::Error &reason)
{
    {
        const std::lock_guard lock(m_mutex);
        m_watchEnd = reason;
    }
    m_changed.notify_all();
}

void PrefixMirror::noteLost(const core::Error &reason)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isLost || m_isStopping)
            return;
        m_isLost = true;
    }
    m_listener.onStoreLost(reason);
}

void PrefixMirror::noteRegained()
{
    {
        const std::lock_guard lock(m_mutex);
        m_backOff.reset();
        if (!m_isLost)
            return;
        m_isLost = false;
    }
    m_listener.onStoreRegained();
}

void PrefixMirror::pause()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, m_backOff.next(), [this] { return m_isStopping; });
}

} // namespace sardinehollow::platform
