#include "CommandSupport.h"
#include "Commands.h"
#include "PlatformView.h"
#include "sardinehollow_core/http/HttpBodyReader.h"
#include "sardinehollow_core/http/HttpConnection.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>

namespace sardinehollow::apps {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::chrono::seconds daemonTimeout {3};
constexpr std::size_t readBytes = 16 * 1024;

/** Number and slots of the servers of one service in one failure domain. */
struct ServerCount
{
    std::uint32_t ready = 0;
    std::uint32_t draining = 0;
    std::uint32_t slots = 0;
};

using ServerCounts = std::map<std::pair<std::string, std::string>, ServerCount>;

ServerCounts countServers(const PlatformView &view)
{
    ServerCounts counts;
    for (const auto &[id, server] : view.servers) {
        ServerCount &count = counts[{server.service, server.failureDomain}];
        ++(server.isDraining ? count.draining : count.ready);
        count.slots += server.slots;
    }
    return counts;
}

core::Result<std::string> readMetrics(const std::string &address)
{
    try {
        core::HttpConnection connection(Poco::Net::SocketAddress {address}, daemonTimeout);
        connection.setTimeouts(daemonTimeout);
        Poco::Net::HTTPRequest request("GET", "/metrics", Poco::Net::HTTPRequest::HTTP_1_1);
        request.setHost(address);
        connection.sendHead(request);
        Poco::Net::HTTPResponse response;
        connection.receiveHead(response);
        core::HttpBodyReader reader(connection, core::framingOf(response, "GET"));
        std::string text;
        std::array<char, readBytes> buffer {};
        while (!reader.isAtEnd())
            text.append(buffer.data(), reader.read(buffer.data(), buffer.size()));
        return text;
    } catch (const Poco::Exception &exception) {
        return core::failure(core::ErrorKind::Unreachable,
                             "no metrics from " + address + ": " + exception.displayText(),
                             "check the metrics address and that the daemon runs");
    }
}

/** Returns the value of a metric without labels; empty if the text has none. */
std::string metricValue(const std::string &text, const std::string &name)
{
    const std::string prefix = "\nsardinehollow_" + name + " ";
    const std::size_t position = text.find(prefix);
    if (position == std::string::npos)
        return {};
    const std::size_t value = position + prefix.size();
    return text.substr(value, text.find('\n', value) - value);
}

std::uint64_t versionOf(const PlatformView &view)
{
    return view.table ? view.table->configuration().version : 0;
}

Object::Ptr toJson(const PlatformView &view)
{
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("revision", view.revision);
    object->set("configuration", versionOf(view));
    Array::Ptr evacuated = new Array;
    for (const std::string &domain : view.evacuated)
        evacuated->add(domain);
    object->set("evacuated", evacuated);
    Array::Ptr servers = new Array;
    for (const auto &[key, count] : countServers(view)) {
        Object::Ptr row = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
        row->set("service", key.first);
        row->set("failureDomain", key.second);
        row->set("ready", count.ready);
        row->set("draining", count.draining);
        row->set("slots", count.slots);
        servers->add(row);
    }
    object->set("servers", servers);
    Array::Ptr daemons = new Array;
    for (const auto &[name, daemon] : view.entries.daemons()) {
        Object::Ptr row = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
        row->set("vm", name);
        row->set("failureDomain", daemon.failureDomain);
        row->set("address", daemon.address);
        daemons->add(row);
    }
    object->set("daemons", daemons);
    Array::Ptr faults = new Array;
    for (const std::string &fault : view.faults)
        faults->add(fault);
    object->set("faults", faults);
    return object;
}

void printStatus(const PlatformView &view)
{
    std::cout << "store revision " << view.revision << ", configuration " << versionOf(view)
              << "\n";
    for (const std::string &domain : view.evacuated)
        std::cout << "evacuated: " << domain << "\n";
    std::cout << std::left << std::setw(24) << "SERVICE" << std::setw(20) << "FAILURE-DOMAIN"
              << std::setw(8) << "READY" << std::setw(10) << "DRAINING"
              << "SLOTS\n";
    for (const auto &[key, count] : countServers(view))
        std::cout << std::setw(24) << key.first << std::setw(20) << key.second << std::setw(8)
                  << count.ready << std::setw(10) << count.draining << count.slots << "\n";
    std::cout << std::setw(24) << "VM" << std::setw(20) << "FAILURE-DOMAIN"
              << "ADDRESS\n";
    for (const auto &[name, daemon] : view.entries.daemons())
        std::cout << std::setw(24) << name << std::setw(20) << daemon.failureDomain
                  << daemon.address << "\n";
    for (const std::string &fault : view.faults)
        std::cout << "fault: " << fault << "\n";
}

// Prints the configuration version and the numbers of servers and daemons that each daemon reports.
ExitCode printInForce(const std::vector<std::string> &addresses, bool json)
{
    ExitCode code = ExitCode::Done;
    if (!json)
        std::cout << std::left << std::setw(24) << "METRICS-ADDRESS" << std::setw(16)
                  << "CONFIGURATION" << std::setw(10) << "SERVERS"
                  << "DAEMONS\n";
    for (const std::string &address : addresses) {
        const core::Result<std::string> text = readMetrics(address);
        if (!text) {
            code = reportError(text.error());
            continue;
        }
        const std::string version = metricValue(*text, "configuration_version");
        const std::string servers = metricValue(*text, "backend_servers");
        const std::string daemons = metricValue(*text, "entry_daemons");
        if (!json) {
            std::cout << std::setw(24) << address << std::setw(16) << version << std::setw(10)
                      << servers << daemons << "\n";
            continue;
        }
        Object row(Poco::JSON_PRESERVE_KEY_ORDER);
        row.set("metricsAddress", address);
        row.set("configuration", version);
        row.set("servers", servers);
        row.set("daemons", daemons);
        printJson(row);
    }
    return code;
}

/** Returns why a server is not eligible for requests of a route; empty if it is eligible. */
std::string ineligibilityReason(const PlatformView &view, const routing::Route &route,
                                const routing::BackendServer &server)
{
    if (server.isDraining)
        return "draining";
    if (view.evacuated.count(server.failureDomain) > 0)
        return "its failure domain is evacuated";
    const std::vector<std::string> &homes = route.homeRegions;
    const std::string region = view.regionOf(server.failureDomain);
    if (!homes.empty() && std::find(homes.begin(), homes.end(), region) == homes.end())
        return "outside the route's home regions";
    return {};
}

void explainRoute(const PlatformView &view, const routing::Route &route)
{
    std::cout << "route " << route.name << ": " << (route.isIdempotent ? "" : "not ")
              << "idempotent, at most " << route.maximumAttempts << " servers, "
              << std::chrono::duration_cast<std::chrono::milliseconds>(route.timeout).count()
              << " ms\n";
    for (const routing::WeightedService &weighted : route.services) {
        std::cout << "service " << weighted.service << ", weight " << weighted.weight << "\n";
        for (const auto &[id, server] : view.servers) {
            if (server.service != weighted.service)
                continue;
            const std::string reason = ineligibilityReason(view, route, server);
            std::cout << "  " << std::left << std::setw(24) << id << std::setw(20)
                      << server.failureDomain << std::setw(8) << server.slots
                      << (reason.empty() ? "may run it" : reason) << "\n";
        }
    }
}

ExitCode explain(const Options &options, const PlatformView &view)
{
    const std::string region = options.at("--region").asString();
    const std::string domain = options.at("--failure-domain").asString();
    std::cout << "callers in " << domain << " of " << region << " are told:";
    for (const routing::EntryDaemon &daemon : view.entries.daemonsFor(region, domain, 0))
        std::cout << " " << daemon.address;
    std::cout << "\n";
    if (!view.table)
        return reportError({core::ErrorKind::NotFound, "the store has no readable configuration",
                            "submit one"});
    const std::string host = options.at("--host").asString();
    const std::string path = options.at("--path").asString();
    const routing::Route *route = view.table->find(host, path);
    if (route == nullptr)
        return reportError({core::ErrorKind::NotFound,
                            "no route of configuration " + std::to_string(versionOf(view))
                                    + " matches " + host + path,
                            "compare host and path with the configuration"});
    explainRoute(view, *route);
    return ExitCode::Done;
}

} // namespace

ExitCode platformCommand(const Options &options)
{
    const core::Result<PlatformView> view = readPlatform(options.at("--store").asString());
    if (!view)
        return reportError(view.error());
    if (options.at("explain").asBool())
        return explain(options, *view);
    const bool json = options.at("--json").asBool();
    if (json)
        printJson(*toJson(*view));
    else
        printStatus(*view);
    if (!options.at("--daemons").isString())
        return ExitCode::Done;
    return printInForce(splitList(options.at("--daemons").asString()), json);
}

} // namespace sardinehollow::apps
