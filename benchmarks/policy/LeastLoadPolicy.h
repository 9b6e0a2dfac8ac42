#pragma once

#include "BaselinePolicy.h"

#include "sardinehollow_core/random/SeededRandom.h"

namespace sardinehollow::bench {

/** Baseline that sends each request to the server with the least load in its last report. */
class LeastLoadPolicy : public BaselinePolicy
{
public:
    explicit LeastLoadPolicy(std::uint64_t seed)
        : m_random(seed)
    { }

protected:
    const config::BackendServer *choose(const policy::RequestOffer &request) override;

private:
    core::SeededRandom m_random;
};

} // namespace sardinehollow::bench
