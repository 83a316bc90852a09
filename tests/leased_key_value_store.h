/// @file
/// The key-value store of a simulation: keys with versions, transactions, leases and watches, in
/// simulated time. It executes every request correctly and at once. Lost and delayed messages are
/// simulated by its users.
#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kvstore/types.h"

namespace nickelramp::test {

class LeasedKeyValueStore {
  public:
    using Clock = std::function<Millis()>;
    using WatchDone = std::function<void(const kvstore::ListReply&)>;

    explicit LeasedKeyValueStore(Clock clock) : clock_(std::move(clock)) {}

    void set_key(const std::string& key, const wire::Json& value);
    std::size_t count_keys(const std::string& prefix) const;

    kvstore::GetReply get(const std::string& key) const;
    kvstore::ListReply list(const std::string& prefix, const std::string& after, std::size_t limit);
    kvstore::CommitReply apply(const kvstore::Transaction& transaction);
    kvstore::LeaseReply grant_lease(Millis ttl);
    kvstore::LeaseReply renew_lease(std::uint64_t lease_id);
    /// Ends the lease and deletes its keys. Also used for revocations.
    void expire_lease(std::uint64_t lease_id);
    /// Ends all expired leases, unless the store is down.
    void expire_leases();
    /// Calls `done` once, at the first change under the prefix after revision `after`.
    void watch(const std::string& prefix, std::uint64_t after, WatchDone done);

    /// Until then, no lease expires and no watch is answered.
    void take_down_until(Millis until) { down_until_ = std::max(down_until_, until); }
    bool is_down() const { return clock_() < down_until_; }
    Millis down_until() const { return down_until_; }
    /// Ends an outage: extends every lease to its full duration and answers pending watches.
    void restore();

    /// Returns the number of changes so far. `changed_key()` returns the key of one of them.
    std::size_t change_count() const { return changes_.size(); }
    const std::string& changed_key(std::size_t index) const { return changes_[index].key; }

  private:
    struct Stored {
        wire::Json value;
        std::uint64_t version = 0;
        std::uint64_t lease_id = 0;
    };
    struct Lease {
        Millis ttl = 0;
        Millis expires_at = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
        bool deleted = false;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        WatchDone done;
    };
    std::uint64_t version_of(const std::string& key) const;
    bool leases_exist(const kvstore::Transaction& transaction) const;
    void on_changed(const std::string& key, bool deleted);
    void answer_watches();
    std::vector<kvstore::Entry> changes_for(const Watch& watch) const;

    Clock clock_;
    std::map<std::string, Stored> keys_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<Change> changes_;
    std::vector<Watch> watches_;
    std::uint64_t revision_ = 10;
    std::uint64_t last_lease_id_ = 0;
    Millis down_until_ = 0;
};

}  // namespace nickelramp::test
