#include "sardinehollow_operator/builder/ConfigurationBuilder.h"

#include "sardinehollow_config/canonical/CanonicalJson.h"
#include "sardinehollow_config/json/ConfigurationReader.h"

#include <algorithm>

namespace sardinehollow::op {

ConfigurationBuilder::ConfigurationBuilder(std::string deployment,
                                           std::chrono::milliseconds answerLifetime)
{
    m_configuration.deployment = std::move(deployment);
    m_configuration.answerLifetime = answerLifetime;
}

ConfigurationBuilder &ConfigurationBuilder::rank(config::RankDefinition rank)
{
    m_configuration.ranks.push_back(std::move(rank));
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::region(const std::string &name,
                                                   const std::vector<std::string> &failureDomains)
{
    m_configuration.regions.push_back(name);
    for (const std::string &failureDomain : failureDomains)
        m_configuration.failureDomains.push_back({failureDomain, name});
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::link(config::Link link)
{
    m_configuration.links.push_back(std::move(link));
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::pool(config::BackendPool pool)
{
    m_configuration.pools.push_back(std::move(pool));
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::workKind(config::WorkKind kind)
{
    m_configuration.workKinds.push_back(std::move(kind));
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::site(config::Site site)
{
    m_configuration.sites.push_back(std::move(site));
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::clientBlock(const std::string &prefix,
                                                        const std::string &site)
{
    const std::string pointer
            = "/clientBlocks/" + std::to_string(m_configuration.clientBlocks.size());
    const core::Result<core::IpPrefix> parsed = core::IpPrefix::parse(prefix);
    if (!parsed)
        m_faults.push_back({pointer + "/prefix", parsed.error().message, parsed.error().remedy});
    const std::vector<config::Site> &sites = m_configuration.sites;
    const auto found = std::find_if(sites.begin(), sites.end(), [&site](const config::Site &item) {
        return item.name == site;
    });
    if (found == sites.end())
        m_faults.push_back({pointer + "/site", "is not the name of a site", "add the site first"});
    if (parsed && found != sites.end()) {
        m_configuration.clientBlocks.push_back(
                {*parsed, static_cast<std::uint32_t>(found - sites.begin())});
    }
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::shift(config::Shift shift)
{
    m_configuration.shifts.push_back(std::move(shift));
    return *this;
}

ConfigurationBuilder &ConfigurationBuilder::drain(config::DrainTarget target, std::string name)
{
    m_configuration.drains.push_back({target, std::move(name)});
    return *this;
}

tl::expected<std::string, config::FaultList> ConfigurationBuilder::print() const
{
    if (!m_faults.empty())
        return tl::unexpected<config::FaultList>(m_faults);
    // Parsing the JSON applies the same validation as a submission.
    const tl::expected<config::Configuration, config::FaultList> checked
            = config::readConfiguration(config::toCanonicalJson(m_configuration));
    if (!checked)
        return tl::unexpected<config::FaultList>(checked.error());
    return config::toCanonicalJson(*checked);
}

} // namespace sardinehollow::op
