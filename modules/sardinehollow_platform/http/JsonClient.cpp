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

constexpr std::size_t maxIdleConnections = 8;
constexpr core::Duration maxIdleTime = std::chrono::seconds(10);
constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;
constexpr std::size_t readBufferBytes = 64 * 1024;
constexpr const char *callRemedy = "check that the platform runs and that its address is right";

core::Duration remainingTime(core::Instant deadline)
{
    const core::Duration remaining = deadline - core::SystemClock().now();
    if (remaining.count() <= 0)
        throw Poco::TimeoutException("the call exceeded its time-out");
    return remaining;
}

std::string readBody(core::HttpConnection &connection, core::HttpBodyReader &body,
                     core::Instant deadline)
{
    std::string text;
    std::array<char, readBufferBytes> buffer {};
    while (!body.isAtEnd()) {
        connection.setTimeouts(remainingTime(deadline));
        text.append(buffer.data(), body.read(buffer.data(), buffer.size()));
        if (text.size() > maxResponseBytes)
            throw Poco::Net::MessageException("the response body exceeds the size limit");
    }
    if (!body.isComplete())
        throw Poco::Net::MessageException("the response body was truncated");
    return text;
}

// A gateway or a store that timed out may still have applied the call.
core::ErrorKind errorKindOf(int status, const std::string &text)
{
    const bool isResultUnknown = status == HTTPResponse::HTTP_INTERNAL_SERVER_ERROR
            || status == HTTPResponse::HTTP_BAD_GATEWAY
            || status == HTTPResponse::HTTP_GATEWAY_TIMEOUT
            || text.find("timed out") != std::string::npos
            || text.find("leader changed") != std::string::npos;
    return isResultUnknown ? core::ErrorKind::ResultUnknown : core::ErrorKind::Unavailable;
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
                                                     core::Result<JsonResponse> response) const
{
    if (!response)
        return tl::unexpected<core::Error>(response.error());
    if (response->status != HTTPResponse::HTTP_OK) {
        return tl::unexpected<core::Error>(
                error(errorKindOf(response->status, response->text), path,
                      "status " + std::to_string(response->status) + ": " + response->text));
    }
    if (response->body.isNull()) {
        return tl::unexpected<core::Error>(error(core::ErrorKind::ResultUnknown, path,
                                                 "the response body is not a JSON object"));
    }
    return response->body;
}

core::Result<JsonResponse> JsonClient::send(const std::string &method, const std::string &path,
                                            const Object::Ptr &body, core::Duration longPollTime,
                                            core::Duration transferAllowance)
{
    const core::Instant deadline = core::SystemClock().now() + m_timeout + longPollTime;
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    request.setHost(m_address);
    std::ostringstream text;
    if (!body.isNull()) {
        body->stringify(text);
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(text.str().size()));
    } else if (method != HTTPRequest::HTTP_GET) {
        // Without Content-Length some servers wait for a body.
        request.setContentLength(0);
    }
    ConnectionPtr connection = takeIdle();
    if (!connection) {
        try {
            connection = std::make_unique<core::HttpConnection>(Poco::Net::SocketAddress(m_address),
                                                                m_timeout);
            // A long poll may otherwise wait for its response on a connection whose peer is dead.
            core::detectDeadPeer(connection->socket());
        } catch (const Poco::Exception &exception) {
            return tl::unexpected<core::Error>(
                    error(core::ErrorKind::Unreachable, path, exception.displayText()));
        }
    }
    core::HttpConnection &active = *connection;
    if (!registerActive(active)) {
        return tl::unexpected<core::Error>(
                error(core::ErrorKind::Unreachable, path, "the client was interrupted"));
    }
    std::string failure;
    try {
        JsonResponse response
                = exchange(connection, request, text.str(), deadline, transferAllowance);
        unregisterActive(active);
        if (connection)
            addIdle(std::move(connection));
        return response;
    } catch (const Poco::TimeoutException &exception) {
        // If one connection does not respond, the idle ones are likely to be dead as well.
        closeIdle();
        failure = exception.displayText();
    } catch (const Poco::Exception &exception) {
        failure = exception.displayText();
    }
    unregisterActive(active);
    return tl::unexpected<core::Error>(error(core::ErrorKind::ResultUnknown, path, failure));
}

JsonResponse JsonClient::exchange(ConnectionPtr &connection, HTTPRequest &request,
                                  const std::string &body, core::Instant deadline,
                                  core::Duration transferAllowance)
{
    connection->setTimeouts(remainingTime(deadline));
    std::ostringstream message;
    request.write(message);
    message << body;
    connection->send(message.str());
    HTTPResponse head;
    connection->receiveHead(head);
    core::HttpBodyReader reader(*connection, core::framingOf(head, request.getMethod()));
    JsonResponse response;
    response.status = head.getStatus();
    response.headers = head;
    const core::SystemClock clock;
    const core::Instant transferStart = clock.now();
    response.text = readBody(*connection, reader, deadline + transferAllowance);
    response.transferTime = clock.now() - transferStart;
    if (!head.getKeepAlive()) {
        unregisterActive(*connection);
        connection.reset();
    }
    try {
        response.body = Poco::JSON::Parser().parse(response.text).extract<Object::Ptr>();
    } catch (const Poco::Exception &) {
        // An error response may have a plain-text body; callers that need an object check for null.
        response.body = nullptr;
    }
    return response;
}

bool JsonClient::registerActive(core::HttpConnection &connection)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isInterrupted)
        m_active.insert(&connection);
    return !m_isInterrupted;
}

void JsonClient::unregisterActive(core::HttpConnection &connection)
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
            // The server has already closed the connection, which ends the call as well.
        }
    }
}

JsonClient::ConnectionPtr JsonClient::takeIdle()
{
    const std::lock_guard lock(m_mutex);
    const core::Instant now = core::SystemClock().now();
    while (!m_idle.empty()) {
        IdleConnection idle = std::move(m_idle.back());
        m_idle.pop_back();
        // An idle connection is readable if the server has closed it or sent unexpected bytes.
        if (now - idle.since < maxIdleTime && !idle.connection->isReadable()) {
            return std::move(idle.connection);
        }
    }
    return nullptr;
}

void JsonClient::addIdle(ConnectionPtr connection)
{
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < maxIdleConnections)
        m_idle.push_back({std::move(connection), core::SystemClock().now()});
}

void JsonClient::closeIdle()
{
    const std::lock_guard lock(m_mutex);
    m_idle.clear();
}

core::Error JsonClient::error(core::ErrorKind kind, const std::string &path,
                              const std::string &detail) const
{
    return {kind, "call " + path + " of " + m_address + " failed: " + detail, callRemedy};
}

} // namespace sardinehollow::platform
