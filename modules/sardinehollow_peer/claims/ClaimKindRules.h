#pragma once

#include <chrono>
#include <map>
#include <string>

namespace sardinehollow::peer {

/** Configured claim rules of one work kind. */
struct ClaimKindRules
{
    /** Whether claims are granted in memory only while the store is unavailable. */
    bool inMemory = false;
    std::chrono::seconds retention {0};

    bool operator==(const ClaimKindRules &) const = default;
};

/** Rules of all non-idempotent work kinds by name. */
using ClaimKinds = std::map<std::string, ClaimKindRules>;

} // namespace sardinehollow::peer
