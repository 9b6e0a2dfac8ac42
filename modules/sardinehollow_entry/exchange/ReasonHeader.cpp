#include "sardinehollow_entry/exchange/ReasonHeader.h"

namespace sardinehollow::entry {

policy::RefusalReason reasonFromHeader(const std::string &name, policy::RefusalReason fallback)
{
    for (std::size_t index = 1; index < policy::refusalReasonCount; ++index) {
        const auto reason = static_cast<policy::RefusalReason>(index);
        if (policy::toName(reason) == name)
            return reason;
    }
    return fallback;
}

} // namespace sardinehollow::entry
