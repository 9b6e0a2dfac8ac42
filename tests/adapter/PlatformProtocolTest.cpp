#include "platform/PlatformProtocol.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;

// Guards against daemons that send requests for one object to different servers.
TEST_CASE("The object of a request is read from its cookies")
{
    struct Row
    {
        std::vector<const char *> fields;
        const char *object;
    };
    const Row row = GENERATE(values<Row>({
            {{"Affinity-Key=17"}, "17"},
            {{"a=1; Affinity-Key=17; b=2"}, "17"},
            {{"a=1", "affinity-key = 17"}, "17"},
            {{"a; ;Affinity-Key=\"17\""}, "17"},
            {{"Affinity-Key=17; Affinity-Key=18"}, "17"},
            {{"X-Affinity-Key=17; a=Affinity-Key"}, ""},
            {{}, ""},
    }));
    Poco::Net::HTTPRequest request;
    for (const char *field : row.fields)
        request.add("Cookie", field);
    INFO(row.fields.size() << " fields, object " << row.object);
    CHECK(adapter::PlatformProtocol().readCallerRequest(request).object == row.object);
}
