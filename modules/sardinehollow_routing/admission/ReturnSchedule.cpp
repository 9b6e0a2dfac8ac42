#include "sardinehollow_routing/admission/ReturnSchedule.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

constexpr core::Duration longestSpan = std::chrono::milliseconds(1200);
// Share of refusals from which the span is the longest.
constexpr double longestSpanShare = 0.5;
// Successive multiples of the golden ratio, modulo 1, are spread evenly.
constexpr double goldenRatio = 0.6180339887498949;

} // namespace

ReturnSchedule::ReturnSchedule(std::uint64_t seed)
    : m_position(core::hashToUnit(seed))
{ }

core::Duration ReturnSchedule::next(double refusedShare, double fraction, double width,
                                    core::Duration timeLeft)
{
    m_position = std::fmod(m_position + goldenRatio, 1.0);
    const core::Duration usable
            = std::clamp(timeLeft / 3 - shortest, core::Duration {0}, core::Duration {longestSpan});
    const double part
            = std::min(refusedShare / longestSpanShare, 1.0) * (fraction + width * m_position);
    return shortest + std::chrono::duration_cast<core::Duration>(usable * part);
}

} // namespace sardinehollow::routing
