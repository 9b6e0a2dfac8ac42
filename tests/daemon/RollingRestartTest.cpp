#include "sardinehollow_daemon/application/DaemonApplication.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "sardinehollow_standin/control/Standin.h"
#include "support/ExampleConfiguration.h"
#include "support/FreeAddress.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <catch2/catch.hpp>
#include <spdlog/sinks/null_sink.h>

#include <algorithm>
#include <functional>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

// Waits until other threads make a condition true; the limit of 30 s only ends a hanging test.
bool eventually(const std::function<bool()> &condition)
{
    for (int attempt = 0; attempt < 1500; ++attempt) {
        if (condition())
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

std::pair<int, std::string> get(const std::string &address, const std::string &path)
{
    Poco::Net::HTTPClientSession session((Poco::Net::SocketAddress(address)));
    Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPRequest::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    return {response.getStatus(), body};
}

// Two failure domains with two daemons each, in one process.
class Deployment
{
public:
    Deployment()
    {
        m_standinSettings.platformAddress = tests::freeAddress();
        m_standinSettings.controlAddress = tests::freeAddress();
        Poco::JSON::Array::Ptr vms = new Poco::JSON::Array;
        for (const std::string domain : {"east-a", "west-a"}) {
            for (const std::string number : {"1", "2"}) {
                settings.push_back(makeSettings(domain, domain + "-" + number));
                vms->add(toVm(settings.back()));
            }
        }
        m_standinSettings.vms = vms;
        m_configuration = *config::readConfiguration(tests::exampleConfiguration);
        m_configuration.answerLifetime = 300ms;
        for (config::BackendServer &server : m_configuration.pools.front().backendServers) {
            server.address = tests::freeAddress();
            standin::StandinBackendSettings backend;
            backend.name = server.name;
            backend.address = server.address;
            backend.slots = server.slots;
            m_standinSettings.backendServers.push_back(backend);
        }
        m_standin = std::make_unique<standin::Standin>(m_standinSettings);
        for (const config::DaemonSettings &item : settings)
            daemons.push_back(start(item));
    }

    static std::unique_ptr<daemon::DaemonApplication> start(const config::DaemonSettings &settings)
    {
        return std::make_unique<daemon::DaemonApplication>(
                settings, std::make_shared<spdlog::sinks::null_sink_mt>());
    }

    /** Returns the error of the submission; empty if it was accepted. */
    std::string submit()
    {
        platform::EtcdStore store({m_standinSettings.platformAddress}, 5s);
        configuration_store::ConfigurationStore configurations(store, m_configuration.deployment,
                                                               platform::CallPurpose::Operator);
        configuration_store::Submission submission;
        submission.configuration = m_configuration;
        submission.submissionId = "first";
        const auto accepted = configurations.submit(submission);
        return accepted ? std::string() : accepted.error().text();
    }

    bool waitUntilReady()
    {
        return eventually([this] {
            return std::all_of(daemons.begin(), daemons.end(),
                               [](const auto &daemon) { return daemon->isReady(); });
        });
    }

    // Returns the entries in a daemon's look-up answer for the work kind "look", in order.
    static std::vector<std::string> lookUp(const config::DaemonSettings &at)
    {
        std::vector<std::string> addresses;
        Poco::JSON::Parser parser;
        const auto answer = parser.parse(get(at.callerAddress, "/v1/entries?kind=look").second)
                                    .extract<Poco::JSON::Object::Ptr>();
        const Poco::JSON::Array::Ptr entries = answer->getArray("entries");
        for (unsigned index = 0; index < entries->size(); ++index)
            addresses.push_back(entries->getObject(index)->getValue<std::string>("address"));
        return addresses;
    }

    std::vector<config::DaemonSettings> settings;
    std::vector<std::unique_ptr<daemon::DaemonApplication>> daemons;

private:
    config::DaemonSettings makeSettings(const std::string &domain, const std::string &vm) const
    {
        config::DaemonSettings result;
        result.vm = vm;
        result.deployment = config::readConfiguration(tests::exampleConfiguration)->deployment;
        result.region = domain.substr(0, domain.find('-'));
        result.failureDomain = domain;
        result.callerAddress = tests::freeAddress();
        result.forwardAddress = tests::freeAddress();
        result.operatorAddress = tests::freeAddress();
        result.peerAddress = tests::freeAddress();
        result.storeAddresses = {m_standinSettings.platformAddress};
        result.vmListAddress = m_standinSettings.platformAddress;
        result.claimThreads = 16;
        result.idleTimeout = 500ms;
        return result;
    }

    static Poco::JSON::Object::Ptr toVm(const config::DaemonSettings &item)
    {
        Poco::JSON::Object::Ptr vm = new Poco::JSON::Object;
        vm->set("vm", item.vm);
        vm->set("region", item.region);
        vm->set("failureDomain", item.failureDomain);
        vm->set("callerAddress", item.callerAddress);
        vm->set("forwardAddress", item.forwardAddress);
        vm->set("operatorAddress", item.operatorAddress);
        vm->set("peerAddress", item.peerAddress);
        vm->set("state", "live");
        return vm;
    }

    standin::StandinSettings m_standinSettings;
    config::Configuration m_configuration;
    std::unique_ptr<standin::Standin> m_standin;
};

// Sends requests as a caller does, and uses each look-up answer for several requests.
class Caller
{
public:
    explicit Caller(const config::DaemonSettings &lookUpAt)
        : m_lookUpAt(lookUpAt)
        , m_thread([this] { run(); })
    { }

    // Stops sending and returns the first failure; empty if all requests were answered completely.
    std::string stop()
    {
        m_stopping = true;
        m_thread.join();
        return m_failure;
    }

    std::atomic<int> completed {0};

private:
    void run()
    {
        while (!m_stopping && m_failure.empty()) {
            const std::vector<std::string> entries = Deployment::lookUp(m_lookUpAt);
            for (int request = 0; request < 5 && m_failure.empty(); ++request)
                send(entries);
        }
    }

    void send(const std::vector<std::string> &entries)
    {
        for (const std::string &entry : entries) {
            try {
                const auto [status, body] = get(entry, "/look/1");
                if (status == Poco::Net::HTTPResponse::HTTP_OK)
                    ++completed;
                else
                    m_failure = entry + " answered " + std::to_string(status) + " " + body;
                return;
            } catch (const Poco::Exception &exception) {
                m_failure = entry + ": " + exception.displayText();
            }
        }
    }

    const config::DaemonSettings &m_lookUpAt;
    std::atomic<bool> m_stopping {false};
    std::string m_failure;
    std::thread m_thread;
};

} // namespace

TEST_CASE("Daemons restart one after another without a lost request")
{
    // Guards against forwarding to a daemon that has left but is still in the VM list.
    Deployment deployment;
    REQUIRE(deployment.submit() == "");
    REQUIRE(deployment.waitUntilReady());
    for (const std::size_t index : {1, 2}) {
        CAPTURE(index);
        Caller caller(deployment.settings[0]);
        REQUIRE(eventually([&] { return caller.completed > 5; }));
        std::thread draining([&] { deployment.daemons[index]->drain(); });
        const std::string address = deployment.settings[index].callerAddress;
        const bool isRemoved = eventually([&] {
            const std::vector<std::string> entries = Deployment::lookUp(deployment.settings[0]);
            return std::find(entries.begin(), entries.end(), address) == entries.end();
        });
        draining.join();
        deployment.daemons[index].reset();
        const int completedAtLeave = caller.completed;
        const bool keptServing
                = eventually([&] { return caller.completed > completedAtLeave + 5; });
        deployment.daemons[index] = Deployment::start(deployment.settings[index]);
        const bool ready = deployment.waitUntilReady();
        REQUIRE(caller.stop() == "");
        REQUIRE(isRemoved);
        REQUIRE(keptServing);
        REQUIRE(ready);
    }
}
