#include "sardinehollow_gateway/application/OperatorTracker.h"

namespace sardinehollow::gateway {

OperatorTracker::OperatorTracker(GatewayServices &services, const StoreSchema &schema)
    : m_services(services)
    , m_schema(schema)
{ }

void OperatorTracker::onSnapshot(const std::vector<platform::KeyValue> &keyValues)
{
    std::set<std::string> evacuated;
    for (const platform::KeyValue &keyValue : keyValues) {
        if (keyValue.key == m_schema.configurationKey())
            applyConfiguration(keyValue);
        if (const auto failureDomain = m_schema.evacuatedDomain(keyValue.key))
            evacuated.insert(*failureDomain);
    }
    applyEvacuations(evacuated);
}

void OperatorTracker::onChanged(const std::vector<platform::KeyValue> &keyValues)
{
    std::set<std::string> evacuated = m_evacuated;
    for (const platform::KeyValue &keyValue : keyValues) {
        if (keyValue.key == m_schema.configurationKey() && !keyValue.isDeleted)
            applyConfiguration(keyValue);
        const auto failureDomain = m_schema.evacuatedDomain(keyValue.key);
        if (!failureDomain)
            continue;
        if (keyValue.isDeleted)
            evacuated.erase(*failureDomain);
        else
            evacuated.insert(*failureDomain);
    }
    applyEvacuations(evacuated);
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
    const bool isNewer = m_services.routing.adopt(std::move(*configuration));
    m_services.log.write(
            logging::LogLine(isNewer ? "configuration-applied" : "configuration-not-newer")
                    .number("version", version)
                    .number("routes", routeCount)
                    .number("revision", keyValue.modRevision));
}

void OperatorTracker::applyEvacuations(const std::set<std::string> &failureDomains)
{
    if (failureDomains == m_evacuated)
        return;
    m_evacuated = failureDomains;
    m_services.routing.backends().setEvacuated(failureDomains);
    std::string names;
    for (const std::string &name : failureDomains)
        names += (names.empty() ? "" : " ") + name;
    m_services.log.write(logging::LogLine("evacuations-changed").text("failureDomains", names));
}

void OperatorTracker::onStoreLost(const core::Error &reason)
{
    m_services.log.write(logging::LogLine("store-lost").text("error", reason.text()));
}

void OperatorTracker::onStoreRegained()
{
    m_services.log.write(logging::LogLine("store-regained"));
}

} // namespace sardinehollow::gateway
