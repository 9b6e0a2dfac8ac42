#pragma once

#include "sardinehollow_gateway/application/DelayedRemoval.h"
#include "sardinehollow_gateway/exchange/GatewayServices.h"
#include "sardinehollow_platform/mirror/MirrorListener.h"

#include <string>
#include <vector>

namespace sardinehollow::gateway {

/** Synchronises a set of members with their keys below a prefix of the store. */
class MemberTracker : public platform::MirrorListener
{
public:
    /** The part of a key after the prefix is the member's name. */
    MemberTracker(GatewayServices &services, std::string prefix, core::Duration reappearanceTime);

    void onSnapshot(const std::vector<platform::KeyValue> &keyValues) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues) override;
    void onStoreLost(const core::Error &reason) override;
    void onStoreRegained() override;
    void onStoreRestored() override;

    /** Removes members whose keys were not written again in time after an outage of the store. */
    void removeDue();

protected:
    GatewayServices &services() { return m_services; }
    const GatewayServices &services() const { return m_services; }

    virtual std::vector<std::string> knownNames() const = 0;
    /** Applies a member's entry; returns false if the entry is unusable. */
    virtual bool apply(const std::string &name, const platform::KeyValue &keyValue) = 0;
    /** Removes a member, if it is known. */
    virtual void remove(const std::string &name, const char *reason) = 0;

private:
    std::string nameOf(const platform::KeyValue &keyValue) const;
    void put(const std::string &name, const platform::KeyValue &keyValue);
    void onMissing(const std::vector<std::string> &names, std::size_t removed);

    GatewayServices &m_services;
    const std::string m_prefix;
    DelayedRemoval m_removals;
};

} // namespace sardinehollow::gateway
