#include <algorithm>

#include "tests/cluster_simulation.h"

namespace nickelramp::test {

using wire::Json;

Millis ClusterSimulation::watch_delivery_time() {
    const Millis t = now_ + delay(20 + faults_.watch_delay);
    return faults_.watch_delay == 0 ? t : watched_at_ = std::max(watched_at_, t);
}

void ClusterSimulation::interrupt_watch(Millis length) {
    watch_lost_until_ = now_ + length;
    at(watch_lost_until_, [this] {
        if (leader() == nullptr) return;
        kvstore::ListReply all;
        for (const auto& [key, stored] : keys_)
            if (!jobs::job_id_of_open_key(key).empty())
                all.entries.push_back({key, stored.value, stored.version, false});
        leader()->on_open_list(all, now_, now_);
    });
}

std::size_t ClusterSimulation::count_records(const std::string& prefix) const {
    return static_cast<std::size_t>(std::count_if(
        keys_.begin(), keys_.end(), [&](const auto& k) { return k.first.rfind(prefix, 0) == 0; }));
}

void ClusterSimulation::reload_open_records(Millis after) {
    listed_at_ = now_;
    watch_from_ = std::max(watch_from_, now_ + after);  // it goes on from the list
    kvstore::ListReply all;
    all.status = kvstore::Status::ok;
    for (const auto& [key, stored] : keys_) {
        if (!jobs::job_id_of_open_key(key).empty())
            all.entries.push_back({key, stored.value, stored.version, false});
    }
    at(now_ + after, [this, all, term = term_] {
        if (leader() != nullptr && term == term_) leader()->on_open_list(all, now_, now_);
    });
}

std::size_t ClusterSimulation::recorded_intents() const {
    std::size_t n = 0;
    for (const auto& [key, stored] : keys_) {
        auto parsed = autoscaling::parse_intent_key(key);
        if (!parsed) continue;
        auto intents = autoscaling::decode_intents(parsed->first, stored.value);
        EXPECT_TRUE(intents) << key;
        n += intents ? intents->size() : 0;
    }
    return n;
}

void ClusterSimulation::set_key(const std::string& key, const Json& value) {
    keys_[key] = {value, ++revision_};
}

void ClusterSimulation::notify_leader(const std::string& key, Millis after) {
    at(after + watch_delivery_time(), [this, key] {
        auto it = keys_.find(key);
        if (leader() == nullptr || it == keys_.end() || now_ < watch_lost_until_) return;
        // The watch is answered when it can be.
        const Controller& n = *leader_by_lease();
        if (!state_service_answers(n) || now_ < n.frozen_until || now_ < watch_from_)
            return notify_leader(key, 500);
        leader()->on_open_record(*jobs::decode_open_record(it->second.value), it->second.version,
                                 now_, now_);
        leader()->tick(now_);
    });
}

bool ClusterSimulation::take_write_budget(std::size_t changes) {
    const double rate = faults_.state_writes_per_s, some = static_cast<double>(changes);
    if (rate > 0) {
        const double since = static_cast<double>(now_ - write_budget_at_) / 1'000;
        write_budget_ = std::min(rate, write_budget_ + rate * since);
        write_budget_at_ = now_;
        if (write_budget_ < some) return false;
        write_budget_ -= some;
    }
    state_changes_ += changes;
    return true;
}

std::string ClusterSimulation::final_state(const std::string& id) const {
    auto it = keys_.find(jobs::job_key(id));
    return it == keys_.end() ? "" : wire::text_field(it->second.value, "final").value_or("");
}

kvstore::CommitReply ClusterSimulation::apply_transaction(const kvstore::Transaction& transaction) {
    kvstore::CommitReply reply;
    for (const auto& c : transaction.conditions) {
        auto it = keys_.find(c.key);
        if ((it == keys_.end() ? 0 : it->second.version) != c.version)
            reply.failed_conditions.push_back(c.key);
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
    for (const auto& w : transaction.writes) {
        if (!w.value) {
            keys_.erase(w.key);
            if (std::string id = jobs::job_id_of_open_key(w.key); !id.empty()) {
                const Millis slow =
                    faults_.deletion_notice_delay > 0 ? delay(faults_.deletion_notice_delay) : 0;
                at(std::max(watch_delivery_time(), watch_from_) + slow, [this, id, then = now_] {
                    // What the watch has missed is in the list.
                    if (leader() != nullptr && then >= listed_at_ && now_ >= watch_lost_until_)
                        leader()->on_open_record_deleted(id, now_);
                });
            }
            continue;
        }
        EXPECT_LE(w.value->dump().size(), 8 * 1024u);
        if (w.key.rfind("job/", 0) == 0 && wire::text_field(*w.value, "final") == "withdrawn") {
            on_cancel_confirmed(w.key.substr(4));
        }
        if (std::string id = w.key.substr(std::min<std::size_t>(4, w.key.size()));
            w.key == jobs::job_key(id)) {
            EXPECT_EQ(final_state(id), "") << "went_back: " << id << " is told twice";
            final_at_.emplace(id, now_);
        }
        keys_[w.key] = {*w.value, revision_};
        if (w.key.rfind("job/", 0) == 0 && wire::text_field(*w.value, "final") == "done") {
            std::string id = w.key.substr(4);
            EXPECT_EQ(cancelled_.count(id), 0u) << id << " was cancelled, then called done";
            for (std::uint32_t t = 0; t < specs_[id].tasks; ++t) {
                EXPECT_TRUE(done_.count({id, t})) << "not_done: " << id << "/" << t;
            }
        }
    }
    return reply;
}

// Of the table in docs/design/meetings.md, as far as leaders and holders write them.
static const char* what_of(const kvstore::Transaction& transaction) {
    bool run = false;
    for (const auto& w : transaction.writes) {
        if (w.key.rfind("job/", 0) == 0) return "end";
        if (w.key.rfind("block/", 0) == 0) return "block";
        if (w.key.rfind(autoscaling::kIntentKeyPrefix, 0) == 0) return "intent";
        run |= w.value.has_value();
    }
    return run ? "checkpoint" : "left over";
}

bool ClusterSimulation::loses_reply_of(const kvstore::Transaction& transaction) {
    if (faults_.lost_commit_replies == 0) return false;
    const std::string& of = faults_.lost_commit_replies_of;
    return (of.empty() || of == what_of(transaction)) && chance(faults_.lost_commit_replies);
}

void ClusterSimulation::Controller::commit(
    kvstore::Transaction transaction,
    std::function<void(Millis, const kvstore::CommitReply&)> done) {
    trace("commit", traced(transaction));
    ClusterSimulation& w = *simulation;
    if (!w.state_service_answers(*this) || (w.leader_leases_ && w.now_ >= leads_until) ||
        !w.take_write_budget(transaction.writes.size())) {
        kvstore::CommitReply reply;
        reply.status = kvstore::Status::refused;
        w.at(w.now_ + w.delay(10), [&w, reply, done] { done(w.now_, reply); });
        return;
    }
    const Millis held = w.send_fault();
    bool lost = held > 0 || w.chance(w.faults_.unknown_commits);
    Millis arrive =
        w.now_ + held + (held == 0 && lost && w.chance(0.5) ? w.delay(40'000) : w.delay(10));
    const bool late = arrive > w.now_ + 2'500;
    const bool at_once = !lost && w.loses_reply_of(transaction);
    lost |= at_once;
    w.at(arrive, [&w, transaction, done, lost, late, at_once] {
        kvstore::CommitReply reply;
        reply.status = kvstore::Status::refused;
        if (w.state_service_up()) reply = w.apply_transaction(transaction);
        if (at_once && reply.status == kvstore::Status::ok) {
            ++w.coverage_.lost_commit_replies[what_of(transaction)];
            if (w.on_commit_reply_lost) w.on_commit_reply_lost(what_of(transaction));
        }
        if (late)
            ++(reply.status == kvstore::Status::ok ? w.coverage_.late_commits_applied
                                                   : w.coverage_.late_commits_refused);
        if (!lost) w.at(w.now_ + w.delay(5), [&w, reply, done] { done(w.now_, reply); });
    });
    if (lost) w.at(w.now_ + 2500, [&w, done] { done(w.now_, kvstore::CommitReply{}); });
}

void ClusterSimulation::Controller::read(
    const std::string& key, std::function<void(Millis, const kvstore::GetReply&)> done) {
    trace("get", key);
    ClusterSimulation& w = *simulation;
    w.at(w.now_ + w.delay(10), [&w, this, key, done] {
        kvstore::GetReply reply;
        reply.status = kvstore::Status::refused;
        if (!w.state_service_answers(*this)) return done(w.now_, reply);
        auto it = w.keys_.find(key);
        reply.status = it == w.keys_.end() ? kvstore::Status::missing : kvstore::Status::ok;
        if (it != w.keys_.end()) reply.entry = {key, it->second.value, it->second.version, false};
        done(w.now_, reply);
    });
}

void ClusterSimulation::Controller::list(
    const std::string& prefix, std::function<void(Millis, const kvstore::ListReply&)> done) {
    trace("list", prefix);
    ClusterSimulation& w = *simulation;
    w.at(w.now_ + w.delay(10 + w.faults_.list_delay), [&w, this, prefix, done] {
        kvstore::ListReply reply;
        reply.status = kvstore::Status::refused;
        if (!w.state_service_answers(*this)) return done(w.now_, reply);
        reply.status = kvstore::Status::ok;
        for (auto& [key, stored] : w.keys_) {
            if (key.rfind(prefix, 0) != 0) continue;
            reply.entries.push_back({key, stored.value, stored.version, false});
        }
        done(w.now_, reply);
    });
}

}  // namespace nickelramp::test
