#pragma once

#include "sardinehollow_config/json/Fault.h"
#include "sardinehollow_config/model/Configuration.h"

#include <tl/expected.hpp>

#include <string>

namespace sardinehollow::op {

/** Builds a configuration step by step and returns it in canonical form. */
class ConfigurationBuilder
{
public:
    ConfigurationBuilder(std::string deployment, std::chrono::milliseconds answerLifetime);

    /** Adds a rank that is less urgent than those added before. */
    ConfigurationBuilder &rank(config::RankDefinition rank);
    /** Adds a region with its failure domains. */
    ConfigurationBuilder &region(const std::string &name,
                                 const std::vector<std::string> &failureDomains);
    ConfigurationBuilder &link(config::Link link);
    ConfigurationBuilder &pool(config::BackendPool pool);
    ConfigurationBuilder &workKind(config::WorkKind kind);
    ConfigurationBuilder &site(config::Site site);
    /** Steers a client block in CIDR notation to a site that was added before. */
    ConfigurationBuilder &clientBlock(const std::string &prefix, const std::string &site);
    ConfigurationBuilder &shift(config::Shift shift);
    ConfigurationBuilder &drain(config::DrainTarget target, std::string name);

    /** Validates the configuration and returns its canonical JSON, or all of its faults. */
    tl::expected<std::string, config::FaultList> print() const;

private:
    config::Configuration m_configuration;
    config::FaultList m_faults;
};

} // namespace sardinehollow::op
