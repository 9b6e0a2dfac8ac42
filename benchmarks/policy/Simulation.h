#pragma once

#include "BenchDeployment.h"
#include "BenchResult.h"
#include "EventQueue.h"
#include "FakeDaemon.h"
#include "FakeServer.h"
#include "Scenario.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::bench {

/** Runs one policy through one scenario in virtual time. */
class Simulation
{
public:
    Simulation(const BenchDeployment &deployment, const Scenario &scenario,
               const std::string &policyName, std::uint64_t seed);

    BenchResult run();

private:
    using Request = std::shared_ptr<BenchRequest>;

    void createServers(std::uint64_t seed);
    void createDaemons(const std::string &policyName, std::uint64_t seed);
    void scheduleFaults();
    void scheduleArrival(std::size_t kind);
    double rate(std::size_t kind) const;
    void arrive(std::size_t kind);
    void sendCrashing(std::uint32_t times);

    std::optional<std::size_t> chooseEntry(std::size_t region);
    void deliver(std::size_t daemon, core::Duration delay, std::function<void()> action);
    void accept(std::size_t daemon, FakeDaemon::PendingRequest pending);
    void handle(std::size_t daemon, const policy::Decision &decision);
    void handleAll(std::size_t daemon, const std::vector<policy::Decision> &decisions);
    void dispatch(std::size_t daemon, const policy::Decision &decision);
    void forward(std::size_t daemon, const policy::Decision &decision);
    void serverEnded(std::size_t server, const FakeServer::Attempt &attempt,
                     policy::AttemptOutcome outcome);
    void complete(std::size_t daemon, const core::RequestId &id, std::uint32_t attempt,
                  core::Instant started, policy::AttemptOutcome outcome);
    void finish(std::size_t daemon, const policy::Decision &decision,
                policy::AttemptOutcome outcome);
    void recordResponse(const Request &request, BenchRequest::Outcome outcome,
                        core::Duration delay);

    void scheduleAdvance(std::size_t daemon);
    void exchangeSummaries(std::size_t daemon);
    void pollServers(std::size_t daemon);
    void report(std::size_t daemon, const policy::BackendReport &report);
    void publishPeers(core::Duration delay);
    void killDaemon(std::size_t daemon);
    void pauseDaemon(std::size_t daemon, core::Duration length);
    void loseRegion(const std::string &region);
    void drainRegion(const std::string &region);
    void watchDrain(const std::string &region, core::Instant ordered);

    core::Duration latency(const std::string &from, const std::string &to) const;
    bool isMeasured(const BenchRequest &request) const;
    bool isGoodput(const BenchRequest &request) const;
    BenchResult::Row row(std::size_t kind) const;
    BenchResult::Row totalRow() const;

    const BenchDeployment &m_deployment;
    const Scenario &m_scenario;
    EventQueue m_events;
    core::SeededRandom m_arrivalRandom;
    core::SeededRandom m_routeRandom;
    std::vector<std::unique_ptr<FakeServer>> m_servers;
    std::map<std::string, std::size_t> m_serverIndex;
    std::vector<FakeDaemon> m_daemons;
    std::vector<Request> m_requests;
    BenchResult m_result;
};

} // namespace sardinehollow::bench
