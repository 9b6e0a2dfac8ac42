#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinehollow::gateway {

/**
 * Short identifiers of the teams in messages, derived from their names. Daemons with the same teams
 * derive the same ones; otherwise a team that is known to both has, but for a collision of hashes,
 * the same identifier.
 */
class TeamIds
{
public:
    TeamIds() = default;
    explicit TeamIds(std::vector<std::string> names);

    /** Returns null for an unknown team. */
    const std::uint32_t *find(const std::string &name) const;
    /** Returns null for an unknown identifier. */
    const std::string *name(std::uint32_t id) const;

private:
    std::map<std::string, std::uint32_t> m_ids;
    std::map<std::uint32_t, std::string> m_names;
};

} // namespace sardinehollow::gateway
