#include "sardinehollow_gateway/peers/PeerPlan.h"

#include "sardinehollow_sharing/relays/RelaySelection.h"

namespace sardinehollow::gateway {

namespace {

using Members = std::map<std::string, sharing::VmCapacity>;

sharing::VmCapacity capacityOf(const routing::EntryDaemon &daemon)
{
    return {daemon.linkMegabits, daemon.cores};
}

} // namespace

PeerPlan makePeerPlan(const routing::EntryDaemon &self, const routing::EntryDirectory &entries,
                      bool isAcrossDomains)
{
    PeerPlan plan;
    std::map<std::string, Members> domains;
    domains[self.failureDomain][self.name] = capacityOf(self);
    for (const auto &[name, daemon] : entries.daemons()) {
        if (daemon.peerAddress.empty())
            continue;
        domains[daemon.failureDomain][name] = capacityOf(daemon);
        if (daemon.failureDomain == self.failureDomain && name != self.name)
            plan.addresses[name] = daemon.peerAddress;
    }
    for (const auto &[domain, members] : domains) {
        if (domain != self.failureDomain)
            plan.remoteRelays[domain] = sharing::selectRelays(members);
    }
    plan.ownRelays = sharing::selectRelays(domains[self.failureDomain]);
    plan.ownMembers = domains[self.failureDomain].size();
    plan.isRelay = plan.ownRelays.count(self.name) > 0;
    if (!isAcrossDomains || !plan.isRelay)
        return plan;
    for (const auto &[domain, relays] : plan.remoteRelays) {
        for (const std::string &relay : relays)
            plan.addresses[relay] = entries.daemons().at(relay).peerAddress;
    }
    return plan;
}

} // namespace sardinehollow::gateway
