#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <functional>

namespace sardinehollow::standin {

/** Makes a handler for each request from a function. */
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    using Maker
            = std::function<Poco::Net::HTTPRequestHandler *(const Poco::Net::HTTPServerRequest &)>;

    explicit HandlerFactory(Maker maker)
        : m_maker(std::move(maker))
    { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &request) override
    {
        return m_maker(request);
    }

private:
    Maker m_maker;
};

} // namespace sardinehollow::standin
