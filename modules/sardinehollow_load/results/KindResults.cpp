#include "sardinehollow_load/results/KindResults.h"

#include <boost/histogram.hpp>

namespace sardinehollow::load {

namespace {

namespace histogram = boost::histogram;

// 400 logarithmic buckets over seven decades (10 us to 100 s) give a resolution of 4%.
constexpr unsigned bucketCount = 400;
constexpr double minLatencyMs = 0.01;
constexpr double maxLatencyMs = 1e5;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Buckets = decltype(histogram::make_histogram(Axis(bucketCount, minLatencyMs, maxLatencyMs)));

} // namespace

struct KindResults::Histogram
{
    Buckets buckets = histogram::make_histogram(Axis(bucketCount, minLatencyMs, maxLatencyMs));
};

KindResults::KindResults()
    : m_latencies(std::make_unique<Histogram>())
{ }

KindResults::~KindResults() = default;
KindResults::KindResults(KindResults &&) noexcept = default;

void KindResults::record(const RequestResult &result)
{
    ++m_offered;
    m_tries += static_cast<std::uint64_t>(result.tries);
    ++m_counts.at(static_cast<std::size_t>(result.outcome));
    if (!result.reason.empty())
        ++m_reasons[result.reason];
    const bool answered
            = result.outcome == RequestOutcome::InTime || result.outcome == RequestOutcome::Late;
    if (answered)
        m_latencies->buckets(std::chrono::duration<double, std::milli>(result.latency).count());
}

std::uint64_t KindResults::count(RequestOutcome outcome) const
{
    return m_counts.at(static_cast<std::size_t>(outcome));
}

double KindResults::quantileMs(double quantile) const
{
    const Buckets &buckets = m_latencies->buckets;
    double total = 0.0;
    for (const auto &cell : histogram::indexed(buckets, histogram::coverage::all))
        total += *cell;
    double cumulative = 0.0;
    for (const auto &cell : histogram::indexed(buckets, histogram::coverage::all)) {
        cumulative += *cell;
        if (total > 0 && cumulative >= quantile * total)
            return cell.bin().center();
    }
    return 0.0;
}

} // namespace sardinehollow::load
