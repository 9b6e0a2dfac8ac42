#pragma once

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

namespace sardinehollow::load {

/** Returns an HTML page with a table of each result and its outcomes as SVG bars. */
std::string htmlReport(const std::vector<Poco::JSON::Object::Ptr> &results);

} // namespace sardinehollow::load
