#include "sardinehollow_daemon/steering/SteeringMessages.h"

#include <algorithm>

namespace sardinehollow::daemon {

namespace {

using std::chrono::milliseconds;
using Pool = peer::wire::PoolSummaries::Pool;

constexpr milliseconds maxWait = std::chrono::minutes(10);
constexpr milliseconds maxQuarantineTime = std::chrono::minutes(10);
// Maximum of the slots of one backend server in the configuration.
constexpr std::uint64_t maxServerSlots = 10'000;

std::uint32_t waitToWire(core::Duration wait)
{
    if (wait == core::Duration::max())
        return 0;
    const auto truncated = std::chrono::duration_cast<milliseconds>(wait);
    return static_cast<std::uint32_t>(std::clamp(truncated, milliseconds(0), maxWait).count()) + 1;
}

core::Duration waitFromWire(std::uint32_t wait)
{
    return wait == 0 ? core::Duration::max() : milliseconds(wait - 1);
}

bool isConfigured(const config::BackendPool &pool, const std::string &server,
                  const std::string &failureDomain)
{
    return std::any_of(pool.backendServers.begin(), pool.backendServers.end(),
                       [&](const config::BackendServer &configured) {
                           return configured.name == server
                                   && configured.failureDomain == failureDomain;
                       });
}

bool areRanksValid(const Pool &message, const config::BackendPool &pool, std::size_t rankCount)
{
    if (static_cast<std::size_t>(message.free_slots_size()) != rankCount
        || message.waits_size() != message.free_slots_size())
        return false;
    const std::uint64_t maxFreeSlots = maxServerSlots * pool.backendServers.size();
    // A negative number of the sender is received as a very large one.
    return std::all_of(message.free_slots().begin(), message.free_slots().end(),
                       [maxFreeSlots](std::uint32_t slots) { return slots <= maxFreeSlots; })
            && std::all_of(message.waits().begin(), message.waits().end(), [](std::uint32_t wait) {
                   return wait <= static_cast<std::uint64_t>(maxWait.count()) + 1;
               });
}

bool isInFlightValid(const Pool &message, const config::BackendPool &pool,
                     const std::string &failureDomain)
{
    const std::size_t servers = pool.backendServers.size();
    const bool areReleasedConfigured = std::all_of(
            message.released().begin(), message.released().end(),
            [&](const std::string &server) { return isConfigured(pool, server, failureDomain); });
    if (!areReleasedConfigured || static_cast<std::size_t>(message.released_size()) > servers)
        return false;
    return static_cast<std::size_t>(message.in_flight_elsewhere_size()) <= servers
            && std::all_of(message.in_flight_elsewhere().begin(),
                           message.in_flight_elsewhere().end(), [&](const auto &inFlight) {
                               return inFlight.requests() <= maxServerSlots
                                       && isConfigured(pool, inFlight.backend_server(),
                                                       failureDomain);
                           });
}

policy::PoolSummary poolFromWire(const Pool &message, const std::string &vm)
{
    policy::PoolSummary summary;
    summary.vm = vm;
    summary.pool = message.name();
    for (int rank = 0; rank < message.free_slots_size(); ++rank)
        summary.ranks.push_back({message.free_slots(rank), waitFromWire(message.waits(rank))});
    for (const auto &inFlight : message.in_flight_elsewhere())
        summary.inFlightElsewhere[inFlight.backend_server()] = inFlight.requests();
    summary.released.insert(message.released().begin(), message.released().end());
    return summary;
}

} // namespace

Pool toWire(const policy::PoolSummary &summary)
{
    Pool pool;
    pool.set_name(summary.pool);
    for (const policy::PoolSummary::Rank &rank : summary.ranks) {
        pool.add_free_slots(rank.freeSlots);
        pool.add_waits(waitToWire(rank.wait));
    }
    for (const auto &[server, requests] : summary.inFlightElsewhere) {
        peer::wire::PoolSummaries::InFlight &inFlight = *pool.add_in_flight_elsewhere();
        inFlight.set_backend_server(server);
        inFlight.set_requests(requests);
    }
    for (const std::string &server : summary.released)
        pool.add_released(server);
    return pool;
}

void addToWire(const policy::QuarantineEntry &entry, peer::wire::QuarantineNotice &notice)
{
    const milliseconds remaining = std::clamp(std::chrono::ceil<milliseconds>(entry.remaining),
                                              milliseconds(1), maxQuarantineTime);
    notice.add_fingerprints(entry.fingerprint);
    notice.add_remaining_ms(static_cast<std::uint32_t>(remaining.count()));
}

ValidatedEntries<policy::PoolSummary> fromWire(const peer::wire::PoolSummaries &message,
                                               const std::string &vm,
                                               const std::string &failureDomain,
                                               const config::Configuration &configuration)
{
    ValidatedEntries<policy::PoolSummary> entries;
    entries.dropped = static_cast<std::uint64_t>(message.pools_size());
    if (entries.dropped > configuration.pools.size())
        return entries;
    for (const Pool &received : message.pools()) {
        const config::BackendPool *pool = configuration.pool(received.name());
        if (pool == nullptr || !areRanksValid(received, *pool, configuration.ranks.size())
            || !isInFlightValid(received, *pool, failureDomain))
            continue;
        entries.accepted.push_back(poolFromWire(received, vm));
        --entries.dropped;
    }
    return entries;
}

ValidatedEntries<policy::QuarantineEntry> fromWire(const peer::wire::QuarantineNotice &message)
{
    ValidatedEntries<policy::QuarantineEntry> entries;
    entries.dropped = static_cast<std::uint64_t>(message.fingerprints_size());
    if (entries.dropped > maxNoticeEntries
        || message.remaining_ms_size() != message.fingerprints_size())
        return entries;
    for (int index = 0; index < message.fingerprints_size(); ++index) {
        const milliseconds remaining(message.remaining_ms(index));
        if (message.fingerprints(index) == 0 || remaining.count() == 0
            || remaining > maxQuarantineTime)
            continue;
        entries.accepted.push_back({message.fingerprints(index), remaining});
        --entries.dropped;
    }
    return entries;
}

} // namespace sardinehollow::daemon
