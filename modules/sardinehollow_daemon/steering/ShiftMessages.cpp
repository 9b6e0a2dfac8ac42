#include "sardinehollow_daemon/steering/ShiftMessages.h"

namespace sardinehollow::daemon {

peer::wire::Envelope toEnvelope(const policy::PermitRequest &request)
{
    peer::wire::Envelope envelope;
    peer::wire::PermitRequest &message = *envelope.mutable_permit_request();
    message.set_shift(request.shift);
    message.set_holder_incarnation(request.holder.incarnation);
    message.set_enforcer_incarnation(request.enforcerIncarnation);
    message.set_generation(request.generation);
    message.set_sequence(request.sequence);
    message.set_wanted(request.wanted);
    message.set_holding(request.holding);
    message.set_spent(request.spent);
    return envelope;
}

peer::wire::Envelope toEnvelope(const policy::PermitGrant &grant, std::uint64_t holderIncarnation)
{
    peer::wire::Envelope envelope;
    peer::wire::PermitGrant &message = *envelope.mutable_permit_grant();
    message.set_shift(grant.shift);
    message.set_holder_incarnation(holderIncarnation);
    message.set_enforcer_incarnation(grant.enforcerIncarnation);
    message.set_request_sequence(grant.requestSequence);
    message.set_added(grant.added);
    const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(grant.lifetime);
    message.set_lifetime_ms(static_cast<std::uint32_t>(lifetime.count()));
    return envelope;
}

policy::PermitRequest permitRequest(const peer::wire::Envelope &envelope)
{
    const peer::wire::PermitRequest &message = envelope.permit_request();
    return {message.shift(),
            {envelope.sender_id(), message.holder_incarnation()},
            message.enforcer_incarnation(),
            message.generation(),
            message.sequence(),
            message.wanted(),
            message.holding(),
            message.spent()};
}

policy::PermitGrant permitGrant(const peer::wire::Envelope &envelope)
{
    const peer::wire::PermitGrant &message = envelope.permit_grant();
    return {message.shift(), message.enforcer_incarnation(), message.request_sequence(),
            message.added(), std::chrono::milliseconds(message.lifetime_ms())};
}

} // namespace sardinehollow::daemon
