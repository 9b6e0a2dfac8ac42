#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>

namespace sardinehollow::core {

/** How the end of a message body is determined (RFC 9112, section 6.3). */
struct HttpBodyFraming
{
    enum class Kind {
        None,
        Fixed,
        Chunked,
        /** The body ends when the connection closes, so a truncated body cannot be detected. */
        UntilClose,
        /** The framing fields are invalid, contradictory or not supported. */
        Malformed,
    };

    Kind kind = Kind::None;
    /** Length in bytes (Fixed). */
    std::uint64_t length = 0;

    bool operator==(const HttpBodyFraming &) const = default;
};

HttpBodyFraming framingOf(const Poco::Net::HTTPRequest &request);
/** The framing of a response also depends on the method of its request. */
HttpBodyFraming framingOf(const Poco::Net::HTTPResponse &response, const std::string &method);

} // namespace sardinehollow::core
