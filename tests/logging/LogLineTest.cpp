#include "sardinehollow_logging/LogLine.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

TEST_CASE("A log line remains one JSON object whatever bytes a caller sends")
{
    const logging::LogLine line = logging::LogLine("request")
                                          .text("path", "/a\"b\\c\n\t\x01\x80")
                                          .number("status", 503)
                                          .hash("request", 0xb489a37ae51f2f17)
                                          .milliseconds("ms", 1500ms);
    CHECK(line.fields()
          == R"({"event":"request","path":"/a?b?c????","status":503,"request":"B489A37AE51F2F17","ms":1500)");
}
