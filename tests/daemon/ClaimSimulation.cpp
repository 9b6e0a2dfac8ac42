#include "daemon/ClaimSimulation.h"

#include "sardinehollow_peer/claims/ScopedKey.h"

#include <algorithm>

namespace sardinehollow::tests {

namespace {

using Result = peer::ClaimVerdict::Result;

constexpr std::chrono::milliseconds stepTime {10};

} // namespace

ClaimSimulation::ClaimSimulation(std::size_t owners, peer::ClaimServiceSettings settings)
    : m_settings(std::move(settings))
    , m_owners(owners)
{
    m_settings.failureDomain = "east-a";
    for (std::size_t index = 0; index <= owners; ++index) {
        Node node;
        node.vm = (index < owners ? "east-a-" : "west-a-") + std::to_string(index);
        start(node);
        nodes.push_back(std::move(node));
    }
}

void ClaimSimulation::start(Node &node)
{
    ++node.incarnation;
    node.alive = true;
    node.paused = false;
    node.store = std::make_unique<FaultyStore>(store);
    node.journal = std::make_unique<daemon::StoreClaimJournal>(*node.store, "test", "east-a");
    peer::ClaimServiceSettings settings = m_settings;
    settings.holder = node.vm + "/" + std::to_string(node.incarnation);
    node.service = std::make_unique<peer::ClaimService>(settings);
    node.service->setKinds(kinds);
    node.service->setOwner(node.owner);
    node.client = std::make_unique<peer::ClaimClient>(
            node.vm, node.incarnation,
            [this](const std::string &) {
                std::vector<std::string> candidates;
                for (std::size_t index = 0; index < m_owners; ++index)
                    candidates.push_back(nodes[index].vm);
                return candidates;
            },
            peer::ClaimClientSettings {});
    node.result.reset();
    node.request.reset();
    node.running.clear();
    node.open.clear();
}

std::size_t ClaimSimulation::attempt(std::size_t node, const std::string &key, Plan plan,
                                     const std::string &workKind, const std::string &content)
{
    attempts.push_back({node, 0, workKind, key, plan, 0, {}});
    if (!nodes[node].alive || nodes[node].paused)
        return attempts.size() - 1;
    peer::ClaimCall call;
    call.workKind = workKind;
    call.key = key;
    call.contentDigest = content;
    call.deadline = now + std::chrono::seconds(5);
    attempts.back().number = nodes[node].client->begin(std::move(call), now);
    attempts.back().incarnation = nodes[node].incarnation;
    nodes[node].open.push_back(attempts.size() - 1);
    return attempts.size() - 1;
}

void ClaimSimulation::run(std::chrono::milliseconds duration)
{
    for (std::chrono::milliseconds elapsed {0}; elapsed < duration; elapsed += stepTime) {
        now += stepTime;
        store.advance(stepTime);
        for (std::size_t node = 0; node < nodes.size(); ++node)
            advanceNode(node);
        deliverAll();
    }
}

void ClaimSimulation::advanceNode(std::size_t index)
{
    Node &node = nodes[index];
    if (!node.alive || node.paused)
        return;
    node.service->setOwner(node.owner);
    node.service->setWallClock(std::chrono::duration_cast<std::chrono::seconds>(now));
    route(index, node.service->advance(now));
    if (node.result) {
        const peer::JournalResult result = *node.result;
        node.result.reset();
        route(index, node.service->onJournalResult(result, now));
    }
    std::optional<peer::JournalRequest> request;
    request.swap(node.request);
    if (!request)
        request = node.service->nextRequest(now);
    if (request && node.slowCalls) {
        node.request.swap(request);
        node.slowCalls = false;
    }
    if (request) {
        const peer::JournalResult result = node.journal->call(*request);
        if (node.slowStore)
            node.result = result;
        else
            route(index, node.service->onJournalResult(result, now));
    }
    for (const peer::ClaimMessage &message : node.client->advance(now))
        m_messages.push_back({index, indexOf(message.vm), message.call, {}});
    collectVerdicts(index);
}

void ClaimSimulation::route(std::size_t from, const peer::ClaimService::Responses &responses)
{
    for (const peer::ClaimResponse &response : responses) {
        const bool committed = response.operation == peer::ClaimOperation::Finish
                && response.verdict.result == Result::Proceed;
        for (const Attempt &attempt : attempts) {
            const bool matches = attempt.number == response.id.number
                    && nodes[attempt.node].vm == response.id.vm
                    && attempt.incarnation == response.id.incarnation;
            if (committed && matches)
                acknowledged.insert(attempt.key);
        }
        m_messages.push_back({from, indexOf(response.id.vm), {}, response});
    }
}

void ClaimSimulation::deliverAll()
{
    // Several rounds, so that immediate responses are delivered in the same step.
    for (int round = 0; round < 3; ++round) {
        std::vector<Message> messages;
        messages.swap(m_messages);
        for (const Message &message : messages)
            handle(message);
    }
}

void ClaimSimulation::deliver(std::size_t position, bool keep)
{
    if (m_messages.empty())
        return;
    position %= m_messages.size();
    const Message message = m_messages[position];
    if (!keep)
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(position));
    handle(message);
}

void ClaimSimulation::handle(const Message &message)
{
    if (nodes[message.to].paused) {
        m_messages.push_back(message);
        return;
    }
    Node &to = nodes[message.to];
    const bool cut = message.from != message.to && (to.isolated || nodes[message.from].isolated);
    if (!to.alive || cut)
        return;
    if (message.call)
        route(message.to, to.service->handle(*message.call, now));
    if (message.response)
        to.client->onResponse(*message.response, now);
    collectVerdicts(message.to);
}

void ClaimSimulation::collectVerdicts(std::size_t index)
{
    std::vector<std::size_t> &open = nodes[index].open;
    for (std::size_t item = 0; item < open.size();) {
        Attempt &attempt = attempts[open[item]];
        attempt.verdict = nodes[index].client->takeVerdict(attempt.number);
        if (!attempt.verdict) {
            ++item;
            continue;
        }
        const std::size_t position = open[item];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(item));
        onVerdict(position);
    }
}

void ClaimSimulation::onVerdict(std::size_t position)
{
    Attempt &attempt = attempts[position];
    check(attempt);
    if (attempt.verdict->result != Result::Proceed)
        return;
    Node &node = nodes[attempt.node];
    switch (attempt.plan) {
    case Plan::Shed:
        node.client->release(attempt.number, now);
        return;
    case Plan::DieBeforeDispatch:
        kill(attempt.node);
        return;
    case Plan::Run:
    case Plan::DieAfterDispatch:
        break;
    }
    if (++runs[attempt.key] > 1)
        violation = "key " + attempt.key + " ran twice";
    bodies[attempt.key] = "body " + std::to_string(position);
    node.running.push_back(position);
    if (attempt.plan == Plan::DieAfterDispatch)
        kill(attempt.node);
}

void ClaimSimulation::check(const Attempt &attempt)
{
    const peer::ClaimVerdict &verdict = *attempt.verdict;
    const int count = runs[attempt.key];
    const bool answeredNotRun = verdict.result == Result::Refuse && verdict.confirmed
            && verdict.reason != policy::RefusalReason::KeyReused;
    if (answeredNotRun && count != 0)
        violation = "key " + attempt.key + " ran and was answered not-run ("
                + std::string(policy::toName(verdict.reason)) + ")";
    if (verdict.result != Result::Replay)
        return;
    if (count != 1 || verdict.body != bodies[attempt.key])
        violation = "key " + attempt.key + " was answered with another outcome";
}

void ClaimSimulation::finishRuns(std::size_t index)
{
    Node &node = nodes[index];
    if (!node.alive || node.paused)
        return;
    for (const std::size_t position : node.running) {
        const Attempt &attempt = attempts[position];
        node.client->finish(attempt.number, 200, bodies[attempt.key], now);
    }
    node.running.clear();
}

void ClaimSimulation::kill(std::size_t index)
{
    Node &node = nodes[index];
    node.alive = false;
    node.running.clear();
    node.open.clear();
}

void ClaimSimulation::restart(std::size_t index)
{
    kill(index);
    start(nodes[index]);
}

void ClaimSimulation::clearFaults()
{
    store.outage = false;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        Node &node = nodes[index];
        node.store->fault = FaultyStore::Fault::None;
        node.store->applyDelayed();
        node.isolated = false;
        node.paused = false;
        node.slowStore = false;
        node.slowCalls = false;
        if (!node.alive)
            restart(index);
    }
}

void ClaimSimulation::setOnlyOwner(std::size_t index)
{
    for (std::size_t node = 0; node < nodes.size(); ++node)
        nodes[node].owner = node == index;
}

const peer::ClaimVerdict &ClaimSimulation::verdict(std::size_t position) const
{
    static const peer::ClaimVerdict noVerdict {
            Result::Refuse, policy::RefusalReason::None, 0, {}, false};
    const std::optional<peer::ClaimVerdict> &verdict = attempts.at(position).verdict;
    return verdict ? *verdict : noVerdict;
}

std::string ClaimSimulation::scope() const
{
    for (const Node &node : nodes) {
        const std::string scope = node.service->scope();
        if (node.alive && !scope.empty())
            return scope;
    }
    return {};
}

std::size_t ClaimSimulation::indexOf(const std::string &vm) const
{
    const auto found = std::find_if(nodes.begin(), nodes.end(),
                                    [&vm](const Node &node) { return node.vm == vm; });
    return static_cast<std::size_t>(found - nodes.begin());
}

} // namespace sardinehollow::tests
