#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::peer {

/**
 * Identifies one claim: the VM and the process incarnation of the daemon that requested it, and the
 * daemon's number for it.
 */
struct ClaimId
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    /** Returns the form that is stored in the journal. */
    std::string text() const
    {
        return vm + "/" + std::to_string(incarnation) + "/" + std::to_string(number);
    }

    bool operator==(const ClaimId &) const = default;
};

} // namespace sardinehollow::peer
