/// @file
/// The simulated key-value store of ClusterSimulation.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "kvstore/client.h"
#include "tests/simulation_context.h"
#include "wire/settings.h"

namespace nickelramp::test {

/// Returns the kind of a transaction that a leader or shard holder commits: "end", "block",
/// "intent", "checkpoint" or "left over" (see docs/design/combined-faults.md).
const char* commit_kind(const kvstore::Transaction& transaction);

/// Versioned keys with compare-and-swap transactions, a write rate limit, and outages. Asserts that
/// every transaction stays within the size limits. The caller simulates delays and lost replies.
class SimulatedKeyValueStore {
  public:
    struct StoredValue {
        kvstore::Json value;
        std::uint64_t version = 0;
    };
    /// Callbacks for the writes and deletions of an applied transaction.
    struct Observer {
        std::function<void(const std::string& key, const kvstore::Json& value)> before_write;
        std::function<void(const std::string& key)> after_delete;
    };
    SimulatedKeyValueStore(SimulationContext& context, const wire::Settings& settings,
                           Observer observer)
        : context_(context), settings_(settings), observer_(std::move(observer)) {}

    [[nodiscard]] bool up() const { return context_.now() >= down_until_; }
    /// Makes the store unavailable for the given time. Never shortens a current outage.
    void take_down(Millis length);

    /// Takes the writes from the rate limit's budget. Returns false if the budget is too small.
    bool take_write_budget(std::size_t writes);
    /// Returns the number of writes so far, excluding those that the rate limit refused.
    [[nodiscard]] std::size_t writes() const { return writes_; }

    /// Writes one key unconditionally.
    void put(const std::string& key, const kvstore::Json& value);
    /// Applies all writes if every condition holds, and none otherwise.
    kvstore::CommitReply commit(const kvstore::Transaction& transaction);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Returns null if there is no such key.
    [[nodiscard]] const StoredValue* find(const std::string& key) const;
    /// Returns the key's version, or 0 if there is no such key.
    [[nodiscard]] std::uint64_t version(const std::string& key) const;
    [[nodiscard]] const std::map<std::string, StoredValue>& keys() const { return keys_; }
    [[nodiscard]] kvstore::ListReply list(const std::string& prefix) const;
    /// Returns the records of all open jobs.
    [[nodiscard]] kvstore::ListReply open_records() const;
    [[nodiscard]] std::size_t count(const std::string& prefix) const;
    /// Returns the number of recorded provisioning intents.
    [[nodiscard]] std::size_t intents() const;
    /// Returns the job's final state, "done" or "withdrawn", or "" if it has none.
    [[nodiscard]] std::string final_state(const std::string& job) const;

  private:
    SimulationContext& context_;
    const wire::Settings& settings_;
    Observer observer_;
    std::map<std::string, StoredValue> keys_;
    std::uint64_t revision_ = 10;
    Millis down_until_ = 0;
    double write_budget_ = 0;  // as of write_budget_at_
    Millis write_budget_at_ = 0;
    std::size_t writes_ = 0;
};

}  // namespace nickelramp::test
