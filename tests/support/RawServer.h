#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sardinehollow::tests {

/** A backend server that answers each request with the bytes that a function gives. */
class RawServer
{
public:
    struct Reply
    {
        std::string bytes;
        bool closes = false;
        /** Sends nothing and waits until the caller's side closes the connection. */
        bool waits = false;
    };
    using Script = std::function<Reply(const std::string &head)>;

    explicit RawServer(Script script)
        : m_script(std::move(script))
        , m_socket(Poco::Net::SocketAddress("127.0.0.1:0"))
        , m_address(m_socket.address().toString())
        , m_thread([this] { accept(); })
    { }

    ~RawServer()
    {
        m_stopping = true;
        m_thread.join();
        for (std::thread &connection : m_connections)
            connection.join();
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    const std::string &address() const { return m_address; }
    int connectionCount() const { return m_accepted; }
    int abandonedCount() const { return m_abandoned; }

    /** Heads of the requests that have arrived. */
    std::vector<std::string> heads() const
    {
        const std::lock_guard lock(m_mutex);
        return m_heads;
    }

private:
    static constexpr int pollMicroseconds = 10'000;

    void accept()
    {
        while (!m_stopping) {
            if (!m_socket.poll(Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ))
                continue;
            ++m_accepted;
            m_connections.emplace_back(
                    [this, socket = m_socket.acceptConnection()]() mutable { serve(socket); });
        }
    }

    void serve(Poco::Net::StreamSocket &socket)
    {
        try {
            std::string input;
            while (receive(socket, input)) {
                const std::size_t end = input.find("\r\n\r\n");
                if (end == std::string::npos)
                    continue;
                const std::string head = input.substr(0, end + 2);
                input.erase(0, end + 4);
                {
                    const std::lock_guard lock(m_mutex);
                    m_heads.push_back(head);
                }
                const Reply reply = m_script(head);
                if (reply.waits) {
                    while (receive(socket, input))
                        continue;
                    return;
                }
                socket.sendBytes(reply.bytes.data(), static_cast<int>(reply.bytes.size()));
                if (reply.closes)
                    return;
            }
        } catch (const Poco::Exception &) {
            // The daemon reset the connection, which is how it abandons a request.
            ++m_abandoned;
        }
    }

    bool receive(Poco::Net::StreamSocket &socket, std::string &input)
    {
        while (!m_stopping) {
            if (!socket.poll(Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ))
                continue;
            char buffer[4096];
            const int count = socket.receiveBytes(buffer, sizeof buffer);
            if (count <= 0)
                return false;
            input.append(buffer, static_cast<std::size_t>(count));
            return true;
        }
        return false;
    }

    const Script m_script;
    Poco::Net::ServerSocket m_socket;
    const std::string m_address;
    std::atomic<bool> m_stopping {false};
    std::atomic<int> m_accepted {0};
    std::atomic<int> m_abandoned {0};
    mutable std::mutex m_mutex;
    std::vector<std::string> m_heads;
    std::list<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace sardinehollow::tests
