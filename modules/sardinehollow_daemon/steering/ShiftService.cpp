#include "sardinehollow_daemon/steering/ShiftService.h"

#include "sardinehollow_daemon/steering/ShiftMessages.h"
#include "sardinehollow_metrics/PrometheusWriter.h"
#include "sardinehollow_policy/lookup/CallerHash.h"

#include <Poco/JSON/Array.h>

#include <algorithm>

namespace sardinehollow::daemon {

namespace {

// Steps take at least seconds, and each update acquires the membership's lock.
constexpr core::Duration stepsUpdateInterval = std::chrono::milliseconds(200);

} // namespace

ShiftService::ShiftService(Identity identity, policy::SteeringPolicy &policy,
                           peer::PeerTransport &transport, const core::MonotonicClock &clock,
                           ShiftSteps::GenerationSource lowestGeneration)
    : m_identity(std::move(identity))
    , m_policy(policy)
    , m_transport(transport)
    , m_clock(clock)
    , m_lowestGeneration(std::move(lowestGeneration))
    , m_nextIncarnation(m_identity.incarnation)
{ }

void ShiftService::advance()
{
    peer::OutgoingMessages messages;
    {
        const std::lock_guard lock(m_mutex);
        const core::Instant now = m_clock.now();
        applyChanges(now);
        messages = dueRequests(now);
    }
    for (peer::OutgoingMessage &message : messages)
        m_transport.send(message.vm, std::move(message.envelope));
    advanceSteps(m_clock.now());
}

bool ShiftService::admit(const std::string &workKind, const core::IpAddress &caller)
{
    const std::string region = m_policy.homeRegion(caller);
    const std::uint64_t hash = policy::callerHash(caller);
    const std::lock_guard lock(m_mutex);
    const core::Instant now = m_clock.now();
    // Several shifts may move the same caller; each cap applies independently.
    return std::all_of(m_admissions.begin(), m_admissions.end(), [&](auto &item) {
        return !item.second.isSubjectToCap(workKind, hash, region) || item.second.admit(now);
    });
}

void ShiftService::onMessage(const peer::wire::Envelope &envelope)
{
    if (!envelope.has_permit_request() && !envelope.has_permit_grant())
        return;
    const std::lock_guard lock(m_mutex);
    const core::Instant now = m_clock.now();
    const std::string &shift = envelope.has_permit_request() ? envelope.permit_request().shift()
                                                             : envelope.permit_grant().shift();
    const auto found = m_admissions.find(shift);
    if (found == m_admissions.end())
        return;
    if (envelope.has_permit_grant()) {
        found->second.onGrant(envelope.sender_id(), envelope.permit_grant().holder_incarnation(),
                              permitGrant(envelope), now);
        return;
    }
    const policy::PermitRequest request = permitRequest(envelope);
    if (const auto grant = found->second.onRequest(request, now))
        m_transport.send(request.holder.vm, toEnvelope(*grant, request.holder.incarnation));
}

void ShiftService::addStatus(Poco::JSON::Object &object) const
{
    const std::lock_guard lock(m_mutex);
    Poco::JSON::Array::Ptr shifts = new Poco::JSON::Array;
    for (const auto &[name, fraction] : m_fractions) {
        Poco::JSON::Object::Ptr shift = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
        shift->set("name", name);
        shift->set("fraction", fraction);
        const auto admission = m_admissions.find(name);
        if (admission != m_admissions.end()) {
            shift->set("capEnforcer", admission->second.enforcer());
            shift->set("capPerSecond", admission->second.capPerSecond());
        }
        shifts->add(shift);
    }
    object.set("shifts", shifts);
}

std::string ShiftService::metricsText() const
{
    metrics::PrometheusWriter writer;
    const std::lock_guard lock(m_mutex);
    writer.family("shift_admitted_total", "Shifted requests admitted here.", "counter");
    for (const auto &[name, admission] : m_admissions)
        writer.sample("shift_admitted_total", {{"shift", name}},
                      std::to_string(admission.admitted()));
    writer.family("shift_refused_total", "Shifted requests refused for the cap.", "counter");
    for (const auto &[name, admission] : m_admissions)
        writer.sample("shift_refused_total", {{"shift", name}},
                      std::to_string(admission.refused()));
    return writer.text();
}

void ShiftService::applyChanges(core::Instant now)
{
    const std::shared_ptr<const config::Configuration> configuration = m_policy.configuration();
    const std::shared_ptr<const policy::PeerView> peers = m_policy.peers();
    const bool configured = configuration != m_configuration;
    if (configured)
        configure(*configuration, now);
    if (peers && (configured || peers != m_peers)) {
        for (auto &[name, admission] : m_admissions)
            admission.onPeers(*peers, nextIncarnation(), now);
    }
    m_configuration = configuration;
    m_peers = peers;
    for (auto &[name, admission] : m_admissions)
        admission.advance(now);
}

void ShiftService::configure(const config::Configuration &configuration, core::Instant now)
{
    std::map<std::string, ShiftAdmission> admissions;
    for (const config::Shift &shift : configuration.shifts) {
        for (const config::ShiftDestination &destination : shift.destinations) {
            if (destination.failureDomain != m_identity.failureDomain)
                continue;
            auto node = m_admissions.extract(shift.name);
            if (node.empty())
                admissions.try_emplace(shift.name, shift.name,
                                       policy::PermitHolder {m_identity.vm, nextIncarnation()});
            else
                admissions.insert(std::move(node));
            admissions.at(shift.name)
                    .configure(shift, destination.capPerSecond, configuration.generation,
                               configuration.answerLifetime, now);
        }
    }
    m_admissions = std::move(admissions);
    m_active = !m_admissions.empty();
}

void ShiftService::advanceSteps(core::Instant now)
{
    if (!m_configuration || !m_peers || now < m_nextStepsUpdate)
        return;
    m_nextStepsUpdate = now + stepsUpdateInterval;
    m_steps.configure(*m_configuration, now);
    m_steps.advance(*m_configuration, *m_peers, m_lowestGeneration, now);
    policy::ShiftFractions fractions = m_steps.fractions();
    if (fractions == m_fractions)
        return;
    m_policy.setShiftFractions(fractions);
    const std::lock_guard lock(m_mutex);
    m_fractions = std::move(fractions);
}

peer::OutgoingMessages ShiftService::dueRequests(core::Instant now)
{
    peer::OutgoingMessages messages;
    for (auto &[name, admission] : m_admissions) {
        if (const auto request = admission.nextRequest(now))
            messages.push_back({admission.enforcer(), toEnvelope(*request)});
    }
    return messages;
}

} // namespace sardinehollow::daemon
