#include "PlatformView.h"

#include "platform/KvStore.h"
#include "platform/PlatformSchema.h"
#include "sardinehollow_gateway/application/EntryCodec.h"

namespace sardinehollow::apps {

namespace {

bool hasPrefix(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

void addKey(PlatformView &view, const adapter::PlatformSchema &schema,
            const platform::KeyValue &item)
{
    const auto addFault = [&](const core::Error &error) {
        view.faults.push_back(item.key + ": " + error.text());
    };
    if (item.key == schema.configurationKey()) {
        auto configuration = schema.decodeConfiguration(item.value);
        if (configuration)
            view.table = std::make_shared<const routing::RouteTable>(std::move(*configuration));
        else
            addFault(configuration.error());
    } else if (const auto domain = schema.evacuatedDomain(item.key)) {
        view.evacuated.insert(*domain);
    } else if (hasPrefix(item.key, schema.serverPrefix())) {
        const std::string id = item.key.substr(schema.serverPrefix().size());
        const auto server = schema.decodeServer(id, item.value);
        if (server)
            view.servers.emplace(id, *server);
        else
            addFault(server.error());
    } else if (hasPrefix(item.key, gateway::entryPrefix)) {
        const auto entry = gateway::decodeEntry(item.value);
        if (entry)
            view.entries.put(entry->daemon);
        else
            addFault(entry.error());
    }
}

} // namespace

std::string PlatformView::regionOf(const std::string &failureDomain) const
{
    for (const auto &[name, daemon] : entries.daemons()) {
        if (daemon.failureDomain == failureDomain)
            return daemon.region;
    }
    return {};
}

core::Result<PlatformView> readPlatform(const std::string &storeAddress)
{
    adapter::KvStore store(storeAddress);
    const adapter::PlatformSchema schema;
    const auto found = store.range(platform::CallPurpose::Operator, "", true);
    if (!found)
        return tl::unexpected<core::Error>(found.error());
    PlatformView view;
    view.revision = found->revision;
    for (const platform::KeyValue &item : found->keyValues)
        addKey(view, schema, item);
    return view;
}

} // namespace sardinehollow::apps
