#pragma once

#include "sardinehollow_load/client/HttpAnswer.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace sardinehollow::load {

/** An HTTP client that opens a new connection for each request, as separate callers would. */
class HttpClient
{
public:
    using Headers = std::vector<std::pair<std::string, std::string>>;

    /**
     * Sends a request and reads the whole response. The time-out applies to each network operation;
     * errors give an answer with status 0.
     */
    HttpAnswer send(const std::string &address, const std::string &method, const std::string &path,
                    const Headers &headers, const std::string &body,
                    std::chrono::milliseconds timeout) const;
};

} // namespace sardinehollow::load
