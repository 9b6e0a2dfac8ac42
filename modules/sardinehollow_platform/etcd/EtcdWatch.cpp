#include "sardinehollow_platform/etcd/EtcdWatch.h"

#include "sardinehollow_core/http/HttpBodyReader.h"
#include "sardinehollow_platform/etcd/EtcdJson.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>

namespace sardinehollow::platform {

namespace {

constexpr std::chrono::seconds connectTimeout {2};
constexpr std::size_t maxMessageBytes = 64 * 1024 * 1024;
constexpr std::size_t readBufferBytes = 16 * 1024;

// Ends the watch for a reason other than a failed connection; its error kind goes to onEnded().
class WatchFailure : public Poco::Exception
{
public:
    WatchFailure(core::ErrorKind kind, const std::string &message)
        : Poco::Exception(message)
        , errorKind(kind)
    { }

    const core::ErrorKind errorKind;
};

} // namespace

EtcdWatch::EtcdWatch(std::string address, std::string requestBody,
                     std::chrono::milliseconds idleTimeout, WatchListener &listener)
    : m_address(std::move(address))
    , m_requestBody(std::move(requestBody))
    , m_idleTimeout(idleTimeout)
    , m_listener(listener)
    , m_thread([this] { run(); })
{ }

EtcdWatch::~EtcdWatch()
{
    m_isStopping = true;
    {
        const std::lock_guard lock(m_mutex);
        try {
            if (m_connection)
                m_connection->socket().shutdown();
        } catch (const Poco::Exception &) {
            // The server has closed the connection already; the thread then ends by itself.
        }
    }
    m_thread.join();
}

void EtcdWatch::run()
{
    const core::Error reason = readStream();
    if (!m_isStopping)
        m_listener.onEnded(reason);
}

core::Error EtcdWatch::readStream()
{
    core::Error reason {core::ErrorKind::Unreachable, "the watch at " + m_address + " ended",
                        "read the key again and start a new watch"};
    try {
        connect();
        Poco::Net::HTTPResponse response;
        m_connection->receiveHead(response);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
            throw WatchFailure(core::ErrorKind::Unavailable,
                               "status " + std::to_string(response.getStatus()));
        core::HttpBodyReader body(*m_connection, core::framingOf(response, "POST"));
        std::string line;
        std::array<char, readBufferBytes> buffer {};
        while (!m_isStopping && !body.isAtEnd()) {
            line.append(buffer.data(), body.read(buffer.data(), buffer.size()));
            if (line.size() > maxMessageBytes)
                throw Poco::Net::MessageException("a message exceeds the size limit");
            for (std::size_t end = line.find('\n'); end != std::string::npos;
                 end = line.find('\n')) {
                handleLine(line.substr(0, end));
                line.erase(0, end + 1);
            }
        }
    } catch (const WatchFailure &failure) {
        reason.kind = failure.errorKind;
        reason.message += ": " + failure.message();
    } catch (const Poco::Exception &exception) {
        reason.message += ": " + exception.displayText();
    }
    return reason;
}

void EtcdWatch::connect()
{
    using Poco::Net::HTTPRequest;
    auto connection = std::make_unique<core::HttpConnection>(Poco::Net::SocketAddress(m_address),
                                                             connectTimeout);
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping)
            throw WatchFailure(core::ErrorKind::Unavailable, "the watch was stopped");
        m_connection = std::move(connection);
    }
    // The request sets progress_notify, so the store reports its revision periodically even if
    // nothing changes. The interval of these reports must be shorter than the idle time-out.
    m_connection->setTimeouts(m_idleTimeout);
    HTTPRequest request(HTTPRequest::HTTP_POST, "/v3/watch", HTTPRequest::HTTP_1_1);
    request.setHost(m_address);
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(m_requestBody.size()));
    m_connection->sendHead(request);
    m_connection->send(m_requestBody);
}

void EtcdWatch::handleLine(const std::string &line)
{
    if (line.empty() || m_isStopping)
        return;
    Poco::JSON::Parser parser;
    const auto message = parser.parse(line).extract<Poco::JSON::Object::Ptr>();
    const Poco::JSON::Object::Ptr result = message->getObject("result");
    if (result.isNull())
        throw WatchFailure(core::ErrorKind::Unavailable,
                           "unexpected message from the store: " + line);
    if (result->optValue("canceled", false)) {
        const std::int64_t compacted = integerField(*result, "compact_revision");
        if (compacted > 0)
            throw WatchFailure(core::ErrorKind::NotFound,
                               "changes before revision " + std::to_string(compacted)
                                       + " have been compacted");
        throw WatchFailure(core::ErrorKind::Unavailable, "cancelled by the store");
    }
    const std::int64_t revision = headerRevision(*result);
    // A store that was restored from a backup has a lower revision; without this check the watch
    // would silently miss all changes up to the revision it had already reached.
    if (revision < m_revision)
        throw WatchFailure(
                core::ErrorKind::Conflict,
                "the revision of the store went back; it may have been restored from a backup");
    m_revision = revision;
    const std::vector<KeyValue> changed = eventKeyValues(*result);
    if (!changed.empty())
        m_listener.onChanged(changed, revision);
}

} // namespace sardinehollow::platform
