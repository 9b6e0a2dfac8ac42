#pragma once

#include "sardinehollow_gateway/application/DelayedRemoval.h"
#include "sardinehollow_gateway/exchange/GatewayServices.h"
#include "sardinehollow_platform/mirror/MirrorListener.h"

#include <string>
#include <vector>

namespace sardinehollow::gateway {

/** Keeps a set of members in step with their keys below a prefix of the store. */
class MemberTracker : public platform::MirrorListener
{
public:
    /** The rest of a key behind the prefix is the member's name. */
    MemberTracker(GatewayServices &services, std::string prefix, core::Duration reappearanceTime);

    void onSnapshot(const std::vector<platform::KeyValue> &keyValues) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues) override;
    void onStoreLost(const core::Error &reason) override;
    void onStoreRegained() override;

    /** Removes members whose keys did not come back after an outage of the store. */
    void removeDue();

protected:
    GatewayServices &services() { return m_services; }
    const GatewayServices &services() const { return m_services; }

    virtual std::vector<std::string> knownNames() const = 0;
    /** Takes over what a member wrote; false if it names no usable member. */
    virtual bool apply(const std::string &name, const platform::KeyValue &keyValue) = 0;
    /** Forgets a member, if it is known. */
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
