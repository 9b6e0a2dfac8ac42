#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_peer/generated/peer.pb.h"
#include "sardinehollow_peer/transport/DropReason.h"
#include "sardinehollow_peer/transport/SequenceWindow.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <string_view>

namespace sardinehollow::peer {

/** Protocol version; a daemon drops messages of any other version. */
inline constexpr std::uint32_t protocolVersion = 1;
inline constexpr std::size_t maximumMessageBytes = 1'000'000;

/**
 * Parses and validates received messages; drops malformed, foreign, stale and duplicate ones. Not
 * safe for concurrent use.
 */
class MessageFilter
{
public:
    explicit MessageFilter(std::string deployment);

    /** Replaces the accepted senders by VM name; the state of all others is removed. */
    template <typename Map>
    void setSenders(const Map &addresses)
    {
        std::map<std::string, Sender> kept;
        for (const auto &[vm, address] : addresses)
            kept.emplace(vm, m_senders[vm]);
        m_senders = std::move(kept);
    }

    /** Returns the message if it is valid, new and from a known sender of the deployment. */
    tl::expected<wire::Envelope, DropReason> accept(std::string_view bytes, core::Instant now);

private:
    struct Sender
    {
        std::uint64_t incarnation = 0;
        core::Instant lastReceived {0};
        SequenceWindow window;
    };

    const std::string m_deployment;
    std::map<std::string, Sender> m_senders;
};

} // namespace sardinehollow::peer
