#include "sardinehollow_standin/control/FaultSwitches.h"

#include "sardinehollow_config/json/JsonDocument.h"

#include <algorithm>

namespace sardinehollow::standin {

namespace {

using Poco::JSON::Object;

constexpr std::int64_t maximumMilliseconds = 3'600'000;
constexpr std::int64_t maximumCount = 1'000'000;
constexpr std::int64_t maximumBytes = 1'000'000'000'000;
constexpr double maximumFactor = 1000.0;

SimulatedBackend *findBackend(std::deque<SimulatedBackend> &backendServers, const std::string &name)
{
    const auto found = std::find_if(
            backendServers.begin(), backendServers.end(),
            [&name](const SimulatedBackend &backend) { return backend.settings.name == name; });
    return found == backendServers.end() ? nullptr : &*found;
}

void checkBackendName(config::ObjectReader &reader, const std::string &field,
                      const std::string &name, std::deque<SimulatedBackend> &backendServers)
{
    if (!name.empty() && findBackend(backendServers, name) == nullptr)
        reader.fault(field, "is not the name of a backend server", "see GET /backend-servers");
}

void checkBackendFields(config::ObjectReader &reader, std::deque<SimulatedBackend> &backendServers)
{
    checkBackendName(reader, "name", reader.text("name"), backendServers);
    for (const char *field : {"leaving", "shed", "silent", "silenceOpenConnections", "refuse"})
        (void)reader.boolean(field, false);
    (void)reader.integer("cutBodyAfterBytes", -1, maximumBytes, -1);
    (void)reader.integer("answerDelayMs", 0, maximumMilliseconds, 0);
    (void)reader.number("slowness", 0.0, maximumFactor, 1.0);
    (void)reader.integer("claimedInFlight", -1, maximumCount, -1);
    (void)reader.integer("loadLagMs", 0, maximumMilliseconds, 0);
    (void)reader.integer("crashMs", 0, maximumMilliseconds, 0);
}

void checkDocument(config::ObjectReader &reader, std::deque<SimulatedBackend> &backendServers)
{
    for (const char *field :
         {"storeOutage", "storeRefuse", "storeSilent", "storeSilenceOpenConnections",
          "storeLapseLeases", "storeSnapshot", "storeRestore"})
        (void)reader.boolean(field, false);
    (void)reader.integer("storeDelayMs", 0, maximumMilliseconds, 0);
    (void)reader.integer("storeLostReplies", 0, maximumCount, 0);
    (void)reader.integer("storeWritesPerSecond", 0, maximumCount, 0);
    (void)reader.integer("storeReadsPerSecond", 0, maximumCount, 0);
    (void)reader.integer("vmListLagMs", 0, maximumMilliseconds, 0);
    reader.objects("vms", false, [](config::ObjectReader &item) {
        for (const char *field : {"vm", "region", "failureDomain", "state", "callerAddress",
                                  "forwardAddress", "operatorAddress", "peerAddress"})
            (void)item.optionalText(field, "");
    });
    checkBackendName(reader, "backendServerLeaving",
                     reader.optionalText("backendServerLeaving", ""), backendServers);
    reader.objects("backendServers", false, [&backendServers](config::ObjectReader &item) {
        checkBackendFields(item, backendServers);
    });
    reader.finish();
}

} // namespace

FaultSwitches::FaultSwitches(PlatformState &platform, InterruptibleListener &platformListener,
                             std::deque<SimulatedBackend> &backendServers)
    : m_platform(platform)
    , m_platformListener(platformListener)
    , m_backendServers(backendServers)
{ }

config::FaultList FaultSwitches::apply(const std::string &text)
{
    config::FaultList faults;
    const Object::Ptr object = config::parseJsonObject(text, faults);
    if (object.isNull())
        return faults;
    config::ObjectReader reader(object, "", faults);
    checkDocument(reader, m_backendServers);
    if (!faults.empty())
        return faults;
    applyPlatform(*object);
    const auto leaving = object->optValue<std::string>("backendServerLeaving", "");
    if (!leaving.empty())
        findBackend(m_backendServers, leaving)->setLeaving(true);
    const Poco::JSON::Array::Ptr servers = object->getArray("backendServers");
    for (std::size_t index = 0; !servers.isNull() && index < servers->size(); ++index)
        applyBackend(*servers->getObject(static_cast<unsigned>(index)));
    return faults;
}

void FaultSwitches::applyPlatform(const Object &object)
{
    if (object.has("storeOutage"))
        m_platform.outage = object.getValue<bool>("storeOutage");
    if (object.has("storeRefuse"))
        m_platformListener.setRefusing(object.getValue<bool>("storeRefuse"));
    if (object.has("storeSilent"))
        m_platformListener.silentConnections().setAllSilent(object.getValue<bool>("storeSilent"));
    if (object.optValue("storeSilenceOpenConnections", false))
        m_platformListener.silentConnections().silenceOpenConnections();
    if (object.has("storeDelayMs"))
        m_platform.delayMilliseconds = object.getValue<std::int64_t>("storeDelayMs");
    if (object.has("storeLostReplies"))
        m_platform.lostReplies = object.getValue<int>("storeLostReplies");
    if (object.has("storeWritesPerSecond"))
        m_platform.writeLimit.setRate(object.getValue<double>("storeWritesPerSecond"));
    if (object.has("storeReadsPerSecond"))
        m_platform.readLimit.setRate(object.getValue<double>("storeReadsPerSecond"));
    if (object.optValue("storeLapseLeases", false))
        m_platform.store.expireAllLeases();
    const std::lock_guard lock(m_platform.snapshotMutex);
    if (object.optValue("storeSnapshot", false))
        m_platform.snapshot = m_platform.store.snapshot();
    if (object.optValue("storeRestore", false) && m_platform.snapshot)
        m_platform.store.restore(*m_platform.snapshot);
    if (object.has("vmListLagMs"))
        m_platform.vms.setLag(
                std::chrono::milliseconds(object.getValue<std::int64_t>("vmListLagMs")));
    if (object.has("vms"))
        m_platform.vms.set(object.getArray("vms"));
}

void FaultSwitches::applyBackend(const Object &object)
{
    SimulatedBackend &backend
            = *findBackend(m_backendServers, object.getValue<std::string>("name"));
    if (object.has("leaving"))
        backend.setLeaving(object.getValue<bool>("leaving"));
    if (object.has("shed"))
        backend.shed = object.getValue<bool>("shed");
    if (object.has("silent"))
        backend.listener->silentConnections().setAllSilent(object.getValue<bool>("silent"));
    if (object.optValue("silenceOpenConnections", false))
        backend.listener->silentConnections().silenceOpenConnections();
    if (object.has("refuse"))
        backend.listener->setRefusing(object.getValue<bool>("refuse"));
    if (object.has("cutBodyAfterBytes"))
        backend.cutBodyAfterBytes = object.getValue<std::int64_t>("cutBodyAfterBytes");
    if (object.has("answerDelayMs"))
        backend.answerDelayMilliseconds = object.getValue<std::int64_t>("answerDelayMs");
    if (object.has("slowness"))
        backend.slowness = object.getValue<double>("slowness");
    if (object.has("claimedInFlight"))
        backend.claimedInFlight = object.getValue<std::int64_t>("claimedInFlight");
    if (object.has("loadLagMs"))
        backend.loadLagMilliseconds = object.getValue<std::int64_t>("loadLagMs");
    const auto crash = object.optValue<std::int64_t>("crashMs", 0);
    if (crash > 0)
        backend.crash(std::chrono::milliseconds(crash));
}

} // namespace sardinehollow::standin
