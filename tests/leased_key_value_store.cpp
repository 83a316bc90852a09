#include "tests/leased_key_value_store.h"

#include <algorithm>
#include <utility>

namespace nickelramp::test {

void LeasedKeyValueStore::set_key(const std::string& key, const wire::Json& value) {
    keys_[key] = {value, ++revision_, 0};
    on_changed(key, false);
}

std::size_t LeasedKeyValueStore::count_keys(const std::string& prefix) const {
    return static_cast<std::size_t>(
        std::count_if(keys_.begin(), keys_.end(),
                      [&](const auto& item) { return item.first.starts_with(prefix); }));
}

std::uint64_t LeasedKeyValueStore::version_of(const std::string& key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? 0 : found->second.version;
}

kvstore::GetReply LeasedKeyValueStore::get(const std::string& key) const {
    kvstore::GetReply reply;
    const auto found = keys_.find(key);
    if (found == keys_.end()) {
        reply.status = kvstore::Status::missing;
        return reply;
    }
    reply.status = kvstore::Status::ok;
    reply.entry = {key, found->second.value, found->second.version, false};
    return reply;
}

kvstore::ListReply LeasedKeyValueStore::list(const std::string& prefix, const std::string& after,
                                             std::size_t limit) {
    kvstore::ListReply reply;
    reply.status = kvstore::Status::ok;
    reply.revision = revision_;
    for (auto item = keys_.upper_bound(std::max(prefix, after)); item != keys_.end(); ++item) {
        const auto& [key, stored] = *item;
        if (!key.starts_with(prefix)) break;
        if (reply.entries.size() == limit) {
            reply.more = true;
            break;
        }
        reply.entries.push_back({key, stored.value, stored.version, false});
    }
    // upper_bound() above skips a key that equals the prefix.
    if (after.empty() && keys_.contains(prefix) && reply.entries.size() < limit)
        reply.entries.push_back({prefix, keys_[prefix].value, keys_[prefix].version, false});
    return reply;
}

bool LeasedKeyValueStore::leases_exist(const kvstore::Transaction& transaction) const {
    return std::all_of(
        transaction.writes.begin(), transaction.writes.end(), [this](const kvstore::Write& write) {
            return !write.value || write.lease_id == 0 || leases_.contains(write.lease_id);
        });
}

kvstore::CommitReply LeasedKeyValueStore::apply(const kvstore::Transaction& transaction) {
    kvstore::CommitReply reply;
    for (const kvstore::Condition& condition : transaction.conditions) {
        if (version_of(condition.key) != condition.version)
            reply.failed_conditions.push_back(condition.key);
    }
    reply.revision = revision_;
    reply.status = kvstore::Status::conflict;
    if (!reply.failed_conditions.empty()) return reply;
    reply.status = kvstore::Status::lease_or_revision_expired;
    if (!leases_exist(transaction)) return reply;
    reply.status = kvstore::Status::ok;
    reply.revision = ++revision_;
    for (const kvstore::Write& write : transaction.writes) {
        if (write.value)
            keys_[write.key] = {*write.value, revision_, write.lease_id};
        else
            keys_.erase(write.key);
        on_changed(write.key, !write.value);
    }
    return reply;
}

kvstore::LeaseReply LeasedKeyValueStore::grant_lease(Millis ttl) {
    leases_[++last_lease_id_] = {ttl, clock_() + ttl};
    return {kvstore::Status::ok, last_lease_id_};
}

kvstore::LeaseReply LeasedKeyValueStore::renew_lease(std::uint64_t lease_id) {
    const auto found = leases_.find(lease_id);
    if (found == leases_.end()) return {kvstore::Status::missing, 0};
    found->second.expires_at = clock_() + found->second.ttl;
    return {kvstore::Status::ok, lease_id};
}

void LeasedKeyValueStore::expire_lease(std::uint64_t lease_id) {
    if (leases_.erase(lease_id) == 0) return;
    std::vector<std::string> attached;
    for (const auto& [key, stored] : keys_) {
        if (stored.lease_id == lease_id) attached.push_back(key);
    }
    for (const std::string& key : attached) {
        keys_.erase(key);
        ++revision_;
        on_changed(key, true);
    }
}

void LeasedKeyValueStore::expire_leases() {
    if (is_down()) return;
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : leases_) {
        if (clock_() >= lease.expires_at) expired.push_back(id);
    }
    for (std::uint64_t id : expired) expire_lease(id);
}

void LeasedKeyValueStore::restore() {
    for (auto& [id, lease] : leases_) lease.expires_at = clock_() + lease.ttl;
    answer_watches();
}

void LeasedKeyValueStore::watch(const std::string& prefix, std::uint64_t after, WatchDone done) {
    watches_.push_back({prefix, after, std::move(done)});
    answer_watches();
}

void LeasedKeyValueStore::on_changed(const std::string& key, bool deleted) {
    changes_.push_back({revision_, key, deleted});
    answer_watches();
}

std::vector<kvstore::Entry> LeasedKeyValueStore::changes_for(const Watch& watch) const {
    std::vector<kvstore::Entry> entries;
    for (const Change& change : changes_) {
        if (change.revision <= watch.after || !change.key.starts_with(watch.prefix)) continue;
        kvstore::Entry entry;
        entry.key = change.key;
        entry.version = change.revision;
        const auto found = keys_.find(change.key);
        entry.deleted = change.deleted || found == keys_.end();
        if (!entry.deleted) entry.value = found->second.value;
        entries.push_back(std::move(entry));
    }
    return entries;
}

void LeasedKeyValueStore::answer_watches() {
    if (is_down()) return;
    struct Answer {
        WatchDone done;
        kvstore::ListReply reply;
    };
    std::vector<Answer> answers;
    std::erase_if(watches_, [&](const Watch& watch) {
        kvstore::ListReply reply;
        reply.status = kvstore::Status::ok;
        reply.revision = revision_;
        reply.entries = changes_for(watch);
        if (reply.entries.empty()) return false;
        answers.push_back({watch.done, std::move(reply)});
        return true;
    });
    for (const Answer& answer : answers) answer.done(answer.reply);
}

}  // namespace nickelramp::test
