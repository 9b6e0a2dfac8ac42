#pragma once

#include <string>

namespace sardinehollow::load {

/** The HTTP response of a daemon, or its absence. */
struct HttpAnswer
{
    /** HTTP status; 0 if no complete response arrived. */
    int status = 0;
    /** Whether the connection was opened and sending began. */
    bool sent = false;
    /** Value of the Sardinehollow-Outcome header; empty if absent. */
    std::string outcome;
    /** Value of the Sardinehollow-Reason header; empty if absent. */
    std::string reason;
    std::string body;
};

} // namespace sardinehollow::load
