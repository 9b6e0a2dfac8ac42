#include "sardinehollow_peer/transport/SequenceWindow.h"

namespace sardinehollow::peer {

namespace {

constexpr std::uint64_t windowSize = 64;

} // namespace

SequenceWindow::Verdict SequenceWindow::accept(std::uint64_t sequence)
{
    if (sequence > m_highest) {
        const std::uint64_t distance = sequence - m_highest;
        m_accepted = distance < windowSize ? m_accepted << distance : 0;
        m_accepted |= 1;
        m_highest = sequence;
        return Verdict::New;
    }
    const std::uint64_t age = m_highest - sequence;
    if (age >= windowSize)
        return Verdict::TooLate;
    const std::uint64_t bit = std::uint64_t {1} << age;
    if ((m_accepted & bit) != 0)
        return Verdict::Duplicate;
    m_accepted |= bit;
    return Verdict::New;
}

} // namespace sardinehollow::peer
