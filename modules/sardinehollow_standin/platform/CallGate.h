#pragma once

#include "sardinehollow_standin/platform/PlatformState.h"

#include <Poco/Net/HTTPServerRequest.h>

namespace sardinehollow::standin {

/** Applies the platform's fault switches and rate limits to calls of all its interfaces. */
class CallGate
{
public:
    explicit CallGate(PlatformState &platform);

    /**
     * Waits for the configured delay and while the connection is silent. Returns false if the
     * caller disconnects or the stand-in stops, in which case the call is not to be answered.
     */
    bool waitWhileDelayedOrSilent(Poco::Net::HTTPServerRequest &request);
    /** Whether the rate limit admits the call; rejected calls are counted. */
    bool admit(bool isWrite);
    /** Whether to drop the reply of a write that took effect; consumes one lost reply if so. */
    bool consumeLostReply();

private:
    PlatformState &m_platform;
};

} // namespace sardinehollow::standin
