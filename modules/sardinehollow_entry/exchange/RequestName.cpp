#include "sardinehollow_entry/exchange/RequestName.h"

#include "sardinehollow_entry/exchange/HeaderNames.h"

#include <Poco/Ascii.h>
#include <Poco/NumberFormatter.h>

#include <algorithm>

namespace sardinehollow::entry {

namespace {

// Enough for a UUID with a prefix; longer ones would swell each log line.
constexpr std::size_t longestName = 64;

bool isPlain(const std::string &name)
{
    return !name.empty() && name.size() <= longestName
            && std::all_of(name.begin(), name.end(), [](char character) {
                   return Poco::Ascii::isAlphaNumeric(character) || character == '-'
                           || character == '_' || character == '.';
               });
}

} // namespace

std::string requestName(const Poco::Net::HTTPRequest &request, EntryServices &services)
{
    const std::string given = request.get(requestIdHeader, "");
    if (isPlain(given))
        return given;
    return Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(services.incarnation)) + "-"
            + std::to_string(++services.sequence);
}

} // namespace sardinehollow::entry
