#include "sardinehollow_routing/quotas/TeamBucket.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

// Requests that a team with a smaller burst may send at once: the demand of a team with a request
// per second varies by several within a second. Less than half of the 20 by which the platform lets
// a team exceed its quota; the rest is for what runs until a flood is noticed.
constexpr double smallBurst = 8;
// Part of the burst that is granted to larger teams; the rest is for what runs until a flood is
// noticed, about 0.6 s between regions. A burst that is over sooner is admitted in full.
constexpr double grantedBurstPart = 0.4;
// Part of the rate that a limited team gets. The rest pays for requests that daemons without
// contact to a coordinator admit meanwhile.
constexpr double limitedRatePart = 0.95;
// The same beyond the requests of a small burst.
constexpr double furtherBurstPart = 0.3;
// Initial level, so that a new coordinator does not refuse the first requests of a small team.
constexpr double initialLevel = 4;
// Time within which a positive level is used up and a debt is repaid, in seconds. Several times the
// delay from a request to the verdict that follows from it, or the factor would oscillate.
constexpr double repaymentSeconds = 1;
// Largest debt, in seconds of the rate. Older debt can't bring a window of 5 s below its bound.
constexpr double maximumDebtSeconds = 4;
// Largest number of charges per admitted request; more than one if attempts are repeated.
constexpr double maximumChargeRatio = 3;
// Rate in requests per second below which the charge ratio tends to 1 for lack of data.
constexpr double chargeRatioPrior = 0.5;
constexpr double averagingSeconds = 1;
constexpr double recentSeconds = 0.25;
// Ratio of factors below which daemons are told at once.
constexpr double largeFall = 0.75;

} // namespace

double largestLevel(const TeamQuota &quota)
{
    return std::max(grantedBurstPart * quota.burst, smallBurst + furtherBurstPart * quota.burst);
}

TeamBucket::TeamBucket(const TeamQuota &quota, core::Instant now)
    : m_quota(quota)
    , m_level(initialLevel)
    , m_startedAt(now)
    , m_refilledAt(now)
{ }

void TeamBucket::setQuota(const TeamQuota &quota)
{
    m_quota = quota;
    m_reserved = std::min(m_reserved, quota.ratePerSecond);
    m_level = std::min(m_level, capacity());
}

void TeamBucket::setReserved(double ratePerSecond, core::Instant now)
{
    refill(now);
    const double earlier = capacity();
    m_reserved = std::min(ratePerSecond, m_quota.ratePerSecond);
    // The unseen daemons have their part of the burst as well.
    if (m_level > 0 && capacity() < earlier)
        m_level *= capacity() / earlier;
}

void TeamBucket::add(const UsageDelta &delta, double charge, core::Instant now)
{
    refill(now);
    m_requested.add(delta.requested, now);
    m_recentlyRequested.add(delta.requested, now);
    m_passed.add(delta.passed, now);
    m_charged.add(delta.charged, now);
    const double largestDebt = maximumDebtSeconds * m_quota.ratePerSecond + smallBurst;
    m_level = std::clamp(m_level - charge, -largestDebt, capacity());
}

double TeamBucket::factor(core::Instant now)
{
    refill(now);
    const double wanted = demand(now);
    const double extra = m_level / repaymentSeconds;
    if (wanted <= m_quota.ratePerSecond - m_reserved + extra)
        return 1;
    return std::max(limitedRatePart * m_quota.ratePerSecond - m_reserved + extra, 0.0) / wanted;
}

bool TeamBucket::takeFactorFall(core::Instant now)
{
    const double present = factor(now);
    if (present >= largeFall * m_publishedFactor)
        return false;
    m_publishedFactor = present;
    return true;
}

double TeamBucket::capacity() const
{
    const double part = m_quota.ratePerSecond > 0 ? 1 - m_reserved / m_quota.ratePerSecond : 1;
    return largestLevel(m_quota) * part;
}

void TeamBucket::refill(core::Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    if (elapsed <= 0)
        return;
    m_level = std::min(m_level + (m_quota.ratePerSecond - m_reserved) * elapsed, capacity());
    m_refilledAt = now;
}

double TeamBucket::demand(core::Instant now) const
{
    // Requests that pass the check but get no backend server are not held against the team.
    const double ratio = (std::max(m_charged.rate(now), 0.0) + chargeRatioPrior)
            / (m_passed.rate(now) + chargeRatioPrior);
    // The averages start at 0 and reach their value after several averaging times.
    const double age = std::chrono::duration<double>(now - m_startedAt).count();
    const double reached = 1 - std::exp(-std::max(age, 0.2) / averagingSeconds);
    const double average = m_requested.rate(now) / reached;
    // The recent rate less twice its standard deviation: that of a small team varies much.
    const double recent = m_recentlyRequested.rate(now);
    const double deviation = std::sqrt(recent / (2 * recentSeconds));
    return std::max(average, recent - 2 * deviation) * std::min(ratio, maximumChargeRatio);
}

} // namespace sardinehollow::routing
