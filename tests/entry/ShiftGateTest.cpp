#include "support/EntryFixture.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;

namespace {

/** Refuses callers of 10.0.0.0/8 and records the last caller. */
class RecordingGate : public entry::ShiftGate
{
public:
    bool isActive() const override { return active; }
    bool admit(const std::string &, const core::IpAddress &caller) override
    {
        last = caller.text();
        return last.rfind("10.", 0) != 0;
    }

    bool active = true;
    std::string last;
};

struct Row
{
    const char *failure;
    bool active;
    bool trusted;
    bool forwarded;
    int status;
    const char *caller;
};

} // namespace

TEST_CASE("A shifted request above the cap is refused once, by the daemon that accepts it")
{
    const Row row
            = GENERATE(Row {"a request above the cap runs", true, true, false, 503, "10.1.2.3"},
                       Row {"a caller chooses its address", true, false, false, 200, "127.0.0.1"},
                       Row {"a forwarded request is counted again", true, true, true, 200, ""},
                       Row {"the gate is queried without a shift", false, true, false, 200, ""});
    INFO(row.failure);
    standin::Standin standin(tests::backendSettings(1));
    tests::EntryFixture fixture(tests::backendAddresses(standin));
    RecordingGate gate;
    gate.active = row.active;
    fixture.setShifts(&gate, row.trusted);
    const tests::Answer answer = tests::EntryFixture::exchange(
            row.forwarded ? fixture.forwardAddress() : fixture.address(),
            "GET /look HTTP/1.1\r\nHost: x\r\nSardinehollow-Caller: 10.1.2.3\r\n\r\n");
    CHECK(answer.status == row.status);
    CHECK(gate.last == row.caller);
    const bool refused = row.status == 503;
    CHECK(answer.outcome() == (refused ? "not-run" : "complete"));
    CHECK(answer.head.get("Sardinehollow-Reason", "") == (refused ? "shift-cap" : ""));
    CHECK(answer.head.get("Retry-After", "") == (refused ? "1" : ""));
    fixture.waitUntilIdle();
}
