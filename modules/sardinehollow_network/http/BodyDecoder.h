#pragma once

#include "sardinehollow_core/http/HttpBodyFraming.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sardinehollow::network {

/** Decodes the body of an HTTP/1.1 message incrementally, as it arrives. */
class BodyDecoder
{
public:
    enum class Status {
        NeedsMore,
        Done,
        Malformed,
    };

    explicit BodyDecoder(core::HttpBodyFraming framing);

    /** Removes body bytes and their framing from the buffer and appends the content to body. */
    Status decode(std::string &buffer, std::string &body);
    const core::HttpBodyFraming &framing() const { return m_framing; }

private:
    enum class Part {
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
    };

    /** Removes what was decoded from the front of input. */
    Status decodeInput(std::string_view &input, std::string &body);
    Status decodeFixed(std::string_view &input, std::string &body);
    Status decodeChunked(std::string_view &input, std::string &body);
    bool readChunkSize(std::string_view line);

    const core::HttpBodyFraming m_framing;
    /** Remaining bytes of the body (Fixed) or of the current chunk (Chunked). */
    std::uint64_t m_remaining = 0;
    std::size_t m_trailerBytes = 0;
    std::size_t m_extensionBytes = 0;
    Part m_part = Part::ChunkSize;
};

} // namespace sardinehollow::network
