#include "tests/simulated_key_value_store.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "autoscaling/intent_log.h"
#include "jobs/job.h"

namespace nickelramp::test {

const char* commit_kind(const kvstore::Transaction& transaction) {
    bool writes = false;
    for (const auto& write : transaction.writes) {
        if (write.key.rfind("job/", 0) == 0) return "end";
        if (write.key.rfind("block/", 0) == 0) return "block";
        if (write.key.rfind(autoscaling::kIntentKeyPrefix, 0) == 0) return "intent";
        writes |= write.value.has_value();
    }
    return writes ? "checkpoint" : "left over";
}

void SimulatedKeyValueStore::take_down(Millis length) {
    down_until_ = std::max(down_until_, context_.now() + length);
}

bool SimulatedKeyValueStore::take_write_budget(std::size_t writes) {
    const double rate = context_.faults.state_writes_per_s;
    const double wanted = static_cast<double>(writes);
    if (rate > 0) {
        const double since_s = static_cast<double>(context_.now() - write_budget_at_) / 1'000;
        write_budget_ = std::min(rate, write_budget_ + rate * since_s);
        write_budget_at_ = context_.now();
        if (write_budget_ < wanted) return false;
        write_budget_ -= wanted;
    }
    writes_ += writes;
    return true;
}

void SimulatedKeyValueStore::put(const std::string& key, const kvstore::Json& value) {
    keys_[key] = {value, ++revision_};
}

kvstore::CommitReply SimulatedKeyValueStore::commit(const kvstore::Transaction& transaction) {
    kvstore::CommitReply reply;
    for (const auto& condition : transaction.conditions) {
        if (version(condition.key) != condition.version)
            reply.failed_conditions.push_back(condition.key);
    }
    EXPECT_LE(transaction.writes.size(), settings_.state_txn_ops);
    EXPECT_LE(transaction.conditions.size(), 4 * settings_.state_txn_ops);
    if (!reply.failed_conditions.empty()) {
        reply.status = kvstore::Status::conflict;
        reply.revision = revision_;
        return reply;
    }
    reply.status = kvstore::Status::ok;
    reply.revision = ++revision_;
    for (const auto& write : transaction.writes) {
        if (!write.value) {
            keys_.erase(write.key);
            observer_.after_delete(write.key);
            continue;
        }
        EXPECT_LE(static_cast<double>(write.value->dump().size()), settings_.max_value_bytes());
        observer_.before_write(write.key, *write.value);
        keys_[write.key] = {*write.value, revision_};
    }
    return reply;
}

const SimulatedKeyValueStore::StoredValue* SimulatedKeyValueStore::find(
    const std::string& key) const {
    const auto it = keys_.find(key);
    return it == keys_.end() ? nullptr : &it->second;
}

std::uint64_t SimulatedKeyValueStore::version(const std::string& key) const {
    const StoredValue* stored = find(key);
    return stored == nullptr ? 0 : stored->version;
}

kvstore::ListReply SimulatedKeyValueStore::list(const std::string& prefix) const {
    kvstore::ListReply reply;
    reply.status = kvstore::Status::ok;
    for (const auto& [key, stored] : keys_) {
        if (key.rfind(prefix, 0) == 0)
            reply.entries.push_back({key, stored.value, stored.version, false});
    }
    return reply;
}

kvstore::ListReply SimulatedKeyValueStore::open_records() const {
    kvstore::ListReply reply;
    reply.status = kvstore::Status::ok;
    for (const auto& [key, stored] : keys_) {
        if (!jobs::job_id_of_open_key(key).empty())
            reply.entries.push_back({key, stored.value, stored.version, false});
    }
    return reply;
}

std::size_t SimulatedKeyValueStore::count(const std::string& prefix) const {
    return static_cast<std::size_t>(std::count_if(
        keys_.begin(), keys_.end(), [&](const auto& k) { return k.first.rfind(prefix, 0) == 0; }));
}

std::size_t SimulatedKeyValueStore::intents() const {
    std::size_t count = 0;
    for (const auto& [key, stored] : keys_) {
        const auto parsed = autoscaling::parse_intent_key(key);
        if (!parsed) continue;
        const auto intents = autoscaling::decode_intents(parsed->first, stored.value);
        EXPECT_TRUE(intents) << key;
        count += intents ? intents->size() : 0;
    }
    return count;
}

std::string SimulatedKeyValueStore::final_state(const std::string& job) const {
    const StoredValue* stored = find(jobs::job_key(job));
    return stored == nullptr ? "" : wire::text_field(stored->value, "final").value_or("");
}

}  // namespace nickelramp::test
