#include "sardinehollow_core/errors/Error.h"

namespace sardinehollow::core {

std::string Error::text() const
{
    if (remedy.empty())
        return message;
    return message + "; " + remedy;
}

} // namespace sardinehollow::core
