#include "sardinehollow_core/random/SeededRandom.h"

namespace sardinehollow::core {

SeededRandom::SeededRandom(std::uint64_t seed)
    : m_engine(seed)
{ }

std::uint64_t SeededRandom::next()
{
    return m_engine();
}

} // namespace sardinehollow::core
