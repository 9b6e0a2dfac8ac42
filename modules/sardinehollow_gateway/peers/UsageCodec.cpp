#include "sardinehollow_gateway/peers/UsageCodec.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace sardinehollow::gateway {

namespace {

using routing::TeamCounters;

constexpr double factorUnits = 10'000;
constexpr double shareUnits = 100'000;
constexpr double arrivalUnits = 10'000;
constexpr double loadUnits = 1'000;
constexpr double millisecondsPerSecond = 1'000;
// Far above any load of a backend server; keeps the conversion within range.
constexpr double maximumLoad = 1'000'000;

core::Error contradiction()
{
    return {core::ErrorKind::InvalidInput, "a peer's message about usage contradicts itself",
            "check that all daemons run the same version"};
}

std::uint32_t toUnits(double value, double units, double maximum = 1)
{
    // Half a thousandth of a unit: decoded values stay what they are when they are encoded again.
    constexpr double roundingMargin = 0.0005;
    return static_cast<std::uint32_t>(
            std::floor(std::clamp(value, 0.0, maximum) * units + roundingMargin));
}

std::int64_t notCharged(const TeamCounters &counters)
{
    return static_cast<std::int64_t>(counters.passed) - counters.charged;
}

std::uint64_t refusedOf(const TeamCounters &counters)
{
    return counters.requested - std::min(counters.requested, counters.passed);
}

// Counters that a reset made smaller than their base are sent as new ones.
TeamCounters effectiveBase(const routing::TeamUsage &usage)
{
    const bool isReset = usage.total.requested < usage.base.requested
            || usage.total.passed < usage.base.passed
            || refusedOf(usage.total) < refusedOf(usage.base);
    return isReset ? TeamCounters {} : usage.base;
}

// The lists of refusals and refunds are left out while there are none.
template <typename List>
void clearZeros(List &list)
{
    if (std::all_of(list.begin(), list.end(), [](auto value) { return value == 0; }))
        list.Clear();
}

template <typename List>
bool hasLength(const List &list, int size, bool mayBeEmpty)
{
    return list.size() == size || (mayBeEmpty && list.empty());
}

template <typename List>
auto valueAt(const List &list, int index)
{
    return list.empty() ? 0 : list.Get(index);
}

void encodeTeam(std::uint32_t id, const routing::TeamUsage &usage, peer::wire::TeamUsageList &list)
{
    const TeamCounters &total = usage.total;
    const TeamCounters base = effectiveBase(usage);
    const std::uint64_t refused = refusedOf(total);
    list.add_teams(id);
    list.add_requested(total.requested);
    list.add_refused(refused);
    list.add_not_charged(notCharged(total));
    list.add_new_requested(total.requested - base.requested);
    list.add_new_refused(refused - refusedOf(base));
    list.add_new_not_charged(notCharged(total) - notCharged(base));
}

void encodeQuotas(const routing::UsageReport &report, const TeamIds &teams,
                  peer::wire::QuotaUsage &encoded)
{
    encoded.set_sequence(report.sequence);
    encoded.set_base_sequence(report.baseSequence);
    for (const auto &[team, usage] : report.teams) {
        const std::uint32_t *id = teams.find(team);
        if (id)
            encodeTeam(*id, usage, *encoded.mutable_teams());
    }
    if (!encoded.has_teams())
        return;
    peer::wire::TeamUsageList &list = *encoded.mutable_teams();
    clearZeros(*list.mutable_refused());
    clearZeros(*list.mutable_not_charged());
    clearZeros(*list.mutable_new_refused());
    clearZeros(*list.mutable_new_not_charged());
}

void encodeDemand(const routing::DemandReport &report, peer::wire::DemandUsage &encoded)
{
    encoded.set_sequence(report.sequence);
    std::set<std::string> regions;
    for (const auto &[service, usage] : report.services) {
        for (const auto &[region, count] : usage.inFlight)
            regions.insert(region);
    }
    for (const std::string &region : regions)
        encoded.add_regions(region);
    for (const auto &[service, usage] : report.services) {
        peer::wire::ServiceUsage &item = *encoded.add_services();
        item.set_service(service);
        item.set_arrivals(usage.arrivals);
        item.set_busy_ms(
                static_cast<std::uint64_t>(std::floor(usage.busySeconds * millisecondsPerSecond)));
        for (const std::string &region : regions) {
            const auto count = usage.inFlight.find(region);
            item.add_in_flight(count == usage.inFlight.end() ? 0 : count->second);
        }
    }
}

template <typename Message>
void encodeUsage(const UsageMessage &message, const TeamIds &teams, Message &encoded)
{
    encoded.set_incarnation(message.incarnation);
    if (message.quotas)
        encodeQuotas(*message.quotas, teams, *encoded.mutable_quotas());
    if (message.demand)
        encodeDemand(*message.demand, *encoded.mutable_demand());
}

void encodeView(const routing::DemandView &view, peer::wire::QuotaVerdict &encoded)
{
    encoded.set_has_demand(true);
    std::set<std::string> regions;
    for (const auto &[service, demands] : view.services) {
        for (const auto &[region, demand] : demands)
            regions.insert(region);
    }
    for (const std::string &region : regions)
        encoded.add_regions(region);
    for (const auto &[service, demands] : view.services) {
        peer::wire::ServiceDemand &item = *encoded.add_demand();
        item.set_service(service);
        for (const std::string &region : regions) {
            const auto demand = demands.find(region);
            const bool isKnown = demand != demands.end();
            item.add_arrival_shares(isKnown ? toUnits(demand->second.arrivalShare, arrivalUnits) + 1
                                            : 0);
            item.add_loads(isKnown ? toUnits(demand->second.load, loadUnits, maximumLoad) : 0);
        }
    }
}

bool hasEqualLengths(const peer::wire::TeamUsageList &list)
{
    const int size = list.teams_size();
    return hasLength(list.requested(), size, false) && hasLength(list.new_requested(), size, false)
            && hasLength(list.refused(), size, true) && hasLength(list.new_refused(), size, true)
            && hasLength(list.not_charged(), size, true)
            && hasLength(list.new_not_charged(), size, true);
}

core::Result<TeamCounters> makeCounters(std::uint64_t requested, std::uint64_t refused,
                                        std::int64_t notCharged)
{
    if (refused > requested)
        return tl::unexpected<core::Error>(contradiction());
    const std::uint64_t passed = requested - refused;
    return TeamCounters {requested, passed, static_cast<std::int64_t>(passed) - notCharged};
}

core::Result<routing::TeamUsage> decodeTeam(const peer::wire::TeamUsageList &list, int index)
{
    const std::uint64_t requested = list.requested(index);
    const std::uint64_t refused = valueAt(list.refused(), index);
    const std::uint64_t newRefused = valueAt(list.new_refused(), index);
    const std::int64_t notCharged = valueAt(list.not_charged(), index);
    const auto total = makeCounters(requested, refused, notCharged);
    if (!total || list.new_requested(index) > requested || newRefused > refused)
        return tl::unexpected<core::Error>(contradiction());
    const auto base = makeCounters(requested - list.new_requested(index), refused - newRefused,
                                   notCharged - valueAt(list.new_not_charged(), index));
    if (!base)
        return tl::unexpected<core::Error>(base.error());
    return routing::TeamUsage {*total, *base};
}

core::Result<routing::UsageReport> decodeQuotas(const peer::wire::QuotaUsage &encoded,
                                                const TeamIds &teams)
{
    routing::UsageReport report;
    report.sequence = encoded.sequence();
    report.baseSequence = encoded.base_sequence();
    const peer::wire::TeamUsageList &list = encoded.teams();
    if (!hasEqualLengths(list))
        return tl::unexpected<core::Error>(contradiction());
    for (int index = 0; index < list.teams_size(); ++index) {
        const core::Result<routing::TeamUsage> usage = decodeTeam(list, index);
        if (!usage)
            return tl::unexpected<core::Error>(usage.error());
        const std::string *team = teams.name(list.teams(index));
        if (team)
            report.teams[*team] = *usage;
    }
    return report;
}

core::Result<routing::DemandReport> decodeDemand(const peer::wire::DemandUsage &encoded)
{
    routing::DemandReport report;
    report.sequence = encoded.sequence();
    for (const peer::wire::ServiceUsage &item : encoded.services()) {
        if (item.in_flight_size() != encoded.regions_size())
            return tl::unexpected<core::Error>(contradiction());
        routing::ServiceUsage &usage = report.services[item.service()];
        usage.arrivals = item.arrivals();
        usage.busySeconds = static_cast<double>(item.busy_ms()) / millisecondsPerSecond;
        for (int index = 0; index < encoded.regions_size(); ++index) {
            if (item.in_flight(index) > 0)
                usage.inFlight[encoded.regions(index)] = item.in_flight(index);
        }
    }
    return report;
}

template <typename Message>
core::Result<UsageMessage> decodeUsage(const Message &encoded, const TeamIds &teams)
{
    UsageMessage message;
    message.incarnation = encoded.incarnation();
    if (encoded.has_quotas()) {
        core::Result<routing::UsageReport> quotas = decodeQuotas(encoded.quotas(), teams);
        if (!quotas)
            return tl::unexpected<core::Error>(quotas.error());
        message.quotas = std::move(*quotas);
    }
    if (encoded.has_demand()) {
        core::Result<routing::DemandReport> demand = decodeDemand(encoded.demand());
        if (!demand)
            return tl::unexpected<core::Error>(demand.error());
        message.demand = std::move(*demand);
    }
    return message;
}

core::Result<routing::DemandView> decodeView(const peer::wire::QuotaVerdict &encoded)
{
    routing::DemandView view;
    for (const peer::wire::ServiceDemand &item : encoded.demand()) {
        const int size = encoded.regions_size();
        if (item.arrival_shares_size() != size || item.loads_size() != size)
            return tl::unexpected<core::Error>(contradiction());
        for (int index = 0; index < size; ++index) {
            if (item.arrival_shares(index) > 0)
                view.services[item.service()][encoded.regions(index)]
                        = {(item.arrival_shares(index) - 1) / arrivalUnits,
                           item.loads(index) / loadUnits};
        }
    }
    return view;
}

} // namespace

peer::wire::Envelope encodeReport(const UsageMessage &message, const TeamIds &teams)
{
    peer::wire::Envelope envelope;
    encodeUsage(message, teams, *envelope.mutable_usage_report());
    return envelope;
}

peer::wire::Envelope encodeSummary(const UsageMessage &message, const TeamIds &teams)
{
    peer::wire::Envelope envelope;
    encodeUsage(message, teams, *envelope.mutable_usage_summary());
    envelope.mutable_usage_summary()->set_reporters(message.reporters);
    return envelope;
}

peer::wire::Envelope encodeVerdict(const VerdictMessage &message, const TeamIds &teams)
{
    peer::wire::Envelope envelope;
    peer::wire::QuotaVerdict &encoded = *envelope.mutable_quota_verdict();
    if (message.demand)
        encodeView(*message.demand, encoded);
    if (!message.quotas)
        return envelope;
    encoded.set_acknowledged(message.quotas->acknowledged);
    for (const auto &[team, verdict] : message.quotas->teams) {
        const std::uint32_t *id = teams.find(team);
        if (!id)
            continue;
        encoded.add_teams(*id);
        encoded.add_factors(toUnits(verdict.factor, factorUnits));
        encoded.add_shares(toUnits(verdict.share, shareUnits));
    }
    return envelope;
}

core::Result<UsageMessage> decodeReport(const peer::wire::UsageReport &message,
                                        const TeamIds &teams)
{
    return decodeUsage(message, teams);
}

core::Result<UsageMessage> decodeSummary(const peer::wire::UsageSummary &message,
                                         const TeamIds &teams)
{
    core::Result<UsageMessage> summary = decodeUsage(message, teams);
    if (summary)
        summary->reporters = message.reporters();
    return summary;
}

core::Result<VerdictMessage> decodeVerdict(const peer::wire::QuotaVerdict &message,
                                           const TeamIds &teams)
{
    const int size = message.teams_size();
    if (message.factors_size() != size || message.shares_size() != size)
        return tl::unexpected<core::Error>(contradiction());
    VerdictMessage verdict;
    if (message.has_demand()) {
        core::Result<routing::DemandView> view = decodeView(message);
        if (!view)
            return tl::unexpected<core::Error>(view.error());
        verdict.demand = std::move(*view);
    }
    if (message.acknowledged() == 0)
        return verdict;
    verdict.quotas = routing::QuotaVerdict {message.acknowledged(), {}};
    for (int index = 0; index < size; ++index) {
        const std::string *team = teams.name(message.teams(index));
        if (team)
            verdict.quotas->teams[*team] = {std::min(1.0, message.factors(index) / factorUnits),
                                            std::min(1.0, message.shares(index) / shareUnits)};
    }
    return verdict;
}

} // namespace sardinehollow::gateway
