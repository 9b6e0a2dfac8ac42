#pragma once

#include "sardinehollow_network/client/ClientConnection.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace sardinehollow::network {

/**
 * A pool of keep-alive connections, grouped by a key that identifies their server. Connection is
 * ClientConnection or a subclass of it. Except for the atomic counters, members may be called only
 * on the loop's thread.
 */
template <typename Key, typename Connection>
class ClientPool
{
public:
    /** Opens a connection; throws Poco::Exception if that fails immediately. */
    using Factory = std::function<std::unique_ptr<Connection>(ClientConnection::ReleaseHandler)>;

    explicit ClientPool(EventLoop &loop)
        : m_loop(loop)
    { }

    /**
     * Returns a pooled connection that has been idle for less than the limit, or a new one. Throws
     * Poco::Exception if a new one cannot be opened or the connection limit of the key is reached.
     */
    Connection &acquire(const Key &key, core::Duration idleLimit, const Factory &open)
    {
        Server &server = m_servers[key];
        // The most recently used one is the least likely to have been closed by the server.
        while (!server.idle.empty()) {
            Connection &latest = *server.idle.back();
            const core::Duration age = m_loop.now() - latest.idleSince();
            if (age >= std::min(idleLimit, latest.idleLimit()))
                break;
            // The server may have closed it without the event loop having reported that yet.
            if (!latest.isOpenAndIdle()) {
                latest.cancel();
                continue;
            }
            server.idle.pop_back();
            ++m_reused;
            return latest;
        }
        ensureCapacity(key);
        std::unique_ptr<Connection> connection
                = open([this](ClientConnection &released, bool kept) {
                      onRelease(static_cast<Connection &>(released), kept);
                  });
        Connection &reference = *connection;
        ++server.open;
        m_connections.emplace(&reference,
                              PooledConnection {std::move(connection), key, server.epoch});
        ++m_opened;
        return reference;
    }

    /** Sets the maximum number of open connections of a key; 0 means no limit. */
    void setLimit(const Key &key, std::uint32_t limit) { m_servers[key].limit = limit; }

    /** Closes idle connections that exceed their idle limit or for which the predicate is true. */
    void prune(const std::function<bool(const Connection &)> &shouldClose)
    {
        std::vector<Connection *> stale;
        for (const auto &[key, server] : m_servers) {
            for (Connection *connection : server.idle) {
                const core::Duration age = m_loop.now() - connection->idleSince();
                if (age >= connection->idleLimit() || shouldClose(*connection))
                    stale.push_back(connection);
            }
        }
        for (Connection *connection : stale)
            connection->cancel();
        for (auto entry = m_servers.begin(); entry != m_servers.end();) {
            const bool isUnused = entry->second.open == 0 && entry->second.limit == 0;
            entry = isUnused ? m_servers.erase(entry) : std::next(entry);
        }
    }

    /** Closes the idle connections of a key, for example after one of them proved to be dead. */
    void dropIdle(const Key &key)
    {
        const auto found = m_servers.find(key);
        if (found == m_servers.end())
            return;
        const std::vector<Connection *> idle = found->second.idle;
        for (Connection *connection : idle)
            connection->cancel();
    }

    /** Closes the idle connections of a key now, and those in use once their request ends. */
    void drop(const Key &key)
    {
        ++m_servers[key].epoch;
        ++m_dropped;
        dropIdle(key);
    }

    std::uint64_t opened() const { return m_opened; }
    std::uint64_t reused() const { return m_reused; }
    std::uint64_t dropped() const { return m_dropped; }
    std::size_t size() const { return m_connections.size(); }

private:
    struct Server
    {
        std::vector<Connection *> idle;
        std::uint32_t open = 0;
        std::uint32_t limit = 0;
        std::uint64_t epoch = 0;
    };

    struct PooledConnection
    {
        std::unique_ptr<Connection> connection;
        Key key;
        /** Connections whose epoch is older than their server's are closed instead of reused. */
        std::uint64_t epoch = 0;
    };

    void ensureCapacity(const Key &key)
    {
        const Server &server = m_servers[key];
        if (server.limit == 0 || server.open < server.limit)
            return;
        if (server.idle.empty())
            throw Poco::Net::NetException("the connection limit for this server is reached");
        server.idle.front()->cancel();
    }

    void onRelease(Connection &connection, bool isReusable)
    {
        PooledConnection &pooled = m_connections.at(&connection);
        Server &server = m_servers[pooled.key];
        if (isReusable && pooled.epoch == server.epoch) {
            server.idle.push_back(&connection);
            return;
        }
        if (isReusable) {
            connection.cancel();
            return;
        }
        server.idle.erase(std::remove(server.idle.begin(), server.idle.end(), &connection),
                          server.idle.end());
        --server.open;
        // Deferred, because the connection is still on the call stack.
        m_loop.defer([this, &connection] { m_connections.erase(&connection); });
    }

    EventLoop &m_loop;
    std::unordered_map<Connection *, PooledConnection> m_connections;
    std::map<Key, Server> m_servers;
    std::atomic<std::uint64_t> m_opened {0};
    std::atomic<std::uint64_t> m_reused {0};
    std::atomic<std::uint64_t> m_dropped {0};
};

} // namespace sardinehollow::network
