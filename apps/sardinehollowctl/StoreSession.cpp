#include "StoreSession.h"

#include "CommandSupport.h"

namespace sardinehollow::apps {

namespace {

constexpr std::chrono::milliseconds storeTimeout {5000};

} // namespace

StoreSession::StoreSession(const Options &options, const std::string &deployment)
    : m_store(splitList(options.at("--store").asString()), storeTimeout)
    , m_configurations(m_store, deployment, platform::CallPurpose::Operator)
{ }

} // namespace sardinehollow::apps
