#include "sardinehollow_load/report/HtmlReport.h"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <sstream>

namespace sardinehollow::load {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int barWidthPixels = 300;
constexpr int barHeightPixels = 14;

std::string escapeHtml(const std::string &text)
{
    std::string result;
    for (const char character : text) {
        if (character == '<')
            result += "&lt;";
        else if (character == '&')
            result += "&amp;";
        else
            result += character;
    }
    return result;
}

// Shares of the outcomes of one work kind as a stacked SVG bar.
std::string outcomeBarSvg(const Object &row)
{
    struct Segment
    {
        const char *outcome;
        const char *colour;
    };
    constexpr Segment segments[]
            = {{"inTime", "#2a7f4f"},     {"late", "#d9a441"},     {"notRun", "#8896a8"},
               {"unknown", "#b8574a"},    {"noAnswer", "#5b3b6b"}, {"serverError", "#7a4a2a"},
               {"wrongAnswer", "#ff0000"}};
    const double offered = std::max(1.0, row.getValue<double>("offered"));
    std::ostringstream svg;
    svg << "<svg width=\"" << barWidthPixels << "\" height=\"" << barHeightPixels << "\">";
    double position = 0.0;
    for (const Segment &segment : segments) {
        const double width = row.getValue<double>(segment.outcome) / offered * barWidthPixels;
        svg << "<rect x=\"" << position << "\" width=\"" << width << "\" height=\""
            << barHeightPixels << "\" fill=\"" << segment.colour << "\"><title>" << segment.outcome
            << "</title></rect>";
        position += width;
    }
    svg << "</svg>";
    return svg.str();
}

void appendResult(std::ostream &page, const Object &result)
{
    page << "<h2>" << escapeHtml(result.getValue<std::string>("experiment")) << "</h2><p>commit "
         << escapeHtml(result.getValue<std::string>("commit")) << ", seed "
         << result.getValue<std::uint64_t>("seed")
         << "</p><table><tr><th>kind</th><th>offered</th><th>p50 ms</th><th>p99 ms</th>"
            "<th>within deadline</th><th>outcomes</th></tr>";
    const Array::Ptr rows = result.getArray("rows");
    for (std::size_t index = 0; index < rows->size(); ++index) {
        const Object::Ptr row = rows->getObject(static_cast<unsigned>(index));
        page << "<tr><td>" << escapeHtml(row->getValue<std::string>("kind")) << "</td><td>"
             << row->getValue<std::uint64_t>("offered") << "</td><td>"
             << row->getValue<double>("p50Ms") << "</td><td>" << row->getValue<double>("p99Ms")
             << "</td><td>" << row->getValue<double>("withinDeadline") << "</td><td>"
             << outcomeBarSvg(*row) << "</td></tr>";
    }
    page << "</table><p>Must be 0:";
    const Object::Ptr counts = result.getObject("mustBeZero");
    for (const std::string &name : counts->getNames())
        page << " " << escapeHtml(name) << "=" << counts->getValue<std::uint64_t>(name);
    page << "</p>";
}

} // namespace

std::string htmlReport(const std::vector<Object::Ptr> &results)
{
    std::ostringstream page;
    page << "<!doctype html><meta charset=\"utf-8\"><title>sardinehollow experiments</title>"
            "<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:right}</style>"
            "<p>Bars: answered in time (green), late (yellow), not run (grey), unknown (red), no "
            "answer (violet).</p>";
    for (const Object::Ptr &result : results)
        appendResult(page, *result);
    return page.str();
}

} // namespace sardinehollow::load
