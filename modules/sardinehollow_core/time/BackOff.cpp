#include "sardinehollow_core/time/BackOff.h"

#include <algorithm>
#include <cassert>

namespace sardinehollow::core {

BackOff::BackOff(RandomSource &random, Duration first, Duration maximum)
    : m_random(random)
    , m_first(first)
    , m_maximum(maximum)
    , m_ceiling(first)
{
    assert(first.count() > 0 && maximum >= first);
}

Duration BackOff::next()
{
    const Duration half = m_ceiling / 2;
    const auto jitter
            = std::chrono::duration_cast<Duration>((m_ceiling - half) * m_random.nextUnit());
    m_ceiling = std::min(m_ceiling * 2, m_maximum);
    return half + jitter;
}

} // namespace sardinehollow::core
