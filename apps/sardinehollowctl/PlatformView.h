#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_routing/backends/BackendServer.h"
#include "sardinehollow_routing/configuration/RouteTable.h"
#include "sardinehollow_routing/entries/EntryDirectory.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::apps {

/** What the store of the users' platform says at one moment. */
struct PlatformView
{
    std::int64_t revision = 0;
    /** Null if there is no configuration, or none that can be read. */
    std::shared_ptr<const routing::RouteTable> table;
    std::set<std::string> evacuated;
    std::map<std::string, routing::BackendServer> servers;
    routing::EntryDirectory entries;
    /** Keys whose values cannot be read, with the reason. */
    std::vector<std::string> faults;

    /** Region of a failure domain by the entries of its daemons; empty if it has none. */
    std::string regionOf(const std::string &failureDomain) const;
};

/** Reads everything from the store at "IP:port". */
core::Result<PlatformView> readPlatform(const std::string &storeAddress);

} // namespace sardinehollow::apps
