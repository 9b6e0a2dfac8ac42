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
    /** More bytes or fields than allowed. */
    TooLarge,
    /** Not valid HTTP, or ambiguous, so that two implementations could parse it differently. */
    Malformed,
    /** A version of HTTP other than 1.0 and 1.1. */
    UnsupportedVersion,
};

/** Fields of a head above which it is too large. */
inline constexpr std::size_t maxHeadFields = 256;

/**
 * Reads the heads of a connection's messages, however their bytes are split. The effort is
 * proportional to the bytes received.
 */
class HeadReader
{
public:
    /**
     * Reads a request head of up to limit bytes from the start of the buffer, and erases it once it
     * is complete. While it is incomplete, bytes may only be appended to the buffer.
     */
    HeadStatus read(std::string &buffer, std::size_t limit, Poco::Net::HTTPRequest &request);
    /** Reads a response head in the same way. */
    HeadStatus read(std::string &buffer, std::size_t limit, Poco::Net::HTTPResponse &response);
    /** Bytes of the last complete head, with the empty lines before it. */
    std::size_t headBytes() const { return m_headBytes; }

private:
    template <typename Message, typename ReadFirstLine>
    HeadStatus readMessage(std::string &buffer, std::size_t limit, Message &message,
                           ReadFirstLine readFirstLine);
    void skipEmptyLines(std::string &buffer);

    /** Bytes of empty lines that were skipped before the current head. */
    std::size_t m_skippedBytes = 0;
    /** Bytes of the buffer that were searched for the end of the head. */
    std::size_t m_searchedBytes = 0;
    std::size_t m_headBytes = 0;
};

} // namespace sardinehollow::network
