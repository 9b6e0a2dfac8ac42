#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <string>

namespace sardinehollow::network {

/** Result of reading the head of a message from a buffer. */
enum class HeadStatus {
    Incomplete,
    Complete,
    TooLarge,
    /** Not valid HTTP, or ambiguous, so that two implementations could parse it differently. */
    Malformed,
    /** A version of HTTP other than 1.0 and 1.1. */
    UnsupportedVersion,
};

/** Reads a request head of up to limit bytes; erases it from the buffer once it is complete. */
HeadStatus readHead(std::string &buffer, std::size_t limit, Poco::Net::HTTPRequest &request);
/** Reads a response head in the same way. */
HeadStatus readHead(std::string &buffer, std::size_t limit, Poco::Net::HTTPResponse &response);

} // namespace sardinehollow::network
