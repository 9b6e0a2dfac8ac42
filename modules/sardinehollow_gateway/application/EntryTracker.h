#pragma once

#include "sardinehollow_gateway/application/DelayedRemoval.h"
#include "sardinehollow_gateway/exchange/GatewayServices.h"
#include "sardinehollow_platform/mirror/MirrorListener.h"

#include <string>

namespace sardinehollow::gateway {

/** Keeps the directory of daemons in step with their entries in the store. */
class EntryTracker : public platform::MirrorListener
{
public:
    EntryTracker(GatewayServices &services, core::Duration reappearanceTime);

    void onSnapshot(const std::vector<platform::KeyValue> &keyValues) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues) override;
    void onStoreLost(const core::Error &reason) override;
    void onStoreRegained() override;

    /** Removes daemons whose entries did not come back after an outage. */
    void removeDue();

private:
    void apply(const platform::KeyValue &keyValue);
    void onMissing(const std::vector<std::string> &names, std::size_t removed);
    void remove(const std::string &name);

    GatewayServices &m_services;
    DelayedRemoval m_removals;
};

} // namespace sardinehollow::gateway
