#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_core/http/HttpConnection.h"
#include "sardinehollow_core/time/Instant.h"

#include <Poco/JSON/Object.h>

#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace sardinehollow::platform {

/** An answer of any status and its JSON object, which is null if the body is none. */
struct JsonAnswer
{
    int status = 0;
    Poco::JSON::Object::Ptr body;
    std::string text;
};

/**
 * Calls that carry JSON objects to one address over connections that are kept open. Safe for
 * concurrent use. Errors as for KeyValueStore: Unreachable only if no connection was made.
 */
class JsonClient
{
public:
    /** The time-out limits a whole call. */
    JsonClient(std::string address, std::chrono::milliseconds timeout);

    core::Result<Poco::JSON::Object::Ptr> post(const std::string &path,
                                               const Poco::JSON::Object &body);
    core::Result<Poco::JSON::Object::Ptr> get(const std::string &path);
    /**
     * Makes a call whose answer may have any status; a body that is null is not sent. The call may
     * take longer than the time-out by the given wait.
     */
    core::Result<JsonAnswer> send(const std::string &method, const std::string &path,
                                  const Poco::JSON::Object::Ptr &body,
                                  core::Duration wait = core::Duration {0});
    /** Ends calls that wait for an answer; they and all later ones fail. */
    void interrupt();

private:
    using ConnectionPtr = std::unique_ptr<core::HttpConnection>;

    struct Idle
    {
        ConnectionPtr connection;
        core::Instant since {0};
    };

    core::Result<Poco::JSON::Object::Ptr> requireSuccess(const std::string &path,
                                                         core::Result<JsonAnswer> answer) const;
    JsonAnswer exchange(ConnectionPtr &connection, Poco::Net::HTTPRequest &request,
                        const std::string &body, core::Instant deadline);
    /** Notes a connection in use, so that interrupt() reaches it; false once interrupted. */
    bool enter(core::HttpConnection &connection);
    void leave(core::HttpConnection &connection);
    /** Returns an idle connection that is fit for use, or nothing. */
    ConnectionPtr takeIdle();
    void giveBack(ConnectionPtr connection);
    void dropIdle();
    core::Error error(core::ErrorKind kind, const std::string &path,
                      const std::string &detail) const;

    const std::string m_address;
    const core::Duration m_timeout;
    std::mutex m_mutex;
    std::deque<Idle> m_idle;
    std::set<core::HttpConnection *> m_active;
    bool m_isInterrupted = false;
};

} // namespace sardinehollow::platform
