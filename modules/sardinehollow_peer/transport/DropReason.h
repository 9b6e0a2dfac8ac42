#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::peer {

/** Reason for which the transport dropped a message. */
enum class DropReason {
    Unparsable,
    TooLarge,
    WrongVersion,
    WrongDeployment,
    UnknownSender,
    StaleIncarnation,
    Duplicate,
    TooLate,
    /** The send queue of the receiver's connection or the queue of the I/O thread was full. */
    QueueFull,
    /** The address of the receiving VM is unknown or invalid. */
    UnknownReceiver,
    Count,
};

inline constexpr std::size_t dropReasonCount = static_cast<std::size_t>(DropReason::Count);

std::string_view toName(DropReason reason);

} // namespace sardinehollow::peer
