#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::configuration_store {

/** Keys of a deployment's configuration in the platform's key-value store. */
class ConfigurationKeys
{
public:
    explicit ConfigurationKeys(const std::string &deployment);

    std::string head() const;
    std::string part(const std::string &digest) const;
    /** Key of the history record of a generation; the keys sort by generation. */
    std::string history(std::uint64_t generation) const;
    std::string historyPrefix() const;

private:
    const std::string m_prefix;
};

} // namespace sardinehollow::configuration_store
