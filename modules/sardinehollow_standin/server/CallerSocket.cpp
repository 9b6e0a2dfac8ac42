#include "sardinehollow_standin/server/CallerSocket.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <sys/socket.h>

namespace sardinehollow::standin {

bool isCallerDisconnected(Poco::Net::HTTPServerRequest &request)
{
    auto &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    try {
        if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return false;
        char byte = 0;
        return socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

void closeConnection(Poco::Net::HTTPServerRequest &request)
{
    auto &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // The caller has already closed the connection.
    }
}

} // namespace sardinehollow::standin
