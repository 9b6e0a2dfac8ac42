#include "sardinehollow_core/http/SessionAccess.h"

#include <Poco/Net/NetException.h>

namespace sardinehollow::core {

int SessionAccess::receiveByte(Poco::Net::HTTPSession &session)
{
    return (session.*(&SessionAccess::get))();
}

int SessionAccess::receive(Poco::Net::HTTPSession &session, char *buffer, std::size_t size)
{
    const auto length = static_cast<std::streamsize>(size);
    return (session.*(&SessionAccess::read))(buffer, length);
}

void SessionAccess::sendAll(Poco::Net::HTTPSession &session, const char *buffer, std::size_t size)
{
    std::size_t sent = 0;
    while (sent < size) {
        const int count = session.socket().sendBytes(buffer + sent, static_cast<int>(size - sent));
        if (count <= 0)
            throw Poco::Net::ConnectionResetException("the socket accepted no data");
        sent += static_cast<std::size_t>(count);
    }
}

int SessionAccess::bufferedBytes(const Poco::Net::HTTPSession &session)
{
    return (session.*(&SessionAccess::buffered))();
}

} // namespace sardinehollow::core
