#pragma once

#include "sardinehollow_core/net/IpAddress.h"

#include <string>

namespace sardinehollow::entry {

/** Admission control for shifted requests: enforces the caps of shifts. Safe for concurrent use. */
class ShiftGate
{
public:
    virtual ~ShiftGate() = default;

    /** Whether any shift moves callers to this failure domain; a cheap check for every request. */
    virtual bool isActive() const = 0;
    /** Counts a caller's request; returns false if it is shifted and would exceed the cap. */
    virtual bool admit(const std::string &workKind, const core::IpAddress &caller) = 0;
};

} // namespace sardinehollow::entry
