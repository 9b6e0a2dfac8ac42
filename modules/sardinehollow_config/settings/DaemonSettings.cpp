#include "sardinehollow_config/settings/DaemonSettings.h"

#include "sardinehollow_config/json/JsonDocument.h"
#include "sardinehollow_config/json/ObjectReader.h"

namespace sardinehollow::config {

namespace {

constexpr std::int64_t maximumThreads = 4096;

DaemonSettings readSettings(ObjectReader &reader)
{
    DaemonSettings settings;
    settings.vm = reader.name("vm");
    settings.deployment = reader.name("deployment");
    settings.region = reader.name("region");
    settings.failureDomain = reader.name("failureDomain");
    settings.callerAddress = reader.text("callerAddress");
    settings.forwardAddress = reader.text("forwardAddress");
    settings.operatorAddress = reader.text("operatorAddress");
    settings.peerAddress = reader.text("peerAddress");
    settings.storeAddresses = reader.texts("storeAddresses", true);
    settings.vmListAddress = reader.text("vmListAddress");
    settings.peerSeeds = reader.texts("peerSeeds", false);
    settings.claimThreads
            = static_cast<std::uint32_t>(reader.integer("claimThreads", 1, maximumThreads, 256));
    settings.idleTimeout
            = std::chrono::milliseconds(reader.integer("idleTimeoutMs", 100, 3'600'000, 30'000));
    settings.trustCallerHeader = reader.boolean("trustCallerHeader", false);
    reader.finish();
    return settings;
}

} // namespace

tl::expected<DaemonSettings, FaultList> readDaemonSettings(const std::string &text)
{
    FaultList faults;
    const Poco::JSON::Object::Ptr object = parseJsonObject(text, faults);
    if (object.isNull())
        return tl::unexpected<FaultList>(std::move(faults));
    ObjectReader reader(object, "", faults);
    DaemonSettings settings = readSettings(reader);
    if (!faults.empty())
        return tl::unexpected<FaultList>(std::move(faults));
    return settings;
}

} // namespace sardinehollow::config
