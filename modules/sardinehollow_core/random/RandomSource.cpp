#include "sardinehollow_core/random/RandomSource.h"

#include <cassert>

namespace sardinehollow::core {

double RandomSource::nextUnit()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53, the spacing of doubles below 1
    return static_cast<double>(next() >> 11U) * scale;
}

std::uint64_t RandomSource::nextBelow(std::uint64_t bound)
{
    assert(bound > 0);
    return next() % bound;
}

} // namespace sardinehollow::core
