#include "sardinehollow_configuration_store/edit/SubmissionId.h"

#include <Poco/UUIDGenerator.h>

namespace sardinehollow::configuration_store {

std::string makeSubmissionId()
{
    return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

} // namespace sardinehollow::configuration_store
