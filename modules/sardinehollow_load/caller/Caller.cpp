#include "sardinehollow_load/caller/Caller.h"

#include "sardinehollow_load/client/AnswerCheck.h"
#include "sardinehollow_standin/content/Content.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <thread>

namespace sardinehollow::load {

namespace {

constexpr std::chrono::milliseconds lookupTimeout {500};
constexpr std::chrono::milliseconds resendInterval {20};
constexpr std::uint32_t clientBlockCount = 3;

// Spreads the callers over the client blocks 10.1.0.0/16 to 10.3.0.0/16 of the example
// configurations.
std::string callerAddress(std::uint32_t number)
{
    return "10." + std::to_string(number % clientBlockCount + 1) + "."
            + std::to_string(number / 250 % 250) + "." + std::to_string(number % 250 + 1);
}

std::string requestPath(const LoadKind &kind, std::uint64_t number)
{
    return kind.path + "/" + std::to_string(number)
            + "?bytes=" + std::to_string(kind.responseBytes);
}

} // namespace

Caller::Caller(const core::MonotonicClock &clock, const Target &target, std::uint32_t number)
    : m_clock(clock)
    , m_target(target)
    , m_number(number)
    , m_address(callerAddress(number))
{ }

RequestResult Caller::request(HttpClient &client, const LoadKind &kind, std::uint64_t number,
                              core::Instant intended)
{
    RequestResult result;
    result.allNotRun = true;
    const bool idempotent = kind.method != "POST";
    const core::Instant deadline = intended + kind.deadline;
    const std::string path = requestPath(kind, number);
    std::size_t nextEntry = 0;
    bool mayResend = true;
    while (mayResend && m_clock.now() < deadline) {
        const LookupResult lookup = lookUp(client, kind.workKind);
        if (lookup.entries.empty()) {
            std::this_thread::sleep_for(resendInterval);
            continue;
        }
        if (!idempotent && result.key.empty()) {
            const std::string uniqueKey = "load-" + std::to_string(number);
            result.key
                    = lookup.claimScope.empty() ? uniqueKey : lookup.claimScope + "." + uniqueKey;
        }
        const auto remaining
                = std::chrono::ceil<std::chrono::milliseconds>(deadline - m_clock.now());
        HttpClient::Headers headers {
                {"Sardinehollow-Deadline-Ms", std::to_string(remaining.count())}};
        if (!idempotent)
            headers.emplace_back("Idempotency-Key", result.key);
        const std::string body = idempotent ? "" : "posting " + std::to_string(number);
        const HttpAnswer answer = client.send(lookup.entries[nextEntry++ % lookup.entries.size()],
                                              kind.method, path, headers, body, remaining);
        ++result.tries;
        recordAnswer(answer, kind, path, result);
        const bool notRun = result.outcome == RequestOutcome::NotRun;
        result.allNotRun = result.allNotRun && notRun;
        // A non-idempotent request is resent with its idempotency key, so the system detects the
        // repeat.
        mayResend = notRun || result.outcome == RequestOutcome::NoAnswer;
        if (mayResend)
            std::this_thread::sleep_for(resendInterval);
    }
    result.latency = m_clock.now() - intended;
    if (result.outcome == RequestOutcome::InTime && result.latency > kind.deadline)
        result.outcome = RequestOutcome::Late;
    return result;
}

Caller::LookupResult Caller::lookUp(HttpClient &client, const std::string &workKind)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_lookups.find(workKind);
        if (found != m_lookups.end() && found->second.expiry > m_clock.now())
            return found->second;
    }
    LookupResult lookup = queryDaemons(client, workKind);
    const std::lock_guard lock(m_mutex);
    if (!lookup.entries.empty())
        m_lookups[workKind] = lookup;
    return lookup;
}

Caller::LookupResult Caller::queryDaemons(HttpClient &client, const std::string &workKind)
{
    const std::string path = "/v1/entries?kind=" + workKind + "&caller=" + m_address;
    for (std::size_t index = 0; index < m_target.daemons.size(); ++index) {
        const TargetDaemon &daemon = m_target.daemons[(m_number + index) % m_target.daemons.size()];
        const HttpAnswer reply
                = client.send(daemon.callerAddress, "GET", path, {}, "", lookupTimeout);
        if (reply.status != 200)
            continue;
        LookupResult lookup;
        Poco::JSON::Parser parser;
        const auto object = parser.parse(reply.body).extract<Poco::JSON::Object::Ptr>();
        lookup.expiry = m_clock.now() + std::chrono::milliseconds(object->getValue<int>("ttlMs"));
        lookup.claimScope = object->optValue<std::string>("claimScope", "");
        const Poco::JSON::Array::Ptr list = object->getArray("entries");
        for (std::size_t entry = 0; entry < list->size(); ++entry)
            lookup.entries.push_back(list->getObject(static_cast<unsigned>(entry))
                                             ->getValue<std::string>("address"));
        if (!lookup.entries.empty())
            return lookup;
    }
    return {};
}

void Caller::recordAnswer(const HttpAnswer &answer, const LoadKind &kind, const std::string &path,
                          RequestResult &result) const
{
    result.reason = answer.reason;
    const std::string identity = kind.method + " " + path + " " + result.key;
    const std::string expectedBody = standin::contentFor(identity, 0, kind.responseBytes);
    result.outcome = classifyAnswer(answer, expectedBody);
    if (result.outcome == RequestOutcome::WrongAnswer)
        result.mismatch = identity + ": " + describeMismatch(answer, expectedBody);
}

} // namespace sardinehollow::load
