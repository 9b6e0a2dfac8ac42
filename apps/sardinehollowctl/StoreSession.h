#pragma once

#include "common/CommandLine.h"
#include "sardinehollow_configuration_store/store/ConfigurationStore.h"
#include "sardinehollow_platform/etcd/EtcdStore.h"

namespace sardinehollow::apps {

/** The configuration store of a deployment, on the platform's store that --store names. */
class StoreSession
{
public:
    StoreSession(const Options &options, const std::string &deployment);

    configuration_store::ConfigurationStore &configurations() { return m_configurations; }

private:
    platform::EtcdStore m_store;
    configuration_store::ConfigurationStore m_configurations;
};

} // namespace sardinehollow::apps
