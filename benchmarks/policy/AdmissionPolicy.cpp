#include "AdmissionPolicy.h"

#include "LeastLoadPolicy.h"
#include "RandomPolicy.h"
#include "SardinehollowPolicy.h"
#include "StaticSplitPolicy.h"

namespace sardinehollow::bench {

const std::vector<std::string> &policyNames()
{
    static const std::vector<std::string> names {"random", "static-split", "least-load",
                                                 "sardinehollow"};
    return names;
}

std::unique_ptr<AdmissionPolicy> makePolicy(const std::string &name, std::uint64_t seed)
{
    if (name == "random")
        return std::make_unique<RandomPolicy>(seed);
    if (name == "static-split")
        return std::make_unique<StaticSplitPolicy>();
    if (name == "least-load")
        return std::make_unique<LeastLoadPolicy>(seed);
    return std::make_unique<SardinehollowPolicy>();
}

} // namespace sardinehollow::bench
