#include "sardinehollow_peer/transport/MessageFilter.h"

namespace sardinehollow::peer {

namespace {

// Incarnations are derived from the wall clock. A daemon that restarts after its clock was set back
// has a lower incarnation, which is accepted once the previous process has sent nothing for this
// long.
constexpr core::Duration staleIncarnationTimeout = std::chrono::seconds(10);

} // namespace

MessageFilter::MessageFilter(std::string deployment)
    : m_deployment(std::move(deployment))
{ }

tl::expected<wire::Envelope, DropReason> MessageFilter::accept(std::string_view bytes,
                                                               core::Instant now)
{
    if (bytes.size() > maximumMessageBytes)
        return tl::unexpected<DropReason>(DropReason::TooLarge);
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return tl::unexpected<DropReason>(DropReason::Unparsable);
    if (envelope.protocol_version() != protocolVersion)
        return tl::unexpected<DropReason>(DropReason::WrongVersion);
    if (envelope.deployment() != m_deployment)
        return tl::unexpected<DropReason>(DropReason::WrongDeployment);
    const auto found = m_senders.find(envelope.sender_id());
    if (found == m_senders.end())
        return tl::unexpected<DropReason>(DropReason::UnknownSender);
    // A body that a later version adds parses as no body; no listener handles it.
    if (envelope.body_case() == wire::Envelope::BODY_NOT_SET || envelope.incarnation() == 0
        || envelope.sequence() == 0)
        return tl::unexpected<DropReason>(DropReason::Unparsable);
    Sender &sender = found->second;
    const bool older = envelope.incarnation() < sender.incarnation;
    if (older && now - sender.lastReceived <= staleIncarnationTimeout)
        return tl::unexpected<DropReason>(DropReason::StaleIncarnation);
    if (envelope.incarnation() != sender.incarnation) {
        sender.incarnation = envelope.incarnation();
        sender.window = SequenceWindow();
    }
    const SequenceWindow::Verdict verdict = sender.window.accept(envelope.sequence());
    if (verdict == SequenceWindow::Verdict::Duplicate)
        return tl::unexpected<DropReason>(DropReason::Duplicate);
    if (verdict == SequenceWindow::Verdict::TooLate)
        return tl::unexpected<DropReason>(DropReason::TooLate);
    sender.lastReceived = now;
    return envelope;
}

} // namespace sardinehollow::peer
