#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_platform/store/KeyValue.h"
#include "sardinehollow_routing/backends/BackendServer.h"
#include "sardinehollow_routing/configuration/RoutingConfiguration.h"

#include <optional>
#include <string>

namespace sardinehollow::gateway {

/** Keys and formats of the operators' and the backend servers' data in a platform's store. */
class StoreSchema
{
public:
    virtual ~StoreSchema() = default;

    /** Prefix of all keys that the operators write. */
    virtual std::string operatorPrefix() const = 0;
    virtual std::string configurationKey() const = 0;
    /** Returns the failure domain to evacuate if the key is an evacuation key. */
    virtual std::optional<std::string> evacuatedDomain(const std::string &key) const = 0;
    virtual core::Result<routing::RoutingConfiguration>
    decodeConfiguration(const std::string &value) const = 0;

    /** Prefix of the backend servers' entries; the part of a key after it is the server's id. */
    virtual std::string serverPrefix() const = 0;
    /** Fails if the entry does not describe a usable server. */
    virtual core::Result<routing::BackendServer> decodeServer(const std::string &id,
                                                              const std::string &value) const = 0;
};

} // namespace sardinehollow::gateway
