#pragma once

#include "BenchRequest.h"
#include "sardinehollow_core/identifiers/RequestId.h"
#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <memory>

namespace sardinehollow::bench {

/** One attempt of a daemon to run a request at a backend server. */
struct BenchAttempt
{
    std::shared_ptr<BenchRequest> request;
    std::size_t daemon = 0;
    core::RequestId id;
    std::uint32_t number = 0;
    core::Instant started {0};
    /** Whether the daemon has closed the connection, so that no response is sent. */
    bool cancelled = false;
};

} // namespace sardinehollow::bench
