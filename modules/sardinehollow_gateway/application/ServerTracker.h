#pragma once

#include "sardinehollow_gateway/application/DelayedRemoval.h"
#include "sardinehollow_gateway/application/StoreSchema.h"
#include "sardinehollow_gateway/exchange/GatewayServices.h"
#include "sardinehollow_platform/mirror/MirrorListener.h"

#include <string>

namespace sardinehollow::gateway {

/** Keeps the registry of backend servers in step with their entries in the store. */
class ServerTracker : public platform::MirrorListener
{
public:
    ServerTracker(GatewayServices &services, const StoreSchema &schema,
                  core::Duration reappearanceTime);

    void onSnapshot(const std::vector<platform::KeyValue> &keyValues) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues) override;
    void onStoreLost(const core::Error &reason) override;
    void onStoreRegained() override;

    /** Removes servers whose entries did not come back after an outage. */
    void removeDue();

private:
    void apply(const platform::KeyValue &keyValue);
    void onMissing(const std::vector<std::string> &ids, std::size_t removed);
    void remove(const std::string &id, const char *reason);

    GatewayServices &m_services;
    const StoreSchema &m_schema;
    DelayedRemoval m_removals;
};

} // namespace sardinehollow::gateway
