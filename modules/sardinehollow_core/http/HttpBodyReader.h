#pragma once

#include "sardinehollow_core/http/HttpBodyFraming.h"

#include <Poco/Net/HTTPSession.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace sardinehollow::core {

/**
 * Reads a message body from a session and detects truncation. POCO's own stream of a chunked body
 * ends in the same way with and without the final chunk.
 */
class HttpBodyReader
{
public:
    HttpBodyReader(Poco::Net::HTTPSession &session, HttpBodyFraming framing);

    /**
     * Reads up to size bytes into the buffer and returns their number; 0 at the end of the body or
     * if it is malformed or truncated. Throws Poco::Exception if the connection fails.
     */
    std::size_t read(char *buffer, std::size_t size);
    bool isAtEnd() const { return m_atEnd; }
    /**
     * Whether the complete body, as its framing defines it, has been read. Always false for a body
     * that ends with the connection.
     */
    bool isComplete() const { return m_complete; }
    const HttpBodyFraming &framing() const { return m_framing; }

private:
    std::size_t readFixed(char *buffer, std::size_t size);
    std::size_t readChunked(char *buffer, std::size_t size);
    bool startChunk();
    bool readLine(std::string &line);
    bool readTrailer();
    void finish(bool complete);

    Poco::Net::HTTPSession &m_session;
    const HttpBodyFraming m_framing;
    /** Remaining bytes of the body (Fixed) or of the current chunk (Chunked). */
    std::uint64_t m_remaining = 0;
    bool m_firstChunk = true;
    bool m_atEnd = false;
    bool m_complete = false;
};

} // namespace sardinehollow::core
