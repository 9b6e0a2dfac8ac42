#include "sardinehollow_metrics/PrometheusWriter.h"

namespace sardinehollow::metrics {

namespace {

const std::string prefix = "sardinehollow_";

std::string escape(std::string_view value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\\' || character == '"')
            escaped += '\\';
        if (character == '\n')
            escaped += "\\n";
        else
            escaped += character;
    }
    return escaped;
}

} // namespace

void PrometheusWriter::family(const std::string &name, const std::string &help,
                              const std::string &type)
{
    m_text += "# HELP " + prefix + name + " " + help + "\n";
    m_text += "# TYPE " + prefix + name + " " + type + "\n";
}

void PrometheusWriter::sample(const std::string &name, const Labels &labels,
                              const std::string &value)
{
    m_text += prefix + name;
    if (!labels.empty())
        m_text += "{" + labelText(labels) + "}";
    m_text += " " + value + "\n";
}

std::string PrometheusWriter::labelText(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        if (!text.empty())
            text += ",";
        text += std::string(name) + "=\"" + escape(value) + "\"";
    }
    return text;
}

} // namespace sardinehollow::metrics
