#include "sardinehollow_peer/membership/Membership.h"

#include "sardinehollow_core/hash/RendezvousHash.h"
#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sardinehollow::peer {

namespace {

// Resolution of reported loads; small changes of the load must not cause a new view each time.
constexpr double loadSteps = 8.0;
// Minimum interval at which a relay resends all summaries to a daemon whose digest differs.
constexpr core::Duration resendInterval = std::chrono::seconds(2);

double roundedLoad(double load)
{
    return std::round(std::clamp(load, 0.0, 1.0) * loadSteps) / loadSteps;
}

std::uint64_t digestOf(const wire::DomainSummary &summary)
{
    if (summary.members().empty())
        return 0;
    std::uint64_t digest = core::stableHash(summary.failure_domain());
    for (const wire::DomainSummary::Member &member : summary.members()) {
        const std::string text = member.vm() + "\n" + std::to_string(member.incarnation()) + "\n"
                + member.caller_address() + "\n" + member.forward_address() + "\n"
                + member.operator_address() + "\n" + member.peer_address() + "\n"
                + (member.leaving() ? "leaving" : "live") + "\n" + member.claim_scope();
        digest = core::combineHashes(digest, core::stableHash(text));
    }
    return digest;
}

wire::DomainSummary::Member toWire(const MemberAddress &address)
{
    wire::DomainSummary::Member member;
    member.set_vm(address.vm);
    member.set_caller_address(address.callerAddress);
    member.set_forward_address(address.forwardAddress);
    member.set_operator_address(address.operatorAddress);
    member.set_peer_address(address.peerAddress);
    return member;
}

policy::Peer toPeer(const MemberAddress &address)
{
    policy::Peer peer;
    peer.vm = address.vm;
    peer.region = address.region;
    peer.failureDomain = address.failureDomain;
    peer.callerAddress = address.callerAddress;
    peer.forwardAddress = address.forwardAddress;
    return peer;
}

policy::Peer toPeer(const wire::DomainSummary &summary, const wire::DomainSummary::Member &member)
{
    policy::Peer peer;
    peer.vm = member.vm();
    peer.incarnation = member.incarnation();
    peer.region = summary.region();
    peer.failureDomain = summary.failure_domain();
    peer.callerAddress = member.caller_address();
    peer.forwardAddress = member.forward_address();
    peer.leaving = member.leaving();
    peer.load = member.load();
    peer.claimScope = member.claim_scope();
    return peer;
}

// Orders daemons by their preference as the relay of a failure domain (rendezvous hashing).
std::vector<std::string> relayOrder(const std::string &failureDomain,
                                    std::vector<std::string> candidates)
{
    std::vector<std::string> order;
    while (!candidates.empty()) {
        const std::size_t owner = *core::rendezvousOwner("relay/" + failureDomain, candidates);
        order.push_back(candidates[owner]);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(owner));
    }
    return order;
}

// Returns the summary with the latest generations, which may be newer than its members.
wire::DomainSummary summaryOf(const RemoteDomain &domain)
{
    wire::DomainSummary summary = domain.summary;
    summary.set_has_members(true);
    summary.set_lowest_generation(domain.lowestGeneration);
    summary.set_highest_generation(domain.highestGeneration);
    return summary;
}

} // namespace

Membership::Membership(MemberAddress self, std::uint64_t incarnation, MembershipTimes times,
                       core::Instant now)
    : m_self(std::move(self))
    , m_times(times)
    , m_incarnation(incarnation)
    , m_lastAdvance(now)
    , m_fencedUntil(now + times.holdOff)
    , m_nextHeartbeat(now)
{ }

OutgoingMessages Membership::advance(core::Instant now)
{
    rejoinIfPaused(now);
    m_lastAdvance = now;
    OutgoingMessages messages;
    const bool holdOffEnded = m_fenced && now >= m_fencedUntil;
    if (holdOffEnded)
        m_fenced = false;
    m_changed = m_changed || holdOffEnded;
    expireMembers(now);
    if (holdOffEnded)
        sendDetailsNow(now, messages);
    if (now >= m_nextHeartbeat)
        sendHeartbeats(now, messages);
    sendSummaries(now, messages);
    expireDomains(now, messages);
    forwardGenerations(now, messages);
    return messages;
}

OutgoingMessages Membership::onMessage(const wire::Envelope &envelope, core::Instant now)
{
    rejoinIfPaused(now);
    OutgoingMessages messages;
    if (envelope.sender_id() == m_self.vm)
        return messages;
    if (envelope.has_heartbeat())
        onHeartbeat(envelope, now, messages);
    else if (envelope.has_domain_summary())
        onSummary(envelope, now, messages);
    else if (envelope.has_domain_summaries())
        onSummaries(envelope, now);
    return messages;
}

void Membership::onVmList(const std::vector<MemberAddress> &vms)
{
    m_changed = true;
    m_vmList.clear();
    for (const MemberAddress &vm : vms) {
        m_vmList.emplace(vm.vm, vm);
        if (vm.vm == m_self.vm)
            continue;
        if (vm.failureDomain == m_self.failureDomain) {
            Member &member = m_members[vm.vm];
            // The addresses that a live daemon sends are more current than those of the VM list.
            if (!member.alive)
                member.address = vm;
        } else {
            m_remoteDomains[vm.failureDomain].summary.set_failure_domain(vm.failureDomain);
        }
    }
}

OutgoingMessages Membership::setLocal(const LocalState &local, core::Instant now)
{
    OutgoingMessages messages;
    const bool scopeChanged = local.claimScope != m_local.claimScope;
    m_changed = m_changed || local != m_local;
    m_local = local;
    if (scopeChanged)
        sendDetailsNow(now, messages);
    return messages;
}

OutgoingMessages Membership::leave(core::Instant now)
{
    rejoinIfPaused(now);
    OutgoingMessages messages;
    const bool wasRelay = isRelay();
    m_leaving = true;
    m_changed = true;
    sendDetailsNow(now, messages);
    // The next relay takes over only when it has received a heartbeat; other failure domains are
    // notified immediately.
    if (wasRelay) {
        for (auto &[name, domain] : m_remoteDomains)
            sendSummaryTo(name, domain, true, messages);
    }
    return messages;
}

std::shared_ptr<const policy::PeerView> Membership::view()
{
    if (!m_changed)
        return m_view;
    m_changed = false;
    auto next = std::make_shared<policy::PeerView>();
    next->fenced = m_fenced;
    policy::Peer local = toPeer(m_self);
    local.incarnation = m_incarnation;
    local.leaving = isLocalLeaving() || m_fenced;
    local.load = roundedLoad(m_local.load);
    local.claimScope = m_local.claimScope;
    next->peers.push_back(std::move(local));
    for (const auto &[vm, member] : m_members) {
        if (!member.alive)
            continue;
        policy::Peer peer = toPeer(member.address);
        peer.incarnation = member.incarnation;
        peer.leaving = member.leaving || member.fenced || isListedAsLeaving(vm);
        peer.load = member.load;
        peer.claimScope = member.claimScope;
        next->peers.push_back(std::move(peer));
    }
    for (const auto &[name, domain] : m_remoteDomains) {
        for (const wire::DomainSummary::Member &member : domain.summary.members())
            next->peers.push_back(toPeer(domain.summary, member));
    }
    std::sort(
            next->peers.begin(), next->peers.end(),
            [](const policy::Peer &left, const policy::Peer &right) { return left.vm < right.vm; });
    const auto self
            = std::find_if(next->peers.begin(), next->peers.end(),
                           [this](const policy::Peer &peer) { return peer.vm == m_self.vm; });
    next->self = static_cast<std::size_t>(self - next->peers.begin());
    const bool same = m_view && m_view->peers == next->peers && m_view->fenced == next->fenced;
    if (!same)
        m_view = std::move(next);
    return m_view;
}

std::map<std::string, std::string> Membership::addresses() const
{
    std::map<std::string, std::string> addresses;
    for (const auto &[vm, listed] : m_vmList)
        addresses[vm] = listed.peerAddress;
    for (const auto &[name, domain] : m_remoteDomains) {
        for (const wire::DomainSummary::Member &member : domain.summary.members())
            addresses[member.vm()] = member.peer_address();
    }
    for (const auto &[vm, member] : m_members)
        addresses[vm] = member.address.peerAddress;
    addresses.erase(m_self.vm);
    return addresses;
}

bool Membership::hasJoined(core::Instant now) const
{
    return !m_fenced && now >= m_fencedUntil + m_times.heartbeatInterval;
}

std::string Membership::relay() const
{
    std::vector<std::string> candidates;
    if (!isLocalLeaving())
        candidates.push_back(m_self.vm);
    for (const auto &[vm, member] : m_members) {
        if (member.alive && !member.leaving && !isListedAsLeaving(vm))
            candidates.push_back(vm);
    }
    // If all daemons of the failure domain are leaving, each acts as the relay until it stops.
    if (candidates.empty())
        return m_self.vm;
    return candidates[*core::rendezvousOwner("relay/" + m_self.failureDomain, candidates)];
}

std::vector<std::string> Membership::contacts(const std::string &failureDomain) const
{
    const auto found = m_remoteDomains.find(failureDomain);
    if (found == m_remoteDomains.end())
        return {};
    const RemoteDomain &domain = found->second;
    std::vector<std::string> live;
    for (const wire::DomainSummary::Member &member : domain.summary.members()) {
        if (!member.leaving())
            live.push_back(member.vm());
    }
    std::vector<std::string> others;
    for (const auto &[vm, listed] : m_vmList) {
        const bool known = std::find(live.begin(), live.end(), vm) != live.end();
        if (listed.failureDomain == failureDomain && !known)
            others.push_back(vm);
    }
    std::vector<std::string> order = relayOrder(failureDomain, live);
    const std::vector<std::string> rest = relayOrder(failureDomain, others);
    order.insert(order.end(), rest.begin(), rest.end());
    const auto relay = std::find(order.begin(), order.end(), domain.relay);
    if (relay != order.end())
        std::rotate(order.begin(), relay, relay + 1);
    return order;
}

void Membership::rejoinIfPaused(core::Instant now)
{
    if (now - m_lastAdvance <= m_times.lease)
        return;
    // The process was paused, and other daemons may have taken over what it owned.
    ++m_incarnation;
    m_fenced = true;
    m_fencedUntil = now + m_times.holdOff;
    m_nextHeartbeat = now;
    m_lastAdvance = now;
    m_changed = true;
    // No messages were processed during the pause, so the silence of the others proves nothing.
    for (auto &[vm, member] : m_members) {
        member.lastReceived = now;
        member.detailsDue = true;
    }
    for (auto &[name, domain] : m_remoteDomains)
        domain.lastReceived = now;
}

void Membership::expireMembers(core::Instant now)
{
    for (auto item = m_members.begin(); item != m_members.end();) {
        Member &member = item->second;
        const core::Duration silence = now - member.lastReceived;
        if (member.alive && silence > m_times.deadAfter) {
            member.alive = false;
            m_changed = true;
        }
        const bool removable = !member.alive && silence > m_times.removeAfter
                && m_vmList.find(item->first) == m_vmList.end();
        item = removable ? m_members.erase(item) : std::next(item);
    }
}

void Membership::expireDomains(core::Instant now, OutgoingMessages &messages)
{
    if (!isRelay())
        return;
    const core::Duration limit = m_times.missedSummaryLimit * summaryInterval();
    for (auto &[name, domain] : m_remoteDomains) {
        if (domain.summary.members().empty() || now - domain.lastReceived <= limit)
            continue;
        domain.summary.clear_members();
        domain.summary.set_digest(0);
        domain.relay.clear();
        m_changed = true;
        forwardSummary(name, messages);
    }
}

void Membership::sendHeartbeats(core::Instant now, OutgoingMessages &messages)
{
    m_nextHeartbeat = now + m_times.heartbeatInterval;
    const std::string relayVm = relay();
    for (auto &[vm, member] : m_members)
        messages.push_back(heartbeatFor(member, relayVm, now));
}

OutgoingMessage Membership::heartbeatFor(Member &member, const std::string &relayVm,
                                         core::Instant now)
{
    OutgoingMessage message;
    message.vm = member.address.vm;
    wire::Heartbeat &heartbeat = *message.envelope.mutable_heartbeat();
    heartbeat.set_leaving(isLocalLeaving());
    heartbeat.set_fenced(m_fenced);
    heartbeat.set_generation(m_local.generation);
    heartbeat.set_load(roundedLoad(m_local.load));
    heartbeat.set_details_wanted(!member.alive);
    if (member.address.vm == relayVm)
        heartbeat.set_remote_digest(remoteDigest());
    // A daemon from which no heartbeat arrives may not know the local daemon yet, so it gets the
    // addresses.
    if (member.alive && !member.detailsDue && now - member.detailsSent < m_times.detailsInterval)
        return message;
    member.detailsDue = false;
    member.detailsSent = now;
    heartbeat.set_has_details(true);
    heartbeat.set_region(m_self.region);
    heartbeat.set_failure_domain(m_self.failureDomain);
    heartbeat.set_caller_address(m_self.callerAddress);
    heartbeat.set_forward_address(m_self.forwardAddress);
    heartbeat.set_operator_address(m_self.operatorAddress);
    heartbeat.set_peer_address(m_self.peerAddress);
    heartbeat.set_claim_scope(m_local.claimScope);
    return message;
}

void Membership::sendDetailsNow(core::Instant now, OutgoingMessages &messages)
{
    for (auto &[vm, member] : m_members)
        member.detailsDue = true;
    sendHeartbeats(now, messages);
}

void Membership::onHeartbeat(const wire::Envelope &envelope, core::Instant now,
                             OutgoingMessages &messages)
{
    const wire::Heartbeat &heartbeat = envelope.heartbeat();
    const bool otherDomain
            = heartbeat.has_details() && heartbeat.failure_domain() != m_self.failureDomain;
    if (otherDomain)
        return;
    const auto found = m_members.find(envelope.sender_id());
    const bool known = found != m_members.end();
    // A new daemon cannot be added until it sends its addresses.
    if (!known && !heartbeat.has_details())
        return;
    Member &member = known ? found->second : m_members[envelope.sender_id()];
    const bool older = envelope.incarnation() < member.incarnation
            || (envelope.incarnation() == member.incarnation
                && envelope.sequence() <= member.sequence);
    if (member.alive && older)
        return;
    const bool joined = !member.alive || envelope.incarnation() != member.incarnation;
    // A daemon that resumes in the same incarnation still has the addresses that it sent before.
    const bool sameRun = known && envelope.incarnation() == member.incarnation;
    if (joined && !sameRun && !heartbeat.has_details())
        return;
    // The generation is not part of the view.
    m_changed = m_changed || joined || heartbeat.has_details()
            || member.leaving != heartbeat.leaving() || member.fenced != heartbeat.fenced()
            || member.load != heartbeat.load();
    member.address.vm = envelope.sender_id();
    member.incarnation = envelope.incarnation();
    member.sequence = envelope.sequence();
    member.lastReceived = now;
    member.alive = true;
    member.leaving = heartbeat.leaving();
    member.fenced = heartbeat.fenced();
    member.detailsDue = member.detailsDue || heartbeat.details_wanted();
    member.generation = heartbeat.generation();
    member.load = heartbeat.load();
    if (heartbeat.has_details())
        applyDetails(member, heartbeat);
    if (joined) {
        member.detailsDue = true;
        messages.push_back(heartbeatFor(member, relay(), now));
        OutgoingMessage introduction;
        introduction.vm = envelope.sender_id();
        *introduction.envelope.mutable_domain_summaries()->add_domains() = ownSummary();
        messages.push_back(std::move(introduction));
    }
    const bool resend = isRelay() && heartbeat.remote_digest() != 0
            && heartbeat.remote_digest() != remoteDigest()
            && (joined || now - member.summariesSent >= resendInterval);
    if (!resend)
        return;
    member.summariesSent = now;
    sendAllSummaries(envelope.sender_id(), messages);
}

void Membership::applyDetails(Member &member, const wire::Heartbeat &heartbeat)
{
    member.address.region = heartbeat.region();
    member.address.failureDomain = heartbeat.failure_domain();
    member.address.callerAddress = heartbeat.caller_address();
    member.address.forwardAddress = heartbeat.forward_address();
    member.address.operatorAddress = heartbeat.operator_address();
    member.address.peerAddress = heartbeat.peer_address();
    member.claimScope = heartbeat.claim_scope();
}

void Membership::onSummary(const wire::Envelope &envelope, core::Instant now,
                           OutgoingMessages &messages)
{
    const wire::DomainSummary &summary = envelope.domain_summary();
    if (summary.failure_domain() == m_self.failureDomain || summary.failure_domain().empty())
        return;
    const bool relayed = m_members.find(envelope.sender_id()) != m_members.end();
    const std::string ownRelay = relay();
    if (!relayed && ownRelay != m_self.vm) {
        // The sender took the local daemon for the relay; the message is forwarded to the actual
        // one.
        messages.push_back({ownRelay, envelope});
    }
    RemoteDomain &domain = m_remoteDomains[summary.failure_domain()];
    domain.lastReceived = now;
    domain.unansweredSummaries = 0;
    applyGenerations(domain, summary);
    if (!relayed)
        domain.relay = envelope.sender_id();
    if (summary.has_members() && summary.digest() != domain.summary.digest()) {
        applySummary(domain, summary);
        if (isRelay())
            forwardSummary(summary.failure_domain(), messages);
    }
    const bool membersMissing = summary.digest() != domain.summary.digest();
    if (isRelay() && (membersMissing || summary.members_wanted())) {
        OutgoingMessage answer;
        const std::vector<std::string> candidates = contacts(summary.failure_domain());
        answer.vm = relayed && !candidates.empty() ? candidates.front() : envelope.sender_id();
        *answer.envelope.mutable_domain_summary() = ownSummary();
        if (!summary.members_wanted()) {
            answer.envelope.mutable_domain_summary()->clear_members();
            answer.envelope.mutable_domain_summary()->set_has_members(false);
        }
        answer.envelope.mutable_domain_summary()->set_members_wanted(membersMissing);
        messages.push_back(std::move(answer));
    }
}

void Membership::onSummaries(const wire::Envelope &envelope, core::Instant now)
{
    if (m_members.find(envelope.sender_id()) == m_members.end())
        return;
    m_changed = true;
    for (const wire::DomainSummary &summary : envelope.domain_summaries().domains()) {
        if (summary.failure_domain() == m_self.failureDomain)
            addMembers(summary, now);
    }
    if (isRelay())
        return;
    if (envelope.domain_summaries().complete()) {
        for (auto &[name, domain] : m_remoteDomains) {
            domain.summary.clear_members();
            domain.summary.set_digest(0);
        }
    }
    for (const wire::DomainSummary &summary : envelope.domain_summaries().domains()) {
        if (summary.failure_domain() == m_self.failureDomain)
            continue;
        RemoteDomain &domain = m_remoteDomains[summary.failure_domain()];
        domain.lastReceived = now;
        applyGenerations(domain, summary);
        if (summary.has_members())
            applySummary(domain, summary);
    }
}

void Membership::addMembers(const wire::DomainSummary &summary, core::Instant now)
{
    for (const wire::DomainSummary::Member &item : summary.members()) {
        if (item.vm() == m_self.vm || m_members.find(item.vm()) != m_members.end())
            continue;
        Member &member = m_members[item.vm()];
        member.address = {item.vm(),
                          summary.region(),
                          summary.failure_domain(),
                          item.caller_address(),
                          item.forward_address(),
                          item.operator_address(),
                          item.peer_address(),
                          false};
        member.lastReceived = now;
    }
}

void Membership::applySummary(RemoteDomain &domain, const wire::DomainSummary &summary)
{
    m_changed = true;
    domain.summary = summary;
    domain.summary.clear_members_wanted();
}

void Membership::applyGenerations(RemoteDomain &domain, const wire::DomainSummary &summary)
{
    m_generationsChanged = m_generationsChanged
            || domain.lowestGeneration != summary.lowest_generation()
            || domain.highestGeneration != summary.highest_generation();
    domain.lowestGeneration = summary.lowest_generation();
    domain.highestGeneration = summary.highest_generation();
}

void Membership::forwardGenerations(core::Instant now, OutgoingMessages &messages)
{
    if (!isRelay() || !m_generationsChanged || now < m_nextGenerationsTime)
        return;
    m_generationsChanged = false;
    m_nextGenerationsTime = now + m_times.generationsInterval;
    OutgoingMessage message;
    for (const auto &[name, domain] : m_remoteDomains) {
        wire::DomainSummary &summary = *message.envelope.mutable_domain_summaries()->add_domains();
        summary.set_failure_domain(name);
        summary.set_lowest_generation(domain.lowestGeneration);
        summary.set_highest_generation(domain.highestGeneration);
    }
    for (const auto &[vm, member] : m_members) {
        if (!member.alive)
            continue;
        message.vm = vm;
        messages.push_back(message);
    }
}

void Membership::sendSummaries(core::Instant now, OutgoingMessages &messages)
{
    const bool isNowRelay = isRelay();
    const bool becameRelay = isNowRelay && !m_wasRelay;
    m_wasRelay = isNowRelay;
    if (!isNowRelay)
        return;
    const std::uint64_t digest = ownSummary().digest();
    const bool changed = becameRelay || digest != m_lastSentDigest;
    m_lastSentDigest = digest;
    for (auto &[name, domain] : m_remoteDomains) {
        if (becameRelay)
            domain.lastReceived = now;
        if (!changed && now < domain.nextSend)
            continue;
        // Staggers the summaries to the failure domains over the interval.
        const double share = core::hashToUnit(core::stableHash(m_self.vm + name));
        const core::Duration interval = summaryInterval();
        const auto early = std::chrono::duration_cast<core::Duration>(interval * share);
        domain.nextSend = now + (changed ? interval - early / 2 : interval);
        sendSummaryTo(name, domain, changed, messages);
    }
}

void Membership::sendSummaryTo(const std::string &failureDomain, RemoteDomain &domain,
                               bool withMembers, OutgoingMessages &messages)
{
    const std::vector<std::string> candidates = contacts(failureDomain);
    if (candidates.empty())
        return;
    OutgoingMessage message;
    message.vm = candidates[domain.unansweredSummaries / 2 % candidates.size()];
    ++domain.unansweredSummaries;
    wire::DomainSummary &summary = *message.envelope.mutable_domain_summary();
    summary = ownSummary();
    summary.set_has_members(withMembers);
    if (!withMembers)
        summary.clear_members();
    summary.set_members_wanted(domain.summary.members().empty());
    messages.push_back(std::move(message));
}

void Membership::forwardSummary(const std::string &failureDomain, OutgoingMessages &messages) const
{
    for (const auto &[vm, member] : m_members) {
        if (!member.alive)
            continue;
        OutgoingMessage message;
        message.vm = vm;
        *message.envelope.mutable_domain_summaries()->add_domains()
                = summaryOf(m_remoteDomains.at(failureDomain));
        messages.push_back(std::move(message));
    }
}

void Membership::sendAllSummaries(const std::string &vm, OutgoingMessages &messages) const
{
    OutgoingMessage message;
    message.vm = vm;
    wire::DomainSummaries &summaries = *message.envelope.mutable_domain_summaries();
    summaries.set_complete(true);
    for (const auto &[name, domain] : m_remoteDomains) {
        if (!domain.summary.members().empty())
            *summaries.add_domains() = summaryOf(domain);
    }
    messages.push_back(std::move(message));
}

wire::DomainSummary Membership::ownSummary() const
{
    wire::DomainSummary summary;
    summary.set_failure_domain(m_self.failureDomain);
    summary.set_region(m_self.region);
    summary.set_has_members(true);
    std::map<std::string, wire::DomainSummary::Member> sorted;
    wire::DomainSummary::Member local = toWire(m_self);
    local.set_incarnation(m_incarnation);
    local.set_leaving(isLocalLeaving() || m_fenced);
    local.set_load(roundedLoad(m_local.load));
    local.set_claim_scope(m_local.claimScope);
    sorted.emplace(m_self.vm, std::move(local));
    std::uint64_t lowest = m_local.generation;
    std::uint64_t highest = m_local.generation;
    for (const auto &[vm, member] : m_members) {
        if (!member.alive)
            continue;
        wire::DomainSummary::Member item = toWire(member.address);
        item.set_incarnation(member.incarnation);
        item.set_leaving(member.leaving || member.fenced || isListedAsLeaving(vm));
        item.set_load(member.load);
        item.set_claim_scope(member.claimScope);
        sorted.emplace(vm, std::move(item));
        lowest = std::min(lowest, member.generation);
        highest = std::max(highest, member.generation);
    }
    for (auto &[vm, member] : sorted)
        *summary.add_members() = std::move(member);
    summary.set_digest(digestOf(summary));
    summary.set_lowest_generation(lowest);
    summary.set_highest_generation(highest);
    return summary;
}

std::uint64_t Membership::remoteDigest() const
{
    // Never 0, which in a heartbeat means that there is no digest.
    std::uint64_t digest = 1;
    for (const auto &[name, domain] : m_remoteDomains) {
        if (domain.summary.digest() != 0)
            digest = core::combineHashes(digest, domain.summary.digest());
    }
    return std::max<std::uint64_t>(digest, 1);
}

core::Duration Membership::summaryInterval() const
{
    const auto domains = static_cast<std::int64_t>(m_remoteDomains.size());
    return std::max(m_times.minimumSummaryInterval, domains * m_times.summarySpacing);
}

bool Membership::isListedAsLeaving(const std::string &vm) const
{
    const auto found = m_vmList.find(vm);
    return found != m_vmList.end() && found->second.leaving;
}

bool Membership::isLocalLeaving() const
{
    return m_leaving || isListedAsLeaving(m_self.vm);
}

} // namespace sardinehollow::peer
