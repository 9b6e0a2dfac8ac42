#pragma once

#include "BaselinePolicy.h"

#include "sardinehollow_core/random/SeededRandom.h"

namespace sardinehollow::bench {

/** Baseline that sends each request to a random server at once, regardless of its rank. */
class RandomPolicy : public BaselinePolicy
{
public:
    explicit RandomPolicy(std::uint64_t seed)
        : m_random(seed)
    { }

protected:
    const config::BackendServer *choose(const policy::RequestOffer &) override
    {
        if (usableServers().empty())
            return nullptr;
        return &usableServers()[m_random.nextBelow(usableServers().size())];
    }

private:
    core::SeededRandom m_random;
};

} // namespace sardinehollow::bench
