#pragma once

#include "sardinehollow_daemon/claims/StoreClaimJournal.h"
#include "sardinehollow_peer/claims/ClaimClient.h"
#include "sardinehollow_peer/claims/ClaimService.h"
#include "support/FaultyStore.h"

#include <memory>
#include <set>

namespace sardinehollow::tests {

/**
 * Simulates daemons, a store and a network in virtual time. Checks after each answer that no key
 * ran twice and that the answer is correct; describes a failed check in `violation`.
 */
class ClaimSimulation
{
public:
    /** What happens to a request whose claim is granted. */
    enum class Plan {
        /** Runs until the next call of finishRuns(). */
        Run,
        /** The backend server sheds it, so it does not run. */
        Shed,
        DieBeforeDispatch,
        DieAfterDispatch,
    };

    struct Attempt
    {
        std::size_t node = 0;
        std::uint64_t incarnation = 0;
        std::string workKind;
        std::string key;
        Plan plan = Plan::Run;
        std::uint64_t number = 0;
        std::optional<peer::ClaimVerdict> verdict;
    };

    /** Starts daemons of the failure domain that owns the scope, and one of another domain. */
    explicit ClaimSimulation(std::size_t owners = 2, peer::ClaimServiceSettings settings = {});

    std::size_t attempt(std::size_t node, const std::string &key, Plan plan = Plan::Run,
                        const std::string &workKind = "post",
                        const std::string &content = "content");
    /** Advances the time, all daemons and the network in steps of 10 ms. */
    void run(std::chrono::milliseconds duration);
    /** Advances one daemon by one step: its journal call and client calls. */
    void advanceNode(std::size_t node);
    void deliverAll();
    void deliver(std::size_t message, bool keep = false);
    void finishRuns(std::size_t node);
    void kill(std::size_t node);
    void restart(std::size_t node);
    void clearFaults();
    /** Makes one node the only one configured to own the scope. */
    void setOnlyOwner(std::size_t node);
    const peer::ClaimVerdict &verdict(std::size_t attempt) const;
    std::string scope() const;

    struct Node
    {
        std::string vm;
        std::uint64_t incarnation = 0;
        bool alive = true;
        bool paused = false;
        /** Partitioned from the other daemons. */
        bool isolated = false;
        /** Journal calls take effect, and their results arrive at the next step. */
        bool slowStore = false;
        /** The next journal call is made one step later, as if the daemon paused before it. */
        bool slowCalls = false;
        std::unique_ptr<FaultyStore> store;
        std::unique_ptr<daemon::StoreClaimJournal> journal;
        std::unique_ptr<peer::ClaimService> service;
        std::unique_ptr<peer::ClaimClient> client;
        std::optional<peer::JournalResult> result;
        std::optional<peer::JournalRequest> request;
        /** Indices of attempts that run and whose end is not reported yet. */
        std::vector<std::size_t> running;
        /** Indices of attempts without a verdict. */
        std::vector<std::size_t> open;
        bool owner = false;
    };

    FakeStore store;
    core::Instant now {std::chrono::hours(1)};
    std::vector<Node> nodes;
    std::vector<Attempt> attempts;
    std::map<std::string, int> runs;
    /** Response body of a key's run, by key. */
    std::map<std::string, std::string> bodies;
    /** Keys whose finish was acknowledged as committed. */
    std::set<std::string> acknowledged;
    std::string violation;
    peer::ClaimKinds kinds {{"post", {false, std::chrono::hours(24)}},
                            {"memory", {true, std::chrono::hours(24)}}};

private:
    struct Message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::optional<peer::ClaimCall> call;
        std::optional<peer::ClaimResponse> response;
    };

    void start(Node &node);
    void handle(const Message &message);
    void collectVerdicts(std::size_t node);
    void onVerdict(std::size_t attempt);
    void check(const Attempt &attempt);
    void route(std::size_t from, const peer::ClaimService::Responses &responses);
    std::size_t indexOf(const std::string &vm) const;

    peer::ClaimServiceSettings m_settings;
    std::size_t m_owners;
    std::vector<Message> m_messages;
};

} // namespace sardinehollow::tests
