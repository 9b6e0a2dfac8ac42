#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <string>

namespace sardinehollow::network {

/** How far the head of a message could be read from a buffer. */
enum class HeadStatus {
    Incomplete,
    Complete,
    TooLarge,
    /** Not HTTP, or written in a way that two programs could read differently. */
    Malformed,
    /** A version of HTTP other than 1.0 and 1.1. */
    UnsupportedVersion,
};

/** Reads a request head from the front of the buffer and erases it there once it is complete. */
HeadStatus readHead(std::string &buffer, std::size_t limit, Poco::Net::HTTPRequest &request);
/** Reads a response head in the same way. */
HeadStatus readHead(std::string &buffer, std::size_t limit, Poco::Net::HTTPResponse &response);

} // namespace sardinehollow::network
