#include "sardinehollow_core/errors/ErrorKind.h"

#include "sardinehollow_core/names/NameTable.h"

namespace sardinehollow::core {

namespace {

constexpr NameTable errorKindNames {std::array<std::pair<ErrorKind, std::string_view>, 7> {{
        {ErrorKind::InvalidInput, "invalid-input"},
        {ErrorKind::Conflict, "conflict"},
        {ErrorKind::NotFound, "not-found"},
        {ErrorKind::Unreachable, "unreachable"},
        {ErrorKind::ResultUnknown, "result-unknown"},
        {ErrorKind::Unavailable, "unavailable"},
        {ErrorKind::Internal, "internal"},
}}};

} // namespace

std::string_view toName(ErrorKind kind)
{
    return errorKindNames.name(kind);
}

} // namespace sardinehollow::core
