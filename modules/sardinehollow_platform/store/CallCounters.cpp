#include "sardinehollow_platform/store/CallCounters.h"

#include <string>

namespace sardinehollow::platform {

void CallCounters::count(CallKind kind, CallPurpose purpose)
{
    ++m_calls.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(purpose));
}

std::uint64_t CallCounters::calls(CallKind kind, CallPurpose purpose) const
{
    return m_calls.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(purpose));
}

void CallCounters::appendTo(metrics::PrometheusWriter &writer) const
{
    writer.family("store_calls_total", "Calls to the platform's store.", "counter");
    for (std::size_t kind = 0; kind < callKindCount; ++kind) {
        for (std::size_t purpose = 0; purpose < callPurposeCount; ++purpose) {
            const auto callKind = static_cast<CallKind>(kind);
            const auto callPurpose = static_cast<CallPurpose>(purpose);
            writer.sample("store_calls_total",
                          {{"kind", toName(callKind)}, {"purpose", toName(callPurpose)}},
                          std::to_string(calls(callKind, callPurpose)));
        }
    }
}

} // namespace sardinehollow::platform
