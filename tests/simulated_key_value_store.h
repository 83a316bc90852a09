// The key-value store of a simulation.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "kvstore/client.h"
#include "tests/simulation_context.h"
#include "wire/settings.h"

namespace nickelramp::test {

/// The kind of a transaction that a leader or shard holder commits, as
/// docs/design/combined-faults.md lists them: "end", "block", "intent", "checkpoint" or "left
/// over".
const char* commit_kind(const kvstore::Transaction& transaction);

/// Versioned keys with compare-and-swap transactions, a limit of writes, and outages. Asserts with
/// every transaction that it keeps to the sizes of the settings. Delays and lost replies are up to
/// the caller.
class SimulatedKeyValueStore {
  public:
    struct StoredValue {
        kvstore::Json value;
        std::uint64_t version = 0;
    };
    /// What else happens when a transaction is applied.
    struct Observer {
        std::function<void(const std::string& key, const kvstore::Json& value)> before_write;
        std::function<void(const std::string& key)> after_delete;
    };
    SimulatedKeyValueStore(SimulationContext& context, const wire::Settings& settings,
                           Observer observer)
        : context_(context), settings_(settings), observer_(std::move(observer)) {}

    [[nodiscard]] bool up() const { return context_.now() >= down_until_; }
    /// Nobody is answered for that long; an outage under way is not shortened.
    void take_down(Millis length);

    /// Takes so many writes from the rate limit; false if there is no room for them.
    bool take_write_budget(std::size_t writes);
    /// Writes so far, without those that the rate limit refused.
    [[nodiscard]] std::size_t writes() const { return writes_; }

    /// Writes one key without conditions.
    void put(const std::string& key, const kvstore::Json& value);
    /// Applies all writes if every condition holds.
    kvstore::CommitReply commit(const kvstore::Transaction& transaction);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Null if there is no such key.
    [[nodiscard]] const StoredValue* find(const std::string& key) const;
    /// 0 if there is no such key.
    [[nodiscard]] std::uint64_t version(const std::string& key) const;
    [[nodiscard]] const std::map<std::string, StoredValue>& keys() const { return keys_; }
    [[nodiscard]] kvstore::ListReply list(const std::string& prefix) const;
    [[nodiscard]] kvstore::ListReply open_records() const;
    [[nodiscard]] std::size_t count(const std::string& prefix) const;
    /// Provisioning intents on record.
    [[nodiscard]] std::size_t intents() const;
    /// "", "done" or "withdrawn".
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
