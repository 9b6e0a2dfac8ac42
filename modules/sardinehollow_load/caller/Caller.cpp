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
constexpr std::chrono::milliseconds resendPause {20};
constexpr std::uint32_t regionBlocks = 3;

// Callers are spread over the client blocks 10.1.0.0/16 to 10.3.0.0/16 of the examples.
std::string callerAddress(std::uint32_t number)
{
    return "10." + std::to_string(number % regionBlocks + 1) + "."
            + std::to_string(number / 250 % 250) + "." + std::to_string(number % 250 + 1);
}

std::string pathOf(const LoadKind &kind, std::uint64_t number)
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
    const std::string path = pathOf(kind, number);
    std::size_t turn = 0;
    bool mayResend = true;
    while (mayResend && m_clock.now() < deadline) {
        const Answer known = entries(client, kind.workKind);
        if (known.entries.empty()) {
            std::this_thread::sleep_for(resendPause);
            continue;
        }
        if (!idempotent && result.key.empty()) {
            const std::string own = "load-" + std::to_string(number);
            result.key = known.claimScope.empty() ? own : known.claimScope + "." + own;
        }
        const auto remaining
                = std::chrono::ceil<std::chrono::milliseconds>(deadline - m_clock.now());
        HttpClient::Headers headers {
                {"Sardinehollow-Deadline-Ms", std::to_string(remaining.count())}};
        if (!idempotent)
            headers.emplace_back("Idempotency-Key", result.key);
        const std::string body = idempotent ? "" : "posting " + std::to_string(number);
        const HttpAnswer answer = client.send(known.entries[turn++ % known.entries.size()],
                                              kind.method, path, headers, body, remaining);
        ++result.tries;
        judge(answer, kind, path, result);
        const bool notRun = result.outcome == RequestOutcome::NotRun;
        result.allNotRun = result.allNotRun && notRun;
        // A posting is sent again with its key, which the system recognises.
        mayResend = notRun || result.outcome == RequestOutcome::NoAnswer;
        if (mayResend)
            std::this_thread::sleep_for(resendPause);
    }
    result.latency = m_clock.now() - intended;
    if (result.outcome == RequestOutcome::InTime && result.latency > kind.deadline)
        result.outcome = RequestOutcome::Late;
    return result;
}

Caller::Answer Caller::entries(HttpClient &client, const std::string &workKind)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_answers.find(workKind);
        if (found != m_answers.end() && found->second.expiry > m_clock.now())
            return found->second;
    }
    Answer answer = lookUp(client, workKind);
    const std::lock_guard lock(m_mutex);
    if (!answer.entries.empty())
        m_answers[workKind] = answer;
    return answer;
}

Caller::Answer Caller::lookUp(HttpClient &client, const std::string &workKind)
{
    const std::string path = "/v1/entries?kind=" + workKind + "&caller=" + m_address;
    for (std::size_t index = 0; index < m_target.daemons.size(); ++index) {
        const TargetDaemon &daemon = m_target.daemons[(m_number + index) % m_target.daemons.size()];
        const HttpAnswer reply
                = client.send(daemon.callerAddress, "GET", path, {}, "", lookupTimeout);
        if (reply.status != 200)
            continue;
        Answer answer;
        Poco::JSON::Parser parser;
        const auto object = parser.parse(reply.body).extract<Poco::JSON::Object::Ptr>();
        answer.expiry = m_clock.now() + std::chrono::milliseconds(object->getValue<int>("ttlMs"));
        answer.claimScope = object->optValue<std::string>("claimScope", "");
        const Poco::JSON::Array::Ptr list = object->getArray("entries");
        for (std::size_t entry = 0; entry < list->size(); ++entry)
            answer.entries.push_back(list->getObject(static_cast<unsigned>(entry))
                                             ->getValue<std::string>("address"));
        if (!answer.entries.empty())
            return answer;
    }
    return {};
}

void Caller::judge(const HttpAnswer &answer, const LoadKind &kind, const std::string &path,
                   RequestResult &result) const
{
    result.reason = answer.reason;
    const std::string identity = kind.method + " " + path + " " + result.key;
    const std::string due = standin::contentFor(identity, 0, kind.responseBytes);
    result.outcome = outcomeOf(answer, due);
    if (result.outcome == RequestOutcome::WrongAnswer)
        result.difference = identity + ": " + difference(answer, due);
}

} // namespace sardinehollow::load
