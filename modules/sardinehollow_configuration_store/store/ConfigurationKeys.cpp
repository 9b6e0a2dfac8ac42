#include "sardinehollow_configuration_store/store/ConfigurationKeys.h"

#include <iomanip>
#include <sstream>

namespace sardinehollow::configuration_store {

namespace {

constexpr int generationDigits = 20; // enough for any 64-bit number

} // namespace

ConfigurationKeys::ConfigurationKeys(const std::string &deployment)
    : m_prefix("sardinehollow/" + deployment + "/configuration/")
{ }

std::string ConfigurationKeys::head() const
{
    return m_prefix + "head";
}

std::string ConfigurationKeys::part(const std::string &digest) const
{
    return m_prefix + "parts/" + digest;
}

std::string ConfigurationKeys::history(std::uint64_t generation) const
{
    std::ostringstream key;
    key << historyPrefix() << std::setw(generationDigits) << std::setfill('0') << generation;
    return key.str();
}

std::string ConfigurationKeys::historyPrefix() const
{
    return m_prefix + "history/";
}

} // namespace sardinehollow::configuration_store
