#include "sardinehollow_peer/claims/ClaimTable.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;

namespace {

using Kind = peer::wire::ClaimRecord;

peer::wire::ClaimRecord makeRecord(Kind::Kind kind, const std::string &claim)
{
    peer::wire::ClaimRecord record;
    record.set_kind(kind);
    record.set_work_kind("post");
    record.set_key("east-a~1.k");
    record.set_claim(claim);
    record.set_status(kind == Kind::KIND_FINISH ? 200 : 0);
    record.set_body(kind == Kind::KIND_FINISH ? "body of " + claim : "");
    return record;
}

} // namespace

TEST_CASE("Replaying the journal restores the state of a key")
{
    struct Case
    {
        std::vector<peer::wire::ClaimRecord> records;
        /** State and claim of the key, or "absent". */
        std::string expected;
    };
    const auto begin = [](const char *claim) { return makeRecord(Kind::KIND_BEGIN, claim); };
    const auto finish = [](const char *claim) { return makeRecord(Kind::KIND_FINISH, claim); };
    const auto release = [](const char *claim) { return makeRecord(Kind::KIND_RELEASE, claim); };
    const std::vector<Case> cases {
            {{begin("a")}, "begun a"},
            {{begin("a"), release("a")}, "absent"},
            {{begin("a"), release("a"), begin("b")}, "begun b"},
            // A late release must not remove a newer claim or one whose request ran.
            {{begin("a"), release("a"), begin("b"), release("a")}, "begun b"},
            {{begin("a"), finish("a"), release("a")}, "finished a"},
            {{begin("a"), finish("a"), finish("b")}, "finished a"},
            // The release of claim a, whose request did not run, was lost; this must not lose the
            // outcome of claim b.
            {{begin("a"), finish("b")}, "finished b"},
            {{finish("a")}, "finished a"},
    };
    for (const Case &item : cases) {
        peer::ClaimTable table;
        for (const peer::wire::ClaimRecord &record : item.records)
            table.apply(record);
        const peer::ClaimEntry *entry = table.find("post", "east-a~1.k");
        std::string found = "absent";
        if (entry != nullptr) {
            const bool finished = entry->state == peer::ClaimEntry::State::Finished;
            found = (finished ? "finished " : "begun ") + entry->claim;
        }
        CHECK(found == item.expected);
        table.eraseEpoch(1);
        CHECK(table.bytes() == 0);
    }
}
