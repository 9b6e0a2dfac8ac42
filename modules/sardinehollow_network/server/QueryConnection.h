#pragma once

#include "sardinehollow_network/connection/BufferedConnection.h"
#include "sardinehollow_network/http/HeadReader.h"
#include "sardinehollow_network/server/QueryListener.h"

namespace sardinehollow::network {

/** A connection accepted by a QueryListener. */
class QueryConnection : public BufferedConnection
{
public:
    QueryConnection(EventLoop &loop, const Poco::Net::StreamSocket &socket,
                    QueryListener &listener);
    ~QueryConnection() override;

protected:
    void onInput() override;
    void onDrained() override;
    void onClosed(const std::string &reason) override;

private:
    /** Answers the queries that have arrived, unless the peer does not read the answers. */
    void answerQueries();
    void answer(const Poco::Net::HTTPRequest &request);
    void armTimer();
    void end();

    QueryListener &m_listener;
    HeadReader m_headReader;
    EventLoop::Timer m_timer;
    /** Whether reading waits until the peer has read the answers. */
    bool m_isPaused = false;
    bool m_isEnded = false;
};

} // namespace sardinehollow::network
