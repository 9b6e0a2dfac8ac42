#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_core/http/HttpConnection.h"
#include "sardinehollow_core/time/Instant.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/NameValueCollection.h>

#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace sardinehollow::platform {

/** A response of any status; `body` is null if the text is not a JSON object. */
struct JsonResponse
{
    int status = 0;
    Poco::JSON::Object::Ptr body;
    std::string text;
    Poco::Net::NameValueCollection headers;
    /** Time from the arrival of the head to that of the last byte. */
    core::Duration transferTime {0};
};

/**
 * HTTP client for JSON objects with a pool of persistent connections to one address. Safe for
 * concurrent use. Errors as for KeyValueStore: Unreachable only if the request was not sent.
 */
class JsonClient
{
public:
    /** The address is "host:port". The time-out limits a whole call. */
    JsonClient(std::string address, std::chrono::milliseconds timeout);

    core::Result<Poco::JSON::Object::Ptr> post(const std::string &path,
                                               const Poco::JSON::Object &body);
    core::Result<Poco::JSON::Object::Ptr> get(const std::string &path);
    /**
     * Makes a call and returns the response whatever its status; a null body is not sent. The
     * long-poll time, for which the server may delay its response, is added to the time-out. Once
     * the response has begun, the rest may take the transfer allowance longer.
     */
    core::Result<JsonResponse> send(const std::string &method, const std::string &path,
                                    const Poco::JSON::Object::Ptr &body,
                                    core::Duration longPollTime = core::Duration {0},
                                    core::Duration transferAllowance = core::Duration {0});
    /** Shuts down the connections of running calls; these calls and all later ones fail. */
    void interrupt();

private:
    using ConnectionPtr = std::unique_ptr<core::HttpConnection>;

    struct IdleConnection
    {
        ConnectionPtr connection;
        core::Instant since {0};
    };

    core::Result<Poco::JSON::Object::Ptr> requireSuccess(const std::string &path,
                                                         core::Result<JsonResponse> response) const;
    JsonResponse exchange(ConnectionPtr &connection, Poco::Net::HTTPRequest &request,
                          const std::string &body, core::Instant deadline,
                          core::Duration transferAllowance);
    /**
     * Registers a connection in use, so that interrupt() can shut it down. Returns false once
     * interrupted.
     */
    bool registerActive(core::HttpConnection &connection);
    void unregisterActive(core::HttpConnection &connection);
    /** Returns an idle connection that is still usable, or null. */
    ConnectionPtr takeIdle();
    void addIdle(ConnectionPtr connection);
    void closeIdle();
    core::Error error(core::ErrorKind kind, const std::string &path,
                      const std::string &detail) const;

    const std::string m_address;
    const core::Duration m_timeout;
    std::mutex m_mutex;
    std::deque<IdleConnection> m_idle;
    std::set<core::HttpConnection *> m_active;
    bool m_isInterrupted = false;
};

} // namespace sardinehollow::platform
