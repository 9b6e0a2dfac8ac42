#pragma once

namespace sardinehollow::routing {

/** Numbers of a team's requests since an earlier report. */
struct UsageDelta
{
    double requested = 0;
    double passed = 0;
    /** Negative if more requests were refunded than sent. */
    double charged = 0;
};

} // namespace sardinehollow::routing
