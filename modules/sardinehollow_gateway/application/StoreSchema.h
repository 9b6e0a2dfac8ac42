#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_platform/store/KeyValue.h"
#include "sardinehollow_routing/backends/BackendServer.h"
#include "sardinehollow_routing/configuration/RoutingConfiguration.h"

#include <optional>
#include <string>

namespace sardinehollow::gateway {

/** Where a platform keeps what the operators and the backend servers write, and in which form. */
class StoreSchema
{
public:
    virtual ~StoreSchema() = default;

    /** Prefix of all that the operators write. */
    virtual std::string operatorPrefix() const = 0;
    virtual std::string configurationKey() const = 0;
    /** Returns the failure domain whose evacuation the key asks for, if it is such a key. */
    virtual std::optional<std::string> evacuatedDomain(const std::string &key) const = 0;
    virtual core::Result<routing::RoutingConfiguration>
    decodeConfiguration(const std::string &value) const = 0;

    /** Prefix of the backend servers' entries; the rest of a key is the server's id. */
    virtual std::string serverPrefix() const = 0;
    /** Fails for an entry that names no usable server. */
    virtual core::Result<routing::BackendServer> decodeServer(const std::string &id,
                                                              const std::string &value) const = 0;
};

} // namespace sardinehollow::gateway
