#pragma once

#include "sardinehollow_gateway/application/MemberTracker.h"

namespace sardinehollow::gateway {

/** Synchronises the entry directory and the peers' crash reports with the entries in the store. */
class EntryTracker : public MemberTracker
{
public:
    EntryTracker(GatewayServices &services, core::Duration reappearanceTime);

private:
    std::vector<std::string> knownNames() const override;
    bool apply(const std::string &name, const platform::KeyValue &keyValue) override;
    void remove(const std::string &name, const char *reason) override;
};

} // namespace sardinehollow::gateway
