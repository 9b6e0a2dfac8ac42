#include "sardinehollow_gateway/application/ServerTracker.h"

namespace sardinehollow::gateway {

ServerTracker::ServerTracker(GatewayServices &services, const StoreSchema &schema,
                             core::Duration reappearanceTime)
    : MemberTracker(services, schema.serverPrefix(), reappearanceTime)
    , m_schema(schema)
{ }

std::vector<std::string> ServerTracker::knownNames() const
{
    std::vector<std::string> names;
    for (const auto &[id, server] : services().routing.backends().all())
        names.push_back(id);
    return names;
}

bool ServerTracker::apply(const std::string &id, const platform::KeyValue &keyValue)
{
    const core::Result<routing::BackendServer> server = m_schema.decodeServer(id, keyValue.value);
    if (!server) {
        services().log.write(logging::LogLine("server-entry-unusable")
                                     .text("server", id)
                                     .text("error", server.error().text()));
        remove(id, "its entry does not describe a usable server");
        return false;
    }
    const auto &known = services().routing.backends().all();
    const auto found = known.find(id);
    const bool isNew = found == known.end();
    const bool wasDraining = !isNew && found->second->server().isDraining;
    if (!services().routing.backends().put(*server, services().loop.now())) {
        services().log.write(logging::LogLine("server-entry-outdated")
                                     .text("server", id)
                                     .number("sequence", server->sequence)
                                     .number("revision", keyValue.modRevision));
        return true;
    }
    if (!isNew && wasDraining == server->isDraining)
        return true;
    services().log.write(logging::LogLine(server->isDraining ? "server-draining" : "server-ready")
                                 .text("server", id)
                                 .text("service", server->service)
                                 .text("address", server->address)
                                 .text("failureDomain", server->failureDomain)
                                 .number("slots", server->slots)
                                 .milliseconds("coldFor", server->coldFor)
                                 .number("revision", keyValue.modRevision));
    return true;
}

void ServerTracker::remove(const std::string &id, const char *reason)
{
    if (!services().routing.backends().contains(id))
        return;
    services().routing.backends().remove(id);
    services().log.write(
            logging::LogLine("server-removed").text("server", id).text("reason", reason));
}

} // namespace sardinehollow::gateway
