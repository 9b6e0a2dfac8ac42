#include "sardinehollow_policy/pool/RetryTokenBucket.h"

#include <algorithm>

namespace sardinehollow::policy {

namespace {

// In floating point, ten increments of 0.1 add up to slightly less than 1.
constexpr double roundingTolerance = 1e-9;

} // namespace

void RetryTokenBucket::onRequest()
{
    m_tokens = std::min(m_tokens + m_tokensPerRequest, m_capacity);
}

bool RetryTokenBucket::tryConsume()
{
    if (m_tokens + roundingTolerance < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

} // namespace sardinehollow::policy
