#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinehollow::metrics {

/** Writes metrics in the Prometheus text format, with the prefix "sardinehollow_" on their names.
 */
class PrometheusWriter
{
public:
    using Labels = std::vector<std::pair<std::string_view, std::string_view>>;

    /** Starts a metric family; its samples follow. The type is counter, gauge or histogram. */
    void family(const std::string &name, const std::string &help, const std::string &type);
    void sample(const std::string &name, const Labels &labels, const std::string &value);

    std::string &text() { return m_text; }

    /** Returns "name=\"value\",..." with escaped values. */
    static std::string labelText(const Labels &labels);

private:
    std::string m_text;
};

} // namespace sardinehollow::metrics
