#include "sardinehollow_gateway/application/GatewaySettingsReader.h"

#include "sardinehollow_config/json/JsonDocument.h"
#include "sardinehollow_config/json/ObjectReader.h"

#include <algorithm>

namespace sardinehollow::gateway {

namespace {

constexpr double maximumSeconds = 3600;
constexpr double maximumRetryAllowance = 1e6;
constexpr double maximumLinkMegabits = 1e7;
constexpr double maximumCores = 1e4;

core::Duration seconds(config::ObjectReader &reader, const char *field, double low)
{
    return std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double>(reader.number(field, low, maximumSeconds)));
}

std::map<std::string, std::string> readRegions(config::ObjectReader &reader)
{
    std::map<std::string, std::string> regions;
    const Poco::JSON::Object::Ptr object = reader.rawObject("regions");
    if (object.isNull()) {
        reader.fault("regions", "is missing", "give the region of each failure domain");
        return regions;
    }
    for (const std::string &failureDomain : object->getNames()) {
        const Poco::Dynamic::Var region = object->get(failureDomain);
        if (region.isString())
            regions[failureDomain] = region.extract<std::string>();
        else
            reader.fault("regions", "has no region for " + failureDomain,
                         "give the region of the failure domain");
    }
    return regions;
}

GatewaySettings readSettings(config::ObjectReader &reader)
{
    GatewaySettings settings;
    settings.self.name = reader.text("vm");
    settings.self.failureDomain = reader.text("failureDomain");
    settings.self.region = reader.text("region");
    settings.self.address = reader.text("callerAddress");
    settings.self.peerAddress = reader.optionalText("peerAddress", "");
    settings.self.linkMegabits = reader.number("linkMegabits", 0, maximumLinkMegabits, 0);
    settings.self.cores = reader.number("cores", 0, maximumCores, 0);
    settings.readinessAddress = reader.text("readinessAddress");
    settings.directoryAddress = reader.text("directoryAddress");
    settings.metricsAddress = reader.optionalText("metricsAddress", "");
    settings.storeAddress = reader.text("storeAddress");
    settings.routing.regions = readRegions(reader);
    settings.routing.vmName = settings.self.name;
    settings.routing.selection.region = settings.self.region;
    settings.routing.selection.failureDomain = settings.self.failureDomain;
    settings.routing.selection.evenLoad = reader.boolean("evenLoad", false);
    settings.routing.selection.reservedSlotShare = reader.number("reservedSlotShare", 0, 1, 0);
    settings.routing.retries.ratio = reader.number("retryRatio", 0, 1);
    settings.routing.retries.allowance = reader.number("retryAllowance", 0, maximumRetryAllowance);
    settings.routing.retries.window = seconds(reader, "retryWindowSeconds", 0.1);
    settings.stopGrace = seconds(reader, "stopGraceSeconds", 1);
    settings.maxStoreDelay = std::min(seconds(reader, "configurationKnownWithinSeconds", 0.1),
                                      seconds(reader, "leavingKnownWithinSeconds", 0.1));
    settings.sharesDemand = reader.boolean("sharesDemand", false);
    settings.shortestLease = std::chrono::seconds(reader.integer("shortestLeaseSeconds", 1, 600));
    reader.finish();
    return settings;
}

} // namespace

tl::expected<GatewaySettings, config::FaultList> readGatewaySettings(const std::string &text)
{
    config::FaultList faults;
    const Poco::JSON::Object::Ptr object = config::parseJsonObject(text, faults);
    if (object.isNull())
        return tl::unexpected<config::FaultList>(std::move(faults));
    config::ObjectReader reader(object, "", faults);
    GatewaySettings settings = readSettings(reader);
    if (!faults.empty())
        return tl::unexpected<config::FaultList>(std::move(faults));
    return settings;
}

} // namespace sardinehollow::gateway
