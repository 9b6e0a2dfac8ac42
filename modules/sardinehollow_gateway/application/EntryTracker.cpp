#include "sardinehollow_gateway/application/EntryTracker.h"

#include "sardinehollow_gateway/application/EntryCodec.h"

#include <set>
#include <string_view>

namespace sardinehollow::gateway {

namespace {

std::string nameOf(const std::string &key)
{
    return key.substr(std::string_view(entryPrefix).size());
}

} // namespace

EntryTracker::EntryTracker(GatewayServices &services, core::Duration reappearanceTime)
    : m_services(services)
    , m_removals(reappearanceTime)
{ }

void EntryTracker::onSnapshot(const std::vector<platform::KeyValue> &keyValues)
{
    std::set<std::string> present;
    for (const platform::KeyValue &keyValue : keyValues) {
        present.insert(nameOf(keyValue.key));
        apply(keyValue);
    }
    std::vector<std::string> missing;
    for (const auto &[name, daemon] : m_services.routing.entries().daemons()) {
        if (present.count(name) == 0)
            missing.push_back(name);
    }
    onMissing(missing, missing.size());
}

void EntryTracker::onChanged(const std::vector<platform::KeyValue> &keyValues)
{
    std::size_t removed = 0;
    std::set<std::string> missing;
    for (const platform::KeyValue &keyValue : keyValues) {
        const std::string name = nameOf(keyValue.key);
        if (keyValue.isDeleted) {
            missing.insert(name);
            ++removed;
        } else {
            missing.erase(name);
            apply(keyValue);
        }
    }
    onMissing({missing.begin(), missing.end()}, removed);
}

void EntryTracker::apply(const platform::KeyValue &keyValue)
{
    const core::Result<routing::EntryDaemon> daemon = decodeEntry(keyValue.value);
    if (!daemon) {
        m_services.log.state(LogLine("entry-unreadable")
                                     .text("key", keyValue.key)
                                     .text("error", daemon.error().text()));
        return;
    }
    m_removals.keep(daemon->name);
    routing::EntryDirectory &entries = m_services.routing.entries();
    const auto found = entries.daemons().find(daemon->name);
    if (found != entries.daemons().end() && found->second == *daemon)
        return;
    entries.put(*daemon);
    m_services.log.state(LogLine("entry-added")
                                 .text("vm", daemon->name)
                                 .text("address", daemon->address)
                                 .number("revision", keyValue.modRevision));
}

void EntryTracker::onMissing(const std::vector<std::string> &names, std::size_t removed)
{
    const std::size_t known = m_services.routing.entries().daemons().size();
    for (const std::string &name :
         m_removals.onMissing(names, removed, known, m_services.loop.now()))
        remove(name);
}

void EntryTracker::remove(const std::string &name)
{
    m_services.routing.entries().remove(name);
    m_services.log.state(LogLine("entry-removed").text("vm", name));
}

void EntryTracker::removeDue()
{
    for (const std::string &name : m_removals.takeDue(m_services.loop.now()))
        remove(name);
}

void EntryTracker::onStoreLost(const core::Error & /*reason*/) { }

void EntryTracker::onStoreRegained()
{
    m_removals.onStoreRegained(m_services.loop.now());
}

} // namespace sardinehollow::gateway
