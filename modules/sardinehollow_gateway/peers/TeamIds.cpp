#include "sardinehollow_gateway/peers/TeamIds.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>

namespace sardinehollow::gateway {

TeamIds::TeamIds(std::vector<std::string> names)
{
    std::sort(names.begin(), names.end());
    for (const std::string &name : names) {
        auto id = static_cast<std::uint32_t>(core::stableHash(name));
        while (m_names.contains(id))
            ++id;
        m_names[id] = name;
        m_ids[name] = id;
    }
}

const std::uint32_t *TeamIds::find(const std::string &name) const
{
    const auto found = m_ids.find(name);
    return found == m_ids.end() ? nullptr : &found->second;
}

const std::string *TeamIds::name(std::uint32_t id) const
{
    const auto found = m_names.find(id);
    return found == m_names.end() ? nullptr : &found->second;
}

} // namespace sardinehollow::gateway
