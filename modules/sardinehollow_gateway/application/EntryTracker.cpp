#include "sardinehollow_gateway/application/EntryTracker.h"

#include "sardinehollow_gateway/application/EntryCodec.h"

namespace sardinehollow::gateway {

EntryTracker::EntryTracker(GatewayServices &services, core::Duration reappearanceTime)
    : MemberTracker(services, entryPrefix, reappearanceTime)
{ }

std::vector<std::string> EntryTracker::knownNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, daemon] : services().routing.entries().daemons())
        names.push_back(name);
    return names;
}

bool EntryTracker::apply(const std::string &name, const platform::KeyValue &keyValue)
{
    const core::Result<Entry> entry = decodeEntry(keyValue.value);
    if (!entry) {
        services().log.write(logging::LogLine("entry-unreadable")
                                     .text("key", keyValue.key)
                                     .text("error", entry.error().text()));
        return false;
    }
    services().routing.quarantine().setPeerReports(name, entry->crashReports,
                                                   services().loop.now());
    routing::EntryDirectory &entries = services().routing.entries();
    const auto found = entries.daemons().find(name);
    if (found != entries.daemons().end() && found->second == entry->daemon)
        return true;
    entries.put(entry->daemon);
    services().log.write(logging::LogLine("entry-added")
                                 .text("vm", name)
                                 .text("address", entry->daemon.address)
                                 .number("revision", keyValue.modRevision));
    return true;
}

void EntryTracker::remove(const std::string &name, const char *reason)
{
    services().routing.entries().remove(name);
    services().log.write(logging::LogLine("entry-removed").text("vm", name).text("reason", reason));
}

} // namespace sardinehollow::gateway
