#include "sardinehollow_peer/transport/DropReason.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::peer {

namespace {

constexpr core::NameTable names {
        std::array<std::pair<DropReason, std::string_view>, dropReasonCount> {{
                {DropReason::Unparsable, "unparsable"},
                {DropReason::TooLarge, "too-large"},
                {DropReason::WrongVersion, "wrong-version"},
                {DropReason::WrongDeployment, "wrong-deployment"},
                {DropReason::UnknownSender, "unknown-sender"},
                {DropReason::StaleIncarnation, "stale-incarnation"},
                {DropReason::Duplicate, "duplicate"},
                {DropReason::TooLate, "too-late"},
                {DropReason::QueueFull, "queue-full"},
                {DropReason::UnknownReceiver, "unknown-receiver"},
        }}};

} // namespace

std::string_view toName(DropReason reason)
{
    return names.name(reason);
}

} // namespace sardinehollow::peer
