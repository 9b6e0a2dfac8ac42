#pragma once

#include "sardinehollow_peer/claims/ClaimEntry.h"
#include "sardinehollow_peer/generated/claim_journal.pb.h"

#include <string>
#include <unordered_map>

namespace sardinehollow::peer {

/** In-memory table of the claims of one scope, by work kind and key. */
class ClaimTable
{
public:
    ClaimEntry *find(const std::string &workKind, const std::string &key);
    /** Adds an entry; the key must not have one yet. */
    ClaimEntry &add(const std::string &workKind, const std::string &key, ClaimEntry entry);
    void finish(ClaimEntry &entry, int status, const std::string &body);
    void erase(const std::string &workKind, const std::string &key);
    /** Removes all keys of an epoch. */
    void eraseEpoch(std::uint64_t epoch);
    void clear();
    /** Applies a record that was read from the journal. */
    void apply(const wire::ClaimRecord &record);

    /** Estimated memory in bytes. */
    std::size_t bytes() const { return m_bytes; }
    std::size_t size() const { return m_entries.size(); }

private:
    std::unordered_map<std::string, ClaimEntry> m_entries;
    std::size_t m_bytes = 0;
};

} // namespace sardinehollow::peer
