// Calls of controllers to the key-value store, and the leader's watch of open records.
#include <algorithm>

#include "tests/cluster_simulation_controller.h"

namespace nickelramp::test {

using wire::Json;

namespace {
constexpr const char* kJobKeyPrefix = "job/";
constexpr Millis kMaxRequestDelay = 10, kMaxReplyDelay = 5, kMaxWatchDelay = 20;
constexpr Millis kCommitTimeout = 2'500, kMaxLateCommitDelay = 40'000;
constexpr Millis kNotificationRetryDelay = 500;
}  // namespace

// --- Effects of an applied transaction.

void ClusterSimulation::on_record_write(const std::string& key, const Json& value) {
    if (key.rfind(kJobKeyPrefix, 0) != 0) return;
    const std::string id = key.substr(std::string(kJobKeyPrefix).size());
    const std::string state = wire::text_field(value, "final").value_or("");
    if (state == "withdrawn") {
        cancellations_confirmed_while_old_leaders_respond_ +=
            std::any_of(controllers_.begin(), controllers_.end(), [&](const auto& controller) {
                return controller->control_loop && controller->term < term_ &&
                       may_respond(*controller);
            });
    }
    checker_.check_final_state(id, final_state(id), state);
}

void ClusterSimulation::on_record_delete(const std::string& key) {
    const std::string id = jobs::job_id_of_open_key(key);
    if (id.empty()) return;
    const Millis max_delay = context_.faults.deletion_notice_delay;
    const Millis extra = max_delay > 0 ? context_.delay(max_delay) : 0;
    const Millis notified_at = std::max(watch_delivery_time(), watch_resumes_at_) + extra;
    context_.at(notified_at, [this, id, deleted_at = now()] {
        // A deletion that the watch has missed is covered by the list that was read afterwards.
        const bool watched = deleted_at >= open_records_listed_at_ && now() >= watch_lost_until_;
        if (leader() != nullptr && watched) leader()->on_open_record_deleted(id, now());
    });
}

// --- The watch.

// Returns when the leader receives a change that is made now.
Millis ClusterSimulation::watch_delivery_time() {
    const Millis delay = context_.faults.watch_delay;
    const Millis time = now() + context_.delay(kMaxWatchDelay + delay);
    if (delay == 0) return time;
    watch_delivered_at_ = std::max(watch_delivered_at_, time);
    return watch_delivered_at_;
}

void ClusterSimulation::notify_leader(const std::string& key, Millis after) {
    context_.at(after + watch_delivery_time(), [this, key] {
        const auto* stored = store_.find(key);
        if (leader() == nullptr || stored == nullptr || now() < watch_lost_until_) return;
        const Controller& controller = *leading_controller();
        if (!state_service_answers(controller) || now() < controller.frozen_until ||
            now() < watch_resumes_at_)
            return notify_leader(key, kNotificationRetryDelay);
        leader()->on_open_record(*jobs::decode_open_record(stored->value), stored->version, now(),
                                 now());
        leader()->tick(now());
    });
}

void ClusterSimulation::interrupt_watch(Millis length) {
    watch_lost_until_ = now() + length;
    context_.at(watch_lost_until_, [this] {
        if (leader() != nullptr) leader()->on_open_list(store_.open_records(), now(), now());
    });
}

void ClusterSimulation::reload_open_records(Millis after) {
    open_records_listed_at_ = now();
    watch_resumes_at_ = std::max(watch_resumes_at_, now() + after);
    context_.after(after, [this, all = store_.open_records(), term = term_] {
        if (leader() != nullptr && term == term_) leader()->on_open_list(all, now(), now());
    });
}

// --- Calls to the store.

bool ClusterSimulation::loses_reply_of(const kvstore::Transaction& transaction) {
    const Faults& faults = context_.faults;
    if (faults.lost_commit_replies == 0) return false;
    const std::string& of = faults.lost_commit_replies_of;
    return (of.empty() || of == commit_kind(transaction)) &&
           context_.chance(faults.lost_commit_replies);
}

ClusterSimulation::CommitDelivery ClusterSimulation::commit_delivery(
    const kvstore::Transaction& transaction) {
    CommitDelivery delivery;
    const Millis held = send_fault();
    delivery.lost = held > 0 || context_.chance(context_.faults.unknown_commits);
    const bool slow = held == 0 && delivery.lost && context_.chance(0.5);
    delivery.arrive_at =
        now() + held + context_.delay(slow ? kMaxLateCommitDelay : kMaxRequestDelay);
    delivery.late = delivery.arrive_at > now() + kCommitTimeout;
    delivery.only_reply_is_lost = !delivery.lost && loses_reply_of(transaction);
    delivery.lost |= delivery.only_reply_is_lost;
    return delivery;
}

void ClusterSimulation::apply_commit(
    const kvstore::Transaction& transaction, const CommitDelivery& delivery,
    const std::function<void(Millis, const kvstore::CommitReply&)>& done) {
    kvstore::CommitReply reply;
    reply.status = kvstore::Status::refused;
    if (store_.up()) reply = store_.commit(transaction);
    const bool applied = reply.status == kvstore::Status::ok;
    Coverage& coverage = context_.coverage;
    if (delivery.only_reply_is_lost && applied) {
        ++coverage.lost_commit_replies[commit_kind(transaction)];
        if (on_commit_reply_lost) on_commit_reply_lost(commit_kind(transaction));
    }
    if (delivery.late) ++(applied ? coverage.late_commits_applied : coverage.late_commits_refused);
    if (delivery.lost) return;
    if (reply.status != kvstore::Status::refused) repeat_transaction(transaction);
    context_.after(context_.delay(kMaxReplyDelay), [this, reply, done] { done(now(), reply); });
}

// Delivers copies of a transaction that the store has answered.
void ClusterSimulation::repeat_transaction(const kvstore::Transaction& transaction) {
    repeater_.on_answered("transactions", [this, transaction] {
        if (!store_.up()) return;
        if (store_.commit(transaction).status == kvstore::Status::ok)
            ++context_.coverage.repeated_commits_applied[commit_kind(transaction)];
    });
}

void ClusterSimulation::Controller::commit(
    kvstore::Transaction transaction,
    std::function<void(Millis, const kvstore::CommitReply&)> done) {
    trace("commit", traced(transaction));
    ClusterSimulation& owner = simulation;
    SimulationContext& context = owner.context_;
    const bool may_write = !owner.leader_leases_ || context.now() < leads_until;
    if (!owner.state_service_answers(*this) || !may_write ||
        !owner.store_.take_write_budget(transaction.writes.size())) {
        context.after(context.delay(kMaxRequestDelay), [&context, done] {
            kvstore::CommitReply reply;
            reply.status = kvstore::Status::refused;
            done(context.now(), reply);
        });
        return;
    }
    const CommitDelivery delivery = owner.commit_delivery(transaction);
    context.at(delivery.arrive_at, [&owner, transaction, delivery, done] {
        owner.apply_commit(transaction, delivery, done);
    });
    if (delivery.lost) {
        context.after(kCommitTimeout,
                      [&context, done] { done(context.now(), kvstore::CommitReply{}); });
    }
}

void ClusterSimulation::Controller::read(
    const std::string& key, std::function<void(Millis, const kvstore::GetReply&)> done) {
    trace("get", key);
    SimulationContext& context = simulation.context_;
    context.after(context.delay(kMaxRequestDelay), [this, &context, key, done] {
        kvstore::GetReply reply;
        reply.status = kvstore::Status::refused;
        if (!simulation.state_service_answers(*this)) return done(context.now(), reply);
        const auto* stored = simulation.store_.find(key);
        reply.status = stored == nullptr ? kvstore::Status::missing : kvstore::Status::ok;
        if (stored != nullptr) reply.entry = {key, stored->value, stored->version, false};
        done(context.now(), reply);
    });
}

void ClusterSimulation::Controller::list(
    const std::string& prefix, std::function<void(Millis, const kvstore::ListReply&)> done) {
    trace("list", prefix);
    SimulationContext& context = simulation.context_;
    const Millis wait = context.delay(kMaxRequestDelay + context.faults.list_delay);
    context.after(wait, [this, &context, prefix, done] {
        kvstore::ListReply reply;
        reply.status = kvstore::Status::refused;
        if (simulation.state_service_answers(*this)) reply = simulation.store_.list(prefix);
        done(context.now(), reply);
    });
}

}  // namespace nickelramp::test
