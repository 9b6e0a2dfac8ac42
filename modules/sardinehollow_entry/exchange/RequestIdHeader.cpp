#include "sardinehollow_entry/exchange/RequestIdHeader.h"

#include "sardinehollow_entry/exchange/HeaderNames.h"

#include <Poco/Ascii.h>
#include <Poco/NumberFormatter.h>

#include <algorithm>

namespace sardinehollow::entry {

namespace {

// Long enough for a UUID with a prefix; longer ids would bloat every log line.
constexpr std::size_t maxRequestIdLength = 64;

bool isValidRequestId(const std::string &id)
{
    return !id.empty() && id.size() <= maxRequestIdLength
            && std::all_of(id.begin(), id.end(), [](char character) {
                   return Poco::Ascii::isAlphaNumeric(character) || character == '-'
                           || character == '_' || character == '.';
               });
}

} // namespace

std::string requestIdOf(const Poco::Net::HTTPRequest &request, EntryServices &services)
{
    const std::string sentId = request.get(requestIdHeader, "");
    if (isValidRequestId(sentId))
        return sentId;
    return Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(services.incarnation)) + "-"
            + std::to_string(++services.sequence);
}

} // namespace sardinehollow::entry
