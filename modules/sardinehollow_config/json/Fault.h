#pragma once

#include <string>
#include <vector>

namespace sardinehollow::config {

/** A syntax or validation error in a JSON document. */
struct Fault
{
    /** JSON pointer (RFC 6901) of the faulty value. */
    std::string pointer;
    std::string message;
    /** The allowed values or the change to make. */
    std::string remedy;
};

using FaultList = std::vector<Fault>;

/** Returns one line for each fault: "pointer: message; remedy". */
std::string toText(const FaultList &faults);

} // namespace sardinehollow::config
