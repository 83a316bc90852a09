#include "controller/term_runner.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/rate_limits.h"

namespace nickelramp::controller {

TermRunner::TermRunner(const Dependencies& dependencies, Listener& listener)
    : settings_(dependencies.settings),
      clock_(dependencies.clock),
      services_(dependencies.services),
      election_(dependencies.election),
      machine_types_(dependencies.machine_types),
      listener_(listener),
      scheduling_guard_(LoopClock::steady_now, [this] { return scheduling_lease(); }),
      responding_guard_(LoopClock::steady_now, [this] { return responding_lease(); }),
      gateway_(services_, scheduling_guard_, responding_guard_,
               [this](const std::string& reason) { election_.step_down(reason, 0); }),
      loader_(clock_, services_.state, machine_types_, *this),
      open_job_watcher_(clock_, services_.state, *this),
      close_timer_(clock_.loop(), [this] { finish_closing(); }) {}

lease::Lease TermRunner::scheduling_lease() const {
    if (phase_ != TermPhase::loading && phase_ != TermPhase::running) return {};
    return {term_, election_.lease_valid_until()};
}

lease::Lease TermRunner::responding_lease() const {
    if (phase_ != TermPhase::running) return {};
    return {term_, cancellations_known_until_ + control_loop_->max_response_window()};
}

void TermRunner::begin_loading(std::uint64_t term, std::uint64_t version) {
    term_ = term;
    term_version_ = version;
    close_timer_.stop();
    services_.state.set_limits(store_rate_limits(settings_, true));
    listener_.on_term_starting();
    control_loop_.reset();
    services_.worker_connections.clear();
    phase_ = TermPhase::loading;
    services_.role_manager.start_leading(term, {election::kTermKey, version}, election_.lease_id(),
                                         clock_.now());
    loader_.start();
}

void TermRunner::begin_running(const TermRecords& records) {
    create_control_loop(records);
    phase_ = TermPhase::running;
    listener_.on_term_loaded(*control_loop_);
    control_loop_->confirm_lease_until(election_.lease_valid_until());
    for (const lease::Role role : lease::kAllRoles) {
        control_loop_->set_role_fence(role, services_.role_manager.assigner().known_fence(role));
    }
    control_loop_->start(clock_.now());
    if (running()) open_job_watcher_.start(records.open_jobs.revision);
    listener_.on_term_started();
}

void TermRunner::create_control_loop(const TermRecords& records) {
    cancellations_known_until_ = records.requested_at;
    control_loop_ = std::make_unique<control::ControlLoop>(
        settings_, control::TermInfo{term_, election::kTermKey, term_version_}, gateway_,
        clock_.now());
    control_loop_->set_machine_types(machine_types_.types());
    listener_.on_control_loop_created(*control_loop_);
    load_term_records(records, clock_, *control_loop_);
    spdlog::info("term loaded: term={} open_jobs={} run_records={} shards={}", term_,
                 records.open_jobs.entries.size(), records.run_records.entries.size(),
                 records.shards.entries.size());
}

void TermRunner::begin_closing() {
    if (phase_ == TermPhase::idle) return;
    loader_.stop();
    open_job_watcher_.stop();
    services_.role_manager.stop_leading();
    services_.state.set_limits(store_rate_limits(settings_, false));
    phase_ = TermPhase::closing;
    listener_.on_term_ended();
    // The control loop is destroyed later because one of its functions may be on the stack.
    close_timer_.after(0);
}

void TermRunner::finish_closing() {
    control_loop_.reset();
    services_.worker_connections.clear();
    phase_ = TermPhase::idle;
}

void TermRunner::confirm_lease_until(Millis until) {
    if (control_loop_) control_loop_->confirm_lease_until(until);
}

void TermRunner::on_open_jobs_listed(const kvstore::ListReply& all) {
    control_loop_->on_open_list(all, LoopClock::wall_ms(), clock_.now());
}

void TermRunner::on_open_jobs_changed(const std::vector<kvstore::Entry>& changes) {
    for (const kvstore::Entry& entry : changes) {
        if (entry.deleted) {
            control_loop_->on_open_record_deleted(jobs::job_id_of_open_key(entry.key),
                                                  clock_.now());
        } else if (const auto record = jobs::decode_open_record(entry.value)) {
            control_loop_->on_open_record(*record, entry.version, LoopClock::wall_ms(),
                                          clock_.now());
        }
    }
    control_loop_->tick(clock_.now());
    if (running()) listener_.on_open_jobs_applied();
}

// The time advances only while this controller's lease is certainly valid. Once another controller
// may lead, replies of this one must not renew a worker's lease beyond the time at which the new
// leader assumes that the last leases of its predecessor have ended.
void TermRunner::on_cancellations_known(Millis until) {
    if (LoopClock::steady_now() < election_.lease_valid_until())
        cancellations_known_until_ = std::max(cancellations_known_until_, until);
}

}  // namespace nickelramp::controller
