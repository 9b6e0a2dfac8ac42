#include "daemon/ShiftSimulation.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "support/ExampleConfiguration.h"

#include <Poco/JSON/Array.h>

#include <algorithm>

namespace sardinehollow::tests {

namespace {

constexpr std::chrono::milliseconds stepTime {5};

} // namespace

ShiftSimulation::ShiftSimulation(std::uint32_t seed, unsigned lossPercent)
    : m_random(seed)
    , m_lossPercent(lossPercent)
{
    clock.set(std::chrono::hours(1));
    const std::vector<std::pair<std::string, std::string>> names
            = {{"a1", "west-a"}, {"a2", "west-a"}, {"a3", "west-a"},
               {"a4", "west-a"}, {"b1", "west-b"}, {"b2", "west-b"}};
    for (const auto &[vm, domain] : names) {
        Node node;
        node.vm = vm;
        node.failureDomain = domain;
        node.policy = std::make_unique<policy::SteeringPolicy>();
        node.transport = std::make_unique<Transport>(*this, vm);
        node.service = std::make_unique<daemon::ShiftService>(
                daemon::ShiftService::Identity {vm, domain, 1000}, *node.policy, *node.transport,
                clock, [](const std::string &) { return 1000; });
        m_nodes.push_back(std::move(node));
    }
    for (Node &node : m_nodes)
        publish(node);
}

void ShiftSimulation::run(std::chrono::milliseconds duration)
{
    for (std::chrono::milliseconds elapsed {0}; elapsed < duration; elapsed += stepTime) {
        clock.advance(stepTime);
        deliver();
        for (Node &node : m_nodes) {
            if (!node.alive || node.paused)
                continue;
            node.service->advance();
            offerRequests(node);
        }
    }
}

void ShiftSimulation::configure(std::uint64_t generation, std::uint32_t capA, std::uint32_t capB)
{
    config::Configuration configuration = *config::readConfiguration(exampleConfiguration);
    configuration.generation = generation;
    configuration.failureDomains.push_back({"west-b", "west"});
    configuration.shifts.push_back({"move",
                                    "east",
                                    {"look"},
                                    1.0,
                                    1.0,
                                    std::chrono::seconds(0),
                                    {{"west-a", capA}, {"west-b", capB}}});
    const auto shared = std::make_shared<const config::Configuration>(std::move(configuration));
    for (Node &node : m_nodes)
        node.policy->applyConfiguration(shared);
}

void ShiftSimulation::kill(std::size_t node)
{
    m_nodes[node].alive = false;
}

void ShiftSimulation::pause(std::size_t node, bool paused)
{
    m_nodes[node].paused = paused;
}

void ShiftSimulation::hide(std::size_t node, std::size_t other)
{
    m_nodes[node].hidden.insert(m_nodes[other].vm);
    publish(m_nodes[node]);
}

void ShiftSimulation::clearHidden()
{
    for (Node &node : m_nodes) {
        node.hidden.clear();
        publish(node);
    }
}

std::size_t ShiftSimulation::enforcer(std::size_t node) const
{
    Poco::JSON::Object object;
    m_nodes[node].service->addStatus(object);
    const auto vm = object.getArray("shifts")->getObject(0)->getValue<std::string>("capEnforcer");
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(),
                                    [&vm](const Node &item) { return item.vm == vm; });
    return static_cast<std::size_t>(found - m_nodes.begin());
}

std::size_t ShiftSimulation::maxAdmittedPerSecond(const std::string &failureDomain,
                                                  core::Instant from, core::Instant until) const
{
    std::deque<core::Instant> window;
    std::size_t maximum = 0;
    for (const Admission &admission : m_admissions) {
        if (admission.failureDomain != failureDomain || admission.time < from
            || admission.time > until)
            continue;
        window.push_back(admission.time);
        while (admission.time - window.front() > std::chrono::seconds(1))
            window.pop_front();
        maximum = std::max(maximum, window.size());
    }
    return maximum;
}

void ShiftSimulation::Transport::send(const std::string &vm, peer::wire::Envelope envelope)
{
    if (m_simulation.m_random() % 100 < m_simulation.m_lossPercent)
        return;
    envelope.set_sender_id(m_vm);
    const std::chrono::milliseconds delay(m_simulation.m_random() % 60);
    m_simulation.m_messages.push_back({m_simulation.clock.now() + delay, vm, std::move(envelope)});
}

void ShiftSimulation::publish(Node &node)
{
    auto view = std::make_shared<policy::PeerView>();
    for (const Node &other : m_nodes) {
        if (node.hidden.count(other.vm) > 0)
            continue;
        if (other.vm == node.vm)
            view->self = view->peers.size();
        view->peers.push_back(
                {other.vm, 1, "west", other.failureDomain, "127.0.0.1:1", "", false, 0.0, ""});
    }
    node.policy->onPeers(view);
}

void ShiftSimulation::deliver()
{
    std::vector<Message> due;
    const auto waiting = [this](const Message &message) {
        return message.arrival > clock.now()
                || std::any_of(m_nodes.begin(), m_nodes.end(), [&message](const Node &node) {
                       return node.paused && node.vm == message.to;
                   });
    };
    const auto split = std::stable_partition(m_messages.begin(), m_messages.end(), waiting);
    std::move(split, m_messages.end(), std::back_inserter(due));
    m_messages.erase(split, m_messages.end());
    for (const Message &message : due) {
        for (Node &node : m_nodes) {
            if (node.vm == message.to && node.alive)
                node.service->onMessage(message.envelope);
        }
    }
}

void ShiftSimulation::offerRequests(Node &node)
{
    for (std::size_t count = 0; count < offersPerStep; ++count) {
        const auto caller = core::IpAddress::parse("10.0.0." + std::to_string(m_random() % 250));
        if (node.service->admit("look", *caller))
            m_admissions.push_back({clock.now(), node.failureDomain});
    }
}

} // namespace sardinehollow::tests
