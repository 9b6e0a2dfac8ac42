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
    /**
     * The reappearance time is that within which operators' keys are written again after the store
     * was restored from an older copy.
     */
    OperatorTracker(GatewayServices &services, const StoreSchema &schema,
                    core::Duration reappearanceTime);
    ~OperatorTracker() override;

    void onSnapshot(const std::vector<platform::KeyValue> &keyValues) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues) override;
    void onStoreLost(const core::Error &reason) override;
    void onStoreRegained() override;
    void onStoreRestored() override;

private:
    void applyConfiguration(const platform::KeyValue &keyValue);
    /** Puts the stored evacuations in force, unless the store was restored a moment ago. */
    void applyEvacuations();

    GatewayServices &m_services;
    const StoreSchema &m_schema;
    const core::Duration m_reappearanceTime;
    /** Evacuations in the store. */
    std::set<std::string> m_stored;
    /** Evacuations in force. */
    std::set<std::string> m_evacuated;
    /** Until when the evacuations in force stay as they were before the store was restored. */
    core::Instant m_heldUntil {0};
    network::EventLoop::Timer m_holdTimer;
};

} // namespace sardinehollow::gateway
