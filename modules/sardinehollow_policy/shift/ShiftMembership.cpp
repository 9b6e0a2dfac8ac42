#include "sardinehollow_policy/shift/ShiftMembership.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>

namespace sardinehollow::policy {

bool movesWorkKind(const config::Shift &shift, const std::string &workKind)
{
    return shift.workKinds.empty()
            || std::find(shift.workKinds.begin(), shift.workKinds.end(), workKind)
            != shift.workKinds.end();
}

bool isWithinFraction(std::uint64_t shiftHash, std::uint64_t callerHash, double fraction)
{
    return core::hashToUnit(core::combineHashes(shiftHash, callerHash)) < fraction;
}

} // namespace sardinehollow::policy
