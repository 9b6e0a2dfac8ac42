#pragma once

#include <mutex>
#include <set>
#include <string>

namespace sardinehollow::standin {

/**
 * Tracks which connections of a listener are silent, that is accepted but never answered. A
 * connection is identified by its client's "IP:port". Safe for concurrent use.
 */
class SilentConnections
{
public:
    /** Records a connection that carried a request. */
    void recordConnection(const std::string &connection);
    /**
     * Silences the connections recorded since the last call, in place of those silenced by it; new
     * connections are answered.
     */
    void silenceOpenConnections();
    /** Silences all connections, or ends that. */
    void setAllSilent(bool silent);
    bool isSilent(const std::string &connection) const;

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_recorded;
    std::set<std::string> m_silent;
    bool m_allSilent = false;
};

} // namespace sardinehollow::standin
