#include "sardinehollow_platform/lease/LeasedKey.h"

#include "sardinehollow_core/time/SystemClock.h"

namespace sardinehollow::platform {

namespace {

constexpr core::Duration initialRetryDelay = std::chrono::milliseconds(100);
constexpr core::Duration maxRetryDelay = std::chrono::milliseconds(500);
// Two renewals in a row may fail before the lease expires.
constexpr int renewalsPerLifetime = 3;
// Another write may come between reading the revision and writing, such as a late one of this key.
constexpr int maxWriteAttempts = 3;

} // namespace

LeasedKey::LeasedKey(KeyValueStore &store, CallPurpose purpose, std::string key, std::string value,
                     std::chrono::seconds lifetime, std::uint64_t seed, FailureHandler onFailure,
                     SuccessHandler onSuccess)
    : m_store(store)
    , m_purpose(purpose)
    , m_key(std::move(key))
    , m_lifetime(lifetime)
    , m_onFailure(std::move(onFailure))
    , m_onSuccess(std::move(onSuccess))
    , m_random(seed)
    , m_backOff(m_random, initialRetryDelay, maxRetryDelay)
    , m_value(std::move(value))
    , m_thread([this] { run(); })
{ }

LeasedKey::~LeasedKey()
{
    release();
    m_thread.join();
}

void LeasedKey::update(std::string value)
{
    {
        const std::lock_guard lock(m_mutex);
        m_value = std::move(value);
        m_isDirty = true;
    }
    m_wake.notify_all();
}

void LeasedKey::release()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isReleased = true;
    }
    m_wake.notify_all();
}

void LeasedKey::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isReleased) {
        lock.unlock();
        const bool isSynchronised = synchronise();
        lock.lock();
        const core::Duration delay = isSynchronised
                ? core::Duration(m_lifetime) / renewalsPerLifetime
                : m_backOff.next();
        if (isSynchronised)
            m_backOff.reset();
        m_wake.wait_for(lock, delay, [&] { return m_isReleased || (isSynchronised && m_isDirty); });
    }
    lock.unlock();
    revoke();
}

bool LeasedKey::synchronise()
{
    // A write does not renew the lease, so that the lease is renewed in any case.
    if (!ensureLease())
        return false;
    const bool isDirty = [this] {
        const std::lock_guard lock(m_mutex);
        return m_isDirty;
    }();
    return (m_isWritten && !isDirty) || write();
}

bool LeasedKey::ensureLease()
{
    if (m_lease != 0) {
        const core::Instant startedAt = core::SystemClock().now();
        const core::Result<Lease> renewed = m_store.keepAliveLease(m_purpose, m_lease);
        if (renewed) {
            reportSuccess(startedAt, 0);
            return true;
        }
        if (renewed.error().kind != core::ErrorKind::NotFound)
            return reportFailure(renewed.error());
        // The lease expired, and the key with it, while the store could not be reached. Writes
        // under this lease that are still on their way have no effect any more.
        m_lease = 0;
        m_revision = 0;
        m_isWritten = false;
    }
    const core::Result<Lease> granted = m_store.grantLease(m_purpose, m_lifetime);
    if (!granted)
        return reportFailure(granted.error());
    m_lease = granted->id;
    return true;
}

bool LeasedKey::write()
{
    std::string value;
    {
        const std::lock_guard lock(m_mutex);
        value = m_value;
        m_isDirty = false;
    }
    m_isWritten = false;
    for (int attempt = 0; attempt < maxWriteAttempts; ++attempt) {
        const core::Instant startedAt = core::SystemClock().now();
        const core::Result<bool> found = m_revision ? false : readBack(value);
        if (!found)
            return reportFailure(found.error());
        m_isWritten = *found;
        if (!m_isWritten) {
            const core::Result<TransactionResult> written = m_store.transact(
                    m_purpose, {Compare {m_key, *m_revision}}, {Write {m_key, value, m_lease}});
            // Without a response, the store may have done the write, or may do it later.
            m_revision.reset();
            if (!written)
                return reportFailure(written.error());
            if (!written->succeeded)
                continue;
            m_revision = written->revision;
            m_isWritten = true;
        }
        reportSuccess(startedAt, *m_revision);
        return true;
    }
    return reportFailure({core::ErrorKind::Conflict,
                          "the key " + m_key + " is written by another process as well",
                          "check that each VM has a name of its own"});
}

core::Result<bool> LeasedKey::readBack(const std::string &value)
{
    const core::Result<RangeResult> found = m_store.range(m_purpose, m_key, false);
    if (!found)
        return tl::unexpected<core::Error>(found.error());
    m_revision = 0;
    if (found->keyValues.empty())
        return false;
    const KeyValue &current = found->keyValues.front();
    m_revision = current.modRevision;
    return current.lease == m_lease && current.value == value;
}

void LeasedKey::reportSuccess(core::Instant startedAt, std::int64_t revision)
{
    if (m_onSuccess)
        m_onSuccess({core::SystemClock().now() - startedAt, revision, m_lease});
}

bool LeasedKey::reportFailure(const core::Error &error)
{
    m_onFailure(error);
    return false;
}

void LeasedKey::revoke()
{
    if (m_lease == 0)
        return;
    const core::Result<void> revoked = m_store.revokeLease(m_purpose, m_lease);
    if (revoked)
        return;
    core::Error error = revoked.error();
    error.message
            = "the key could not be removed and stays until its lease expires: " + error.message;
    m_onFailure(error);
}

} // namespace sardinehollow::platform
