#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sardinehollow::tests {

/** A backend server that sends fixed bytes on each connection and then closes it. */
class ScriptedServer
{
public:
    explicit ScriptedServer(std::string reply)
        : m_reply(std::move(reply))
        , m_socket(Poco::Net::SocketAddress("127.0.0.1:0"))
        , m_thread([this] { run(); })
    { }

    ~ScriptedServer()
    {
        m_stopping = true;
        m_thread.join();
    }

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    std::string address() const { return m_socket.address().toString(); }

    /** Heads of the requests received so far. */
    std::vector<std::string> heads() const
    {
        const std::lock_guard lock(m_mutex);
        return m_heads;
    }

private:
    void run()
    {
        const Poco::Timespan poll(0, 10'000);
        while (!m_stopping) {
            if (!m_socket.poll(poll, Poco::Net::Socket::SELECT_READ))
                continue;
            Poco::Net::StreamSocket connection = m_socket.acceptConnection();
            try {
                serve(connection);
            } catch (const Poco::Exception &) {
                // The daemon resets the connection to abandon a request.
            }
        }
    }

    void serve(Poco::Net::StreamSocket &connection)
    {
        std::string head;
        char byte = 0;
        while (head.find("\r\n\r\n") == std::string::npos) {
            if (connection.receiveBytes(&byte, 1) <= 0)
                return;
            head += byte;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_heads.push_back(head);
        }
        connection.sendBytes(m_reply.data(), static_cast<int>(m_reply.size()));
        connection.shutdownSend();
    }

    const std::string m_reply;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_heads;
    std::atomic<bool> m_stopping {false};
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

} // namespace sardinehollow::tests
