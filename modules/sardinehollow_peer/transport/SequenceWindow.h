#pragma once

#include <cstdint>

namespace sardinehollow::peer {

/**
 * Sliding window that detects duplicate and late messages of one sender by their sequence numbers.
 */
class SequenceWindow
{
public:
    enum class Verdict { New, Duplicate, TooLate };

    /** Classifies a sequence number and records it if it is new. */
    Verdict accept(std::uint64_t sequence);

private:
    std::uint64_t m_highest = 0;
    /** Bit n is set if the number m_highest - n was accepted. */
    std::uint64_t m_accepted = 0;
};

} // namespace sardinehollow::peer
