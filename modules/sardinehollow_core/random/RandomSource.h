#pragma once

#include <cstdint>

namespace sardinehollow::core {

/** Source of random numbers; injected so that tests are reproducible. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** Returns 64 uniformly distributed bits. */
    virtual std::uint64_t next() = 0;

    /** Returns a uniformly distributed number in [0, 1). */
    double nextUnit();

    /** Returns a number in [0, bound); bound must be above 0. */
    std::uint64_t nextBelow(std::uint64_t bound);
};

} // namespace sardinehollow::core
