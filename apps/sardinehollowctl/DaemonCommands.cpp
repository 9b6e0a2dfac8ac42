#include "CommandSupport.h"
#include "Commands.h"
#include "sardinehollow_platform/http/HttpCall.h"

#include <Poco/URI.h>

#include <iomanip>
#include <iostream>

namespace sardinehollow::apps {

namespace {

constexpr std::chrono::milliseconds daemonTimeout {3000};

std::string encoded(const std::string &text)
{
    std::string result;
    Poco::URI::encode(text, "&=?#+", result);
    return result;
}

void printStatusRow(const std::string &address, const Poco::JSON::Object &status)
{
    const bool leaving = status.optValue("leaving", false);
    const bool ready = status.optValue("ready", false);
    std::cout << std::left << std::setw(24) << status.optValue<std::string>("vm", address)
              << std::setw(20) << status.optValue<std::string>("failureDomain", "") << std::setw(12)
              << status.optValue<std::uint64_t>("generation", 0) << std::setw(10)
              << (leaving ? "leaving" : (ready ? "ready" : "not-ready"))
              << status.optValue<std::uint64_t>("requestsInFlight", 0) << "\n";
}

} // namespace

ExitCode statusCommand(const Options &options)
{
    ExitCode code = ExitCode::Done;
    const bool json = options.at("--json").asBool();
    if (!json) {
        std::cout << std::left << std::setw(24) << "VM" << std::setw(20) << "FAILURE-DOMAIN"
                  << std::setw(12) << "GENERATION" << std::setw(10) << "STATE"
                  << "IN-FLIGHT\n";
    }
    for (const std::string &address : splitList(options.at("--daemons").asString())) {
        const auto status = platform::getJson(address, "/v1/status", daemonTimeout);
        if (!status) {
            code = reportError(status.error());
            continue;
        }
        if (json)
            printJson(**status);
        else
            printStatusRow(address, **status);
    }
    return code;
}

ExitCode lookupCommand(const Options &options)
{
    std::string path = "/v1/entries?kind=" + encoded(options.at("--kind").asString());
    if (options.at("--caller").isString())
        path += "&caller=" + encoded(options.at("--caller").asString());
    const auto answer = platform::getJson(options.at("--entry").asString(), path, daemonTimeout);
    if (!answer)
        return reportError(answer.error());
    (*answer)->stringify(std::cout, 2);
    std::cout << "\n";
    return ExitCode::Done;
}

} // namespace sardinehollow::apps
