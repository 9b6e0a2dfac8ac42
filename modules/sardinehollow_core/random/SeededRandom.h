#pragma once

#include "sardinehollow_core/random/RandomSource.h"

#include <random>

namespace sardinehollow::core {

/** A deterministic generator of pseudo-random numbers. Not safe for concurrent use. */
class SeededRandom : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed);

    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

} // namespace sardinehollow::core
