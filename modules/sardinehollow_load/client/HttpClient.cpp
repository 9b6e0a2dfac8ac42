#include "sardinehollow_load/client/HttpClient.h"

#include "sardinehollow_core/http/HttpBodyReader.h"
#include "sardinehollow_core/http/HttpConnection.h"

#include <Poco/Exception.h>

#include <array>

namespace sardinehollow::load {

namespace {

constexpr std::size_t readBytes = 16 * 1024;

std::string readBody(core::HttpConnection &connection, const Poco::Net::HTTPResponse &response,
                     const std::string &method)
{
    core::HttpBodyReader reader(connection, core::framingOf(response, method));
    std::string body;
    std::array<char, readBytes> buffer {};
    while (!reader.isAtEnd())
        body.append(buffer.data(), reader.read(buffer.data(), buffer.size()));
    if (!reader.isComplete())
        throw Poco::DataException("the response body is truncated");
    return body;
}

} // namespace

HttpAnswer HttpClient::send(const std::string &address, const std::string &method,
                            const std::string &path, const Headers &headers,
                            const std::string &body, std::chrono::milliseconds timeout) const
{
    HttpAnswer answer;
    try {
        core::HttpConnection connection(Poco::Net::SocketAddress {address}, timeout);
        connection.setTimeouts(timeout);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setHost(address);
        request.setKeepAlive(false);
        for (const auto &[name, value] : headers)
            request.set(name, value);
        if (!body.empty())
            request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        answer.sent = true;
        connection.sendHead(request);
        connection.send(body);
        Poco::Net::HTTPResponse response;
        connection.receiveHead(response);
        answer.body = readBody(connection, response, method);
        answer.outcome = response.get("Sardinehollow-Outcome", "");
        answer.reason = response.get("Sardinehollow-Reason", "");
        answer.status = response.getStatus();
    } catch (const Poco::Exception &) {
        answer.status = 0;
    }
    return answer;
}

} // namespace sardinehollow::load
