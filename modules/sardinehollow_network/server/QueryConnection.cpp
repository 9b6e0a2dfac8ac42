#include "sardinehollow_network/server/QueryConnection.h"

#include "sardinehollow_network/http/MessageWriter.h"

#include <Poco/String.h>

namespace sardinehollow::network {

namespace {

constexpr std::size_t maxHeadBytes = 16 * 1024;
// Unsent bytes of answers above which no more queries are read.
constexpr std::size_t maxUnsentBytes = 64 * 1024;
constexpr core::Duration idleTimeout = std::chrono::seconds(30);

} // namespace

QueryConnection::QueryConnection(EventLoop &eventLoop, const Poco::Net::StreamSocket &socket,
                                 QueryListener &listener)
    : BufferedConnection(eventLoop, socket)
    , m_listener(listener)
{
    armTimer();
}

QueryConnection::~QueryConnection()
{
    loop().cancel(m_timer);
}

void QueryConnection::armTimer()
{
    loop().cancel(m_timer);
    m_timer = loop().schedule(idleTimeout, [this] {
        close();
        end();
    });
}

void QueryConnection::onInput()
{
    armTimer();
    answerQueries();
}

void QueryConnection::onDrained()
{
    if (!m_isPaused)
        return;
    m_isPaused = false;
    setReading(true);
    armTimer();
    answerQueries();
}

void QueryConnection::answerQueries()
{
    while (isOpen() && !input().empty()) {
        if (unsentBytes() > maxUnsentBytes) {
            m_isPaused = true;
            setReading(false);
            return;
        }
        Poco::Net::HTTPRequest request;
        const HeadStatus status = m_headReader.read(input(), maxHeadBytes, request);
        if (status == HeadStatus::Incomplete)
            return;
        if (status != HeadStatus::Complete) {
            close();
            end();
            return;
        }
        answer(request);
    }
}

void QueryConnection::answer(const Poco::Net::HTTPRequest &request)
{
    const QueryListener::Answer answer = m_listener.m_handler(request);
    Poco::Net::HTTPResponse response(
            static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    if (!answer.contentType.empty())
        response.set("Content-Type", answer.contentType);
    response.set("Content-Length", std::to_string(answer.body.size()));
    const bool isLast = Poco::icompare(request.get("Connection", ""), "close") == 0
            || request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1;
    if (isLast)
        response.set("Connection", "close");
    send(toText(response) + answer.body);
    if (isLast)
        closeGracefully();
}

void QueryConnection::onClosed(const std::string & /*reason*/)
{
    end();
}

void QueryConnection::end()
{
    if (m_isEnded)
        return;
    m_isEnded = true;
    m_listener.remove(*this);
}

} // namespace sardinehollow::network
