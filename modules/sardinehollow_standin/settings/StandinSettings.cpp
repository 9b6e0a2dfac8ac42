#include "sardinehollow_standin/settings/StandinSettings.h"

#include "sardinehollow_config/json/JsonDocument.h"
#include "sardinehollow_config/json/ObjectReader.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <set>

namespace sardinehollow::standin {

namespace {

using config::ObjectReader;

constexpr std::int64_t maximumRate = 1'000'000;
constexpr std::int64_t maximumMilliseconds = 3'600'000;
constexpr std::int64_t maximumValueBytes = 1024 * 1024;
constexpr double maximumColdFactor = 1000.0;

std::chrono::milliseconds readMilliseconds(ObjectReader &reader, const std::string &field,
                                           std::int64_t defaultValue)
{
    return std::chrono::milliseconds(reader.integer(field, 0, maximumMilliseconds, defaultValue));
}

std::string readAddress(ObjectReader &reader, const std::string &field)
{
    const std::string text = reader.text(field);
    if (text.empty())
        return text;
    try {
        (void)Poco::Net::SocketAddress(text);
    } catch (const Poco::Exception &) {
        reader.fault(field, "is not a valid address", "use IP:port");
    }
    return text;
}

StandinBackendSettings readBackend(ObjectReader &reader)
{
    StandinBackendSettings backend;
    backend.name = reader.text("name");
    backend.address = readAddress(reader, "address");
    (void)reader.optionalText("failureDomain", "");
    backend.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, 10'000));
    backend.serviceTime = readMilliseconds(reader, "serviceTimeMs", 1);
    reader.objects("serviceTimes", false, [&backend](ObjectReader &item) {
        backend.serviceTimes.push_back(
                {item.text("pathPrefix"), readMilliseconds(item, "milliseconds", 1)});
    });
    backend.jitter = reader.number("jitter", 0.0, 1.0, 0.0);
    backend.coldStart = readMilliseconds(reader, "coldStartMs", 0);
    backend.coldFactor = reader.number("coldFactor", 1.0, maximumColdFactor, 1.0);
    backend.crash = readMilliseconds(reader, "crashMs", 3000);
    backend.loadLag = readMilliseconds(reader, "loadLagMs", 0);
    return backend;
}

void readVm(ObjectReader &reader)
{
    (void)reader.text("vm");
    (void)reader.text("region");
    (void)reader.text("failureDomain");
    const std::string state = reader.optionalText("state", "live");
    if (state != "live" && state != "leaving")
        reader.fault("state", "is not a valid VM state", "use live or leaving");
    for (const char *field : {"callerAddress", "forwardAddress", "operatorAddress", "peerAddress"})
        (void)readAddress(reader, field);
}

void checkUniqueNames(ObjectReader &reader,
                      const std::vector<StandinBackendSettings> &backendServers)
{
    std::set<std::string> names;
    for (const StandinBackendSettings &backend : backendServers) {
        if (!names.insert(backend.name).second)
            reader.fault("backendServers", "contains the name " + backend.name + " more than once",
                         "use a unique name for each backend server");
    }
}

StandinSettings readSettings(ObjectReader &reader)
{
    StandinSettings settings;
    settings.platformAddress = readAddress(reader, "platformAddress");
    settings.controlAddress = readAddress(reader, "controlAddress");
    reader.objects("vms", false, readVm);
    settings.writesPerSecond
            = static_cast<std::uint32_t>(reader.integer("writesPerSecond", 0, maximumRate, 500));
    settings.readsPerSecond
            = static_cast<std::uint32_t>(reader.integer("readsPerSecond", 0, maximumRate, 2000));
    settings.maxValueBytes = static_cast<std::uint64_t>(
            reader.integer("maxValueBytes", 1, maximumValueBytes, maximumValueBytes));
    settings.historyLimit
            = static_cast<std::uint64_t>(reader.integer("historyLimit", 1, 1'000'000, 10'000));
    settings.progressInterval = readMilliseconds(reader, "progressIntervalMs", 5000);
    settings.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, maximumRate, 1));
    reader.objects("backendServers", false, [&settings](ObjectReader &item) {
        settings.backendServers.push_back(readBackend(item));
    });
    checkUniqueNames(reader, settings.backendServers);
    reader.finish();
    return settings;
}

} // namespace

tl::expected<StandinSettings, config::FaultList> readStandinSettings(const std::string &text)
{
    config::FaultList faults;
    const Poco::JSON::Object::Ptr object = config::parseJsonObject(text, faults);
    if (object.isNull())
        return tl::unexpected<config::FaultList>(std::move(faults));
    ObjectReader reader(object, "", faults);
    StandinSettings settings = readSettings(reader);
    if (!faults.empty())
        return tl::unexpected<config::FaultList>(std::move(faults));
    settings.vms = object->has("vms") ? object->getArray("vms")
                                      : Poco::JSON::Array::Ptr(new Poco::JSON::Array);
    return settings;
}

} // namespace sardinehollow::standin
