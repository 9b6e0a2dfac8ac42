#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <functional>

namespace sardinehollow::standin {

/** Creates the handler of each request by calling a function. */
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    using CreateHandler
            = std::function<Poco::Net::HTTPRequestHandler *(const Poco::Net::HTTPServerRequest &)>;

    explicit HandlerFactory(CreateHandler createHandler)
        : m_createHandler(std::move(createHandler))
    { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &request) override
    {
        return m_createHandler(request);
    }

private:
    CreateHandler m_createHandler;
};

} // namespace sardinehollow::standin
