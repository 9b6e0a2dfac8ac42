#include "sardinehollow_metrics/LatencyHistogram.h"

#include <boost/histogram.hpp>

namespace sardinehollow::metrics {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned bucketCount = 28; // four per power of ten
constexpr double lowestSeconds = 1e-4;
constexpr double highestSeconds = 1e3;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram
        = decltype(histogram::make_histogram(Axis(bucketCount, lowestSeconds, highestSeconds)));

} // namespace

struct LatencyHistogram::Storage
{
    Histogram buckets = histogram::make_histogram(Axis(bucketCount, lowestSeconds, highestSeconds));
    double sum = 0.0;
};

LatencyHistogram::LatencyHistogram()
    : m_storage(std::make_unique<Storage>())
{ }

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(core::Duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    m_storage->buckets(std::max(seconds, lowestSeconds));
    m_storage->sum += seconds;
}

void LatencyHistogram::appendTo(std::string &text, const std::string &labels) const
{
    const std::string name = "sardinehollow_request_seconds";
    double cumulative = 0.0;
    const Axis &axis = m_storage->buckets.axis();
    for (int index = 0; index < axis.size(); ++index) {
        cumulative += m_storage->buckets.at(index);
        text += name + "_bucket{" + labels + ",le=\"" + std::to_string(axis.value(index + 1))
                + "\"} " + std::to_string(static_cast<std::uint64_t>(cumulative)) + "\n";
    }
    cumulative += m_storage->buckets.at(axis.size());
    const std::string count = std::to_string(static_cast<std::uint64_t>(cumulative));
    text += name + "_bucket{" + labels + ",le=\"+Inf\"} " + count + "\n";
    text += name + "_sum{" + labels + "} " + std::to_string(m_storage->sum) + "\n";
    text += name + "_count{" + labels + "} " + count + "\n";
}

} // namespace sardinehollow::metrics
