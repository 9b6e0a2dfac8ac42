#include "sardinehollow_entry/forwarding/LoadQuery.h"

#include "sardinehollow_network/http/MessageWriter.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>

namespace sardinehollow::entry {

namespace {

using Poco::Net::HTTPRequest;

// Far longer than a response normally takes, which is about a millisecond.
constexpr core::Duration responseTimeout = std::chrono::milliseconds(300);
constexpr core::Duration idleLimit = std::chrono::seconds(5);
constexpr std::size_t maxResponseBytes = 4096;

/** Returns nothing if the text is not a valid load report. */
std::optional<policy::BackendReport> parseReport(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        policy::BackendReport report;
        report.inFlight = object->getValue<std::uint32_t>("inFlight");
        report.slots = object->getValue<std::uint32_t>("slots");
        report.leaving = object->getValue<bool>("leaving");
        return report;
    } catch (const Poco::Exception &) {
        // An invalid report is ignored; the outcomes of requests to the server show its condition.
        return std::nullopt;
    }
}

} // namespace

LoadQuery::LoadQuery(network::EventLoop &loop, ForwardPool &pool, std::string address,
                     EndHandler onEnd)
    : m_loop(loop)
    , m_pool(pool)
    , m_address(std::move(address))
    , m_onEnd(std::move(onEnd))
{ }

LoadQuery::~LoadQuery()
{
    m_loop.cancel(m_timer);
    if (m_connection)
        m_connection->cancel();
}

void LoadQuery::start()
{
    m_timer = m_loop.schedule(responseTimeout, [this] { onTimeout(); });
    try {
        m_connection = &acquireConnection(m_pool, m_loop, m_address, idleLimit, responseTimeout);
    } catch (const Poco::Exception &) {
        // The connection limit is reached, or the server is unreachable.
        end(std::nullopt);
        return;
    }
    HTTPRequest request(HTTPRequest::HTTP_GET, "/load", HTTPRequest::HTTP_1_1);
    request.setHost(m_address);
    m_connection->start(network::toText(request), request.getMethod(), *this);
    if (m_connection)
        m_connection->finishRequest();
}

void LoadQuery::onResponseHead(const Poco::Net::HTTPResponse & /*response*/,
                               bool /*hasKnownLength*/)
{ }

void LoadQuery::onResponseBody(std::string &&bytes)
{
    m_text += bytes;
    if (m_text.size() > maxResponseBytes)
        end(std::nullopt);
}

void LoadQuery::onResponseEnd()
{
    m_connection = nullptr;
    end(parseReport(m_text));
}

void LoadQuery::onAttemptFailed(network::AttemptFailure /*failure*/, const std::string & /*detail*/)
{
    m_connection = nullptr;
    end(std::nullopt);
}

void LoadQuery::onTimeout()
{
    // If one connection is dead, older connections to the same address are probably dead as well.
    m_pool.drop(m_address);
    end(std::nullopt);
}

void LoadQuery::end(const std::optional<policy::BackendReport> &report)
{
    m_loop.cancel(m_timer);
    if (m_connection)
        m_connection->cancel();
    m_connection = nullptr;
    m_onEnd(report);
}

} // namespace sardinehollow::entry
