#pragma once

#include "sardinehollow_load/results/RequestResult.h"

#include <array>
#include <map>
#include <memory>
#include <string>

namespace sardinehollow::load {

/** Outcome counts and latency histogram of one work kind. Not safe for concurrent use. */
class KindResults
{
public:
    KindResults();
    ~KindResults();
    KindResults(KindResults &&) noexcept;

    void record(const RequestResult &result);

    std::uint64_t offered() const { return m_offered; }
    std::uint64_t count(RequestOutcome outcome) const;
    std::uint64_t tries() const { return m_tries; }
    const std::map<std::string, std::uint64_t> &reasons() const { return m_reasons; }
    /** Quantile in [0, 1] of the latency of answered requests; 0 ms if there are none. */
    double quantileMs(double quantile) const;

private:
    struct Histogram;

    std::uint64_t m_offered = 0;
    std::uint64_t m_tries = 0;
    std::array<std::uint64_t, requestOutcomeCount> m_counts {};
    std::map<std::string, std::uint64_t> m_reasons;
    std::unique_ptr<Histogram> m_latencies;
};

} // namespace sardinehollow::load
