#pragma once

#include <Poco/Net/HTTPSession.h>

#include <cstddef>

namespace sardinehollow::core {

/** Gives access to the protected read functions of a POCO session and writes to its socket. */
class SessionAccess : private Poco::Net::HTTPSession
{
public:
    /** Returns the next byte, or a negative number at the end of the connection. */
    static int receiveByte(Poco::Net::HTTPSession &session);
    /** Returns the number of bytes read; 0 at the end of the connection. */
    static int receive(Poco::Net::HTTPSession &session, char *buffer, std::size_t size);
    /** Writes all bytes; throws Poco::Exception if that fails. */
    static void sendAll(Poco::Net::HTTPSession &session, const char *buffer, std::size_t size);
    /** Returns the number of bytes that were received but not read yet. */
    static int bufferedBytes(const Poco::Net::HTTPSession &session);
};

} // namespace sardinehollow::core
