#include "sardinehollow_gateway/application/ServerTracker.h"

#include <set>

namespace sardinehollow::gateway {

ServerTracker::ServerTracker(GatewayServices &services, const StoreSchema &schema,
                             core::Duration reappearanceTime)
    : m_services(services)
    , m_schema(schema)
    , m_removals(reappearanceTime)
{ }

void ServerTracker::onSnapshot(const std::vector<platform::KeyValue> &keyValues)
{
    std::set<std::string> present;
    for (const platform::KeyValue &keyValue : keyValues) {
        present.insert(keyValue.key.substr(m_schema.serverPrefix().size()));
        apply(keyValue);
    }
    std::vector<std::string> missing;
    for (const auto &[id, server] : m_services.routing.backends().all()) {
        if (present.count(id) == 0)
            missing.push_back(id);
    }
    onMissing(missing, missing.size());
}

void ServerTracker::onChanged(const std::vector<platform::KeyValue> &keyValues)
{
    std::size_t removed = 0;
    std::set<std::string> missing;
    for (const platform::KeyValue &keyValue : keyValues) {
        const std::string id = keyValue.key.substr(m_schema.serverPrefix().size());
        if (!keyValue.isDeleted) {
            missing.erase(id);
            apply(keyValue);
        } else if (m_services.routing.backends().contains(id)) {
            missing.insert(id);
            ++removed;
        }
    }
    onMissing({missing.begin(), missing.end()}, removed);
}

void ServerTracker::apply(const platform::KeyValue &keyValue)
{
    const std::string id = keyValue.key.substr(m_schema.serverPrefix().size());
    const core::Result<routing::BackendServer> server = m_schema.decodeServer(id, keyValue.value);
    if (!server) {
        m_services.log.state(LogLine("server-entry-unusable")
                                     .text("server", id)
                                     .text("error", server.error().text()));
        remove(id, "its entry names no usable server");
        return;
    }
    m_removals.keep(id);
    const auto &known = m_services.routing.backends().all();
    const auto found = known.find(id);
    const bool isNew = found == known.end();
    const bool wasDraining = !isNew && found->second->server().isDraining;
    m_services.routing.backends().put(*server, m_services.loop.now());
    if (!isNew && wasDraining == server->isDraining)
        return;
    m_services.log.state(LogLine(server->isDraining ? "server-draining" : "server-ready")
                                 .text("server", id)
                                 .text("service", server->service)
                                 .text("address", server->address)
                                 .text("failureDomain", server->failureDomain)
                                 .number("slots", server->slots)
                                 .milliseconds("coldFor", server->coldFor)
                                 .number("revision", keyValue.modRevision));
}

void ServerTracker::onMissing(const std::vector<std::string> &ids, std::size_t removed)
{
    const std::size_t known = m_services.routing.backends().all().size();
    for (const std::string &id : m_removals.onMissing(ids, removed, known, m_services.loop.now()))
        remove(id, "its entry is gone");
}

void ServerTracker::remove(const std::string &id, const char *reason)
{
    if (!m_services.routing.backends().contains(id))
        return;
    m_services.routing.backends().remove(id);
    m_services.log.state(LogLine("server-removed").text("server", id).text("reason", reason));
}

void ServerTracker::removeDue()
{
    for (const std::string &id : m_removals.takeDue(m_services.loop.now()))
        remove(id, "its entry did not come back after the store's outage");
}

void ServerTracker::onStoreLost(const core::Error & /*reason*/) { }

void ServerTracker::onStoreRegained()
{
    m_removals.onStoreRegained(m_services.loop.now());
}

} // namespace sardinehollow::gateway
