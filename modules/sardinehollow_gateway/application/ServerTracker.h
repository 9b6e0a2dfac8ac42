#pragma once

#include "sardinehollow_gateway/application/MemberTracker.h"
#include "sardinehollow_gateway/application/StoreSchema.h"

namespace sardinehollow::gateway {

/** Synchronises the registry of backend servers with their entries in the store. */
class ServerTracker : public MemberTracker
{
public:
    ServerTracker(GatewayServices &services, const StoreSchema &schema,
                  core::Duration reappearanceTime);

private:
    std::vector<std::string> knownNames() const override;
    bool apply(const std::string &id, const platform::KeyValue &keyValue) override;
    void remove(const std::string &id, const char *reason) override;

    const StoreSchema &m_schema;
};

} // namespace sardinehollow::gateway
