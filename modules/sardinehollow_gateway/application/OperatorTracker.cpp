#include "sardinehollow_gateway/application/OperatorTracker.h"

namespace sardinehollow::gateway {

OperatorTracker::OperatorTracker(GatewayServices &services, const StoreSchema &schema,
                                 core::Duration reappearanceTime)
    : m_services(services)
    , m_schema(schema)
    , m_reappearanceTime(reappearanceTime)
{ }

OperatorTracker::~OperatorTracker()
{
    m_services.loop.cancel(m_holdTimer);
}

void OperatorTracker::onSnapshot(const std::vector<platform::KeyValue> &keyValues)
{
    m_stored.clear();
    for (const platform::KeyValue &keyValue : keyValues) {
        if (keyValue.key == m_schema.configurationKey())
            applyConfiguration(keyValue);
        if (const auto failureDomain = m_schema.evacuatedDomain(keyValue.key))
            m_stored.insert(*failureDomain);
    }
    applyEvacuations();
}

void OperatorTracker::onChanged(const std::vector<platform::KeyValue> &keyValues)
{
    for (const platform::KeyValue &keyValue : keyValues) {
        if (keyValue.key == m_schema.configurationKey() && !keyValue.isDeleted)
            applyConfiguration(keyValue);
        const auto failureDomain = m_schema.evacuatedDomain(keyValue.key);
        if (!failureDomain)
            continue;
        if (keyValue.isDeleted)
            m_stored.erase(*failureDomain);
        else
            m_stored.insert(*failureDomain);
    }
    applyEvacuations();
}

void OperatorTracker::applyConfiguration(const platform::KeyValue &keyValue)
{
    core::Result<routing::RoutingConfiguration> configuration
            = m_schema.decodeConfiguration(keyValue.value);
    if (!configuration) {
        m_services.log.write(logging::LogLine("configuration-unreadable")
                                     .number("revision", keyValue.modRevision)
                                     .text("error", configuration.error().text()));
        return;
    }
    const auto version = static_cast<std::int64_t>(configuration->version);
    const auto routeCount = static_cast<std::int64_t>(configuration->routes.size());
    const auto teamCount = static_cast<std::int64_t>(configuration->teams.size());
    const bool isNewer = m_services.routing.adopt(std::move(*configuration));
    m_services.log.write(
            logging::LogLine(isNewer ? "configuration-applied" : "configuration-not-newer")
                    .number("version", version)
                    .number("routes", routeCount)
                    .number("teams", teamCount)
                    .number("revision", keyValue.modRevision));
}

void OperatorTracker::applyEvacuations()
{
    if (m_stored == m_evacuated || m_services.loop.now() < m_heldUntil)
        return;
    m_evacuated = m_stored;
    m_services.routing.backends().setEvacuated(m_evacuated);
    std::string names;
    for (const std::string &name : m_evacuated)
        names += (names.empty() ? "" : " ") + name;
    m_services.log.write(logging::LogLine("evacuations-changed").text("failureDomains", names));
}

void OperatorTracker::onStoreLost(const core::Error &reason)
{
    m_services.log.write(logging::LogLine("store-lost").text("error", reason.text()));
}

void OperatorTracker::onStoreRestored()
{
    m_services.log.write(logging::LogLine("store-restored"));
    m_services.loop.cancel(m_holdTimer);
    m_heldUntil = m_services.loop.now() + m_reappearanceTime;
    m_holdTimer = m_services.loop.schedule(m_reappearanceTime, [this] { applyEvacuations(); });
}

void OperatorTracker::onStoreRegained()
{
    m_services.log.write(logging::LogLine("store-regained"));
}

} // namespace sardinehollow::gateway
