/// @file
/// Manages the life cycle of the term that this controller was elected for: loading its records,
/// running its control loop, and closing it.
#pragma once
#include <cstdint>
#include <memory>
#include <string>

#include "control/control_loop.h"
#include "controller/live_service_gateway.h"
#include "controller/loop_clock.h"
#include "controller/machine_type_store.h"
#include "controller/open_job_watcher.h"
#include "controller/term_loader.h"
#include "election/election_driver.h"
#include "lease/lease_guard.h"
#include "wire/settings.h"

namespace nickelramp::controller {

/// The phases of a term:
///
///     idle      this controller does not lead
///     loading   elected; the records of earlier terms are being read
///     running   the control loop makes decisions
///     closing   the term is over; its control loop is destroyed in the next loop iteration
enum class TermPhase { idle, loading, running, closing };

/// Owns the control loop of the elected term, its gateway, and the lease guards that limit until
/// when it may act. Each phase is entered by one function only:
///
///     idle, closing -> loading     begin_loading   elected
///     loading -> running           begin_running   all records are read
///     loading, running -> closing  begin_closing   deposed or stepped down
///     closing -> idle              finish_closing  next loop iteration
///
/// Guarantees that an ended term has no further effects: late replies of the key-value store are
/// dropped, and queued requests are not sent once the lease has ended. Failures while loading are
/// retried for as long as the term lasts. Called by the election's callbacks and by Controller, on
/// the loop's thread.
class TermRunner : private TermLoader::Listener, private OpenJobWatcher::Listener {
  public:
    /// Notified when the phase or the open jobs change. Implemented by Controller.
    class Listener {
      public:
        virtual ~Listener() = default;
        /// This controller was elected, but the phase has not changed yet.
        virtual void on_term_starting() = 0;
        /// The control loop was created and has the machine types, but no records are loaded yet.
        virtual void on_control_loop_created(control::ControlLoop& control_loop) = 0;
        /// All records are loaded, but the control loop has not been started.
        virtual void on_term_loaded(control::ControlLoop& control_loop) = 0;
        /// The control loop has been started and the open jobs are watched, unless the term has
        /// already ended.
        virtual void on_term_started() = 0;
        /// The term is over. Its control loop exists until the next loop iteration.
        virtual void on_term_ended() = 0;
        /// Open jobs have changed, and the control loop has processed the changes.
        virtual void on_open_jobs_applied() = 0;
    };

    /// All must outlive the TermRunner. The constructor only stores references.
    struct Dependencies {
        const wire::Settings& settings;
        const LoopClock& clock;
        LiveServiceGateway::Services services;
        election::ElectionDriver& election;
        const MachineTypeStore& machine_types;
    };

    TermRunner(const Dependencies& dependencies, Listener& listener);

    /// Starts a term that this controller was elected for. `version` is that of the term's key,
    /// which is the condition of every transaction of the term.
    void begin_loading(std::uint64_t term, std::uint64_t version);
    /// Ends the term. Does nothing when idle.
    void begin_closing();
    /// Records that the leader's lease is valid until `until`, in the loop's time.
    void confirm_lease_until(Millis until);

    [[nodiscard]] TermPhase phase() const { return phase_; }
    [[nodiscard]] bool running() const { return phase_ == TermPhase::running; }
    /// Returns the number of the last term that this controller was elected for, or 0 if none.
    [[nodiscard]] std::uint64_t term() const { return term_; }
    /// Returns null while idle and until the records are read. Not null while a running term
    /// closes.
    [[nodiscard]] control::ControlLoop* control_loop() const { return control_loop_.get(); }
    /// Returns null unless the term runs.
    [[nodiscard]] control::ControlLoop* running_control_loop() const {
        return running() ? control_loop_.get() : nullptr;
    }
    /// Returns the loop's time up to which every recorded cancellation is known.
    [[nodiscard]] Millis cancellations_known_until() const { return cancellations_known_until_; }

    /// Returns the lease under which the leader schedules. Its fence is the term. Empty while idle
    /// or closing.
    [[nodiscard]] lease::Lease scheduling_lease() const;
    [[nodiscard]] const lease::LeaseGuard<lease::Scheduling>& scheduling_guard() const {
        return scheduling_guard_;
    }
    /// Returns whether the leader's heartbeat replies may still renew leases of workers.
    [[nodiscard]] bool may_renew_leases() const { return responding_guard_.prove().has_value(); }

  private:
    void begin_running(const TermRecords& records);
    void finish_closing();
    void create_control_loop(const TermRecords& records);
    [[nodiscard]] lease::Lease responding_lease() const;

    void on_term_records(const TermRecords& records) override { begin_running(records); }
    void on_open_jobs_listed(const kvstore::ListReply& all) override;
    void on_open_jobs_changed(const std::vector<kvstore::Entry>& changes) override;
    void on_cancellations_known(Millis until) override;

    const wire::Settings& settings_;
    const LoopClock& clock_;
    const LiveServiceGateway::Services services_;
    election::ElectionDriver& election_;
    const MachineTypeStore& machine_types_;
    Listener& listener_;

    TermPhase phase_ = TermPhase::idle;
    std::uint64_t term_ = 0;
    std::uint64_t term_version_ = 0;
    Millis cancellations_known_until_ = 0;
    lease::LeaseGuard<lease::Scheduling> scheduling_guard_;
    lease::LeaseGuard<lease::Responding> responding_guard_;
    LiveServiceGateway gateway_;
    std::unique_ptr<control::ControlLoop> control_loop_;
    TermLoader loader_;
    OpenJobWatcher open_job_watcher_;
    net::Timer close_timer_;
};

}  // namespace nickelramp::controller
