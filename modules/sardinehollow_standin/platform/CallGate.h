#pragma once

#include "sardinehollow_standin/platform/PlatformState.h"

#include <Poco/Net/HTTPServerRequest.h>

namespace sardinehollow::standin {

/** Applies the platform's fault switches and rate limits to calls of any interface. */
class CallGate
{
public:
    explicit CallGate(PlatformState &state);

    /** Applies slowness and silence; returns whether the call is to be served. */
    bool waitForTurn(Poco::Net::HTTPServerRequest &request);
    /** Whether the rate limit lets the call pass; a refused one is counted. */
    bool admit(bool isWrite);
    /** Whether the answer of a write that took effect is to be lost. */
    bool takeLostReply();

private:
    PlatformState &m_state;
};

} // namespace sardinehollow::standin
