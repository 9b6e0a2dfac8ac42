#include "sardinehollow_entry/metrics/Metrics.h"

#include "sardinehollow_metrics/LatencyHistogram.h"
#include "sardinehollow_metrics/PrometheusWriter.h"

namespace sardinehollow::entry {

namespace {

template <typename Counters>
void appendReasons(metrics::PrometheusWriter &writer, const std::string &name,
                   const std::string &help, const Counters &counters)
{
    writer.family(name, help, "counter");
    for (std::size_t index = 1; index < counters.size(); ++index) {
        const auto reason = static_cast<policy::RefusalReason>(index);
        writer.sample(name, {{"reason", policy::toName(reason)}},
                      std::to_string(counters[index].load()));
    }
}

// A name may include labels: "events_total{kind=\"a\"}". Names of one family are adjacent.
template <typename Values>
void appendValues(metrics::PrometheusWriter &writer, const std::string &type, const Values &values)
{
    std::string previous;
    for (const auto &[name, value] : values) {
        const std::string family = name.substr(0, name.find('{'));
        if (family != previous)
            writer.family(family, "See docs/operations for " + family + ".", type);
        previous = family;
        writer.sample(name, {}, std::to_string(value));
    }
}

} // namespace

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::countRefusal(policy::RefusalReason reason)
{
    ++m_refusals.at(static_cast<std::size_t>(reason));
}

void Metrics::countRetry(policy::RefusalReason reason)
{
    ++m_retries.at(static_cast<std::size_t>(reason));
}

void Metrics::countLookup()
{
    ++m_lookups;
}

void Metrics::recordLatency(const std::string &rank, const std::string &kind,
                            core::Duration latency)
{
    const std::string labels
            = metrics::PrometheusWriter::labelText({{"rank", rank}, {"kind", kind}});
    const std::lock_guard lock(m_mutex);
    std::unique_ptr<metrics::LatencyHistogram> &histogram = m_latencies[labels];
    if (!histogram)
        histogram = std::make_unique<metrics::LatencyHistogram>();
    histogram->record(latency);
}

void Metrics::add(const std::string &name, std::uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[name] += amount;
}

void Metrics::setGauge(const std::string &name, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[name] = value;
}

std::string Metrics::prometheusText() const
{
    metrics::PrometheusWriter writer;
    appendReasons(writer, "refusals_total", "Requests that were refused, by reason.", m_refusals);
    appendReasons(writer, "retries_total", "Attempts that were repeated, by reason.", m_retries);
    writer.family("lookups_total", "Look-ups that were answered.", "counter");
    writer.sample("lookups_total", {}, std::to_string(m_lookups.load()));
    const std::lock_guard lock(m_mutex);
    appendValues(writer, "counter", m_counters);
    appendValues(writer, "gauge", m_gauges);
    writer.family("request_seconds", "Time from arrival to the end of the response.", "histogram");
    for (const auto &[labels, histogram] : m_latencies)
        histogram->appendTo(writer.text(), labels);
    return writer.text();
}

} // namespace sardinehollow::entry
