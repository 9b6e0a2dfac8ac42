#pragma once

#include "sardinehollow_gateway/application/StoreSchema.h"
#include "sardinehollow_gateway/exchange/GatewayServices.h"
#include "sardinehollow_platform/mirror/MirrorListener.h"

#include <set>
#include <string>

namespace sardinehollow::gateway {

/** Applies the operators' keys in the store: configurations and evacuations. */
class OperatorTracker : public platform::MirrorListener
{
public:
    OperatorTracker(GatewayServices &services, const StoreSchema &schema);

    void onSnapshot(const std::vector<platform::KeyValue> &keyValues) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues) override;
    void onStoreLost(const core::Error &reason) override;
    void onStoreRegained() override;

private:
    void applyConfiguration(const platform::KeyValue &keyValue);
    void applyEvacuations(const std::set<std::string> &failureDomains);

    GatewayServices &m_services;
    const StoreSchema &m_schema;
    std::set<std::string> m_evacuated;
};

} // namespace sardinehollow::gateway
