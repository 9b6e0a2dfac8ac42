#include "sardinehollow_platform/http/JsonClient.h"

#include "sardinehollow_core/http/HttpBodyReader.h"
#include "sardinehollow_core/http/SocketOptions.h"
#include "sardinehollow_core/time/SystemClock.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <sstream>

namespace sardinehollow::platform {

namespace {

using Poco::JSON::Object;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t keptConnections = 8;
constexpr core::Duration idleLimit = std::chrono::seconds(10);
constexpr std::size_t answerLimit = 64 * 1024 * 1024;
constexpr std::size_t readBytes = 64 * 1024;
constexpr const char *reachRemedy = "check that the platform runs and that its address is right";

core::Duration timeLeft(core::Instant deadline)
{
    const core::Duration left = deadline - core::SystemClock().now();
    if (left.count() <= 0)
        throw Poco::TimeoutException("the call took too long");
    return left;
}

std::string readText(core::HttpConnection &connection, core::HttpBodyReader &body,
                     core::Instant deadline)
{
    std::string text;
    std::array<char, readBytes> buffer {};
    while (!body.isAtEnd()) {
        connection.setTimeouts(timeLeft(deadline));
        text.append(buffer.data(), body.read(buffer.data(), buffer.size()));
        if (text.size() > answerLimit)
            throw Poco::Net::MessageException("the answer is too large");
    }
    if (!body.isWhole())
        throw Poco::Net::MessageException("the answer was cut short");
    return text;
}

// A gateway that gave up waiting, or a store that timed out, may still have applied the call.
core::ErrorKind kindOfRefusal(int status, const std::string &text)
{
    const bool unknown = status == HTTPResponse::HTTP_INTERNAL_SERVER_ERROR
            || status == HTTPResponse::HTTP_BAD_GATEWAY
            || status == HTTPResponse::HTTP_GATEWAY_TIMEOUT
            || text.find("timed out") != std::string::npos
            || text.find("leader changed") != std::string::npos;
    return unknown ? core::ErrorKind::ResultUnknown : core::ErrorKind::Unavailable;
}

} // namespace

JsonClient::JsonClient(std::string address, std::chrono::milliseconds timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{ }

core::Result<Object::Ptr> JsonClient::post(const std::string &path, const Object &body)
{
    const Object::Ptr copy = new Object(body);
    return requireSuccess(path, send(HTTPRequest::HTTP_POST, path, copy));
}

core::Result<Object::Ptr> JsonClient::get(const std::string &path)
{
    return requireSuccess(path, send(HTTPRequest::HTTP_GET, path, nullptr));
}

core::Result<Object::Ptr> JsonClient::requireSuccess(const std::string &path,
                                                     core::Result<JsonAnswer> answer) const
{
    if (!answer)
        return tl::unexpected<core::Error>(answer.error());
    if (answer->status != HTTPResponse::HTTP_OK) {
        return tl::unexpected<core::Error>(
                error(kindOfRefusal(answer->status, answer->text), path,
                      "status " + std::to_string(answer->status) + ": " + answer->text));
    }
    if (answer->body.isNull()) {
        return tl::unexpected<core::Error>(
                error(core::ErrorKind::ResultUnknown, path, "the answer is no JSON object"));
    }
    return answer->body;
}

core::Result<JsonAnswer> JsonClient::send(const std::string &method, const std::string &path,
                                          const Object::Ptr &body, core::Duration wait)
{
    const core::Instant deadline = core::SystemClock().now() + m_timeout + wait;
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    request.setHost(m_address);
    std::ostringstream text;
    if (!body.isNull()) {
        body->stringify(text);
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(text.str().size()));
    } else if (method != HTTPRequest::HTTP_GET) {
        // Without a length some servers wait for a body.
        request.setContentLength(0);
    }
    ConnectionPtr connection = takeIdle();
    if (!connection) {
        try {
            connection = std::make_unique<core::HttpConnection>(Poco::Net::SocketAddress(m_address),
                                                                m_timeout);
            // A call may wait long for its answer on a connection that has silently died.
            core::detectDeadPeer(connection->socket());
        } catch (const Poco::Exception &exception) {
            return tl::unexpected<core::Error>(
                    error(core::ErrorKind::Unreachable, path, exception.displayText()));
        }
    }
    core::HttpConnection &active = *connection;
    if (!enter(active)) {
        return tl::unexpected<core::Error>(
                error(core::ErrorKind::Unreachable, path, "the client was stopped"));
    }
    std::string failure;
    try {
        JsonAnswer answer = exchange(connection, request, text.str(), deadline);
        leave(active);
        if (connection)
            giveBack(std::move(connection));
        return answer;
    } catch (const Poco::TimeoutException &exception) {
        // One silent connection suggests that the others of its age are silent too.
        dropIdle();
        failure = exception.displayText();
    } catch (const Poco::Exception &exception) {
        failure = exception.displayText();
    }
    leave(active);
    return tl::unexpected<core::Error>(error(core::ErrorKind::ResultUnknown, path, failure));
}

JsonAnswer JsonClient::exchange(ConnectionPtr &connection, HTTPRequest &request,
                                const std::string &body, core::Instant deadline)
{
    connection->setTimeouts(timeLeft(deadline));
    std::ostringstream message;
    request.write(message);
    message << body;
    connection->send(message.str());
    HTTPResponse response;
    connection->receiveHead(response);
    core::HttpBodyReader reader(*connection, core::framingOf(response, request.getMethod()));
    JsonAnswer answer;
    answer.status = response.getStatus();
    answer.text = readText(*connection, reader, deadline);
    if (!response.getKeepAlive()) {
        leave(*connection);
        connection.reset();
    }
    try {
        answer.body = Poco::JSON::Parser().parse(answer.text).extract<Object::Ptr>();
    } catch (const Poco::Exception &) {
        // A refusal may carry plain text; callers that need an object check for it.
        answer.body = nullptr;
    }
    return answer;
}

bool JsonClient::enter(core::HttpConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isInterrupted)
        m_active.insert(&connection);
    return !m_isInterrupted;
}

void JsonClient::leave(core::HttpConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    m_active.erase(&connection);
}

void JsonClient::interrupt()
{
    const std::lock_guard lock(m_mutex);
    m_isInterrupted = true;
    for (core::HttpConnection *connection : m_active) {
        try {
            connection->socket().shutdown();
        } catch (const Poco::Exception &) {
            // The server has closed the connection already, which ends the call as well.
        }
    }
}

JsonClient::ConnectionPtr JsonClient::takeIdle()
{
    const std::lock_guard lock(m_mutex);
    const core::Instant now = core::SystemClock().now();
    while (!m_idle.empty()) {
        Idle idle = std::move(m_idle.back());
        m_idle.pop_back();
        // A readable idle connection has been closed by the server.
        if (now - idle.since < idleLimit && !idle.connection->isReadable()) {
            return std::move(idle.connection);
        }
    }
    return nullptr;
}

void JsonClient::giveBack(ConnectionPtr connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < keptConnections)
        m_idle.push_back({std::move(connection), core::SystemClock().now()});
}

void JsonClient::dropIdle()
{
    const std::lock_guard lock(m_mutex);
    m_idle.clear();
}

core::Error JsonClient::error(core::ErrorKind kind, const std::string &path,
                              const std::string &detail) const
{
    return {kind, "call " + path + " of " + m_address + " failed: " + detail, reachRemedy};
}

} // namespace sardinehollow::platform
