/// @file
/// Callback interfaces for changes of the cluster state. The control loop implements both and
/// dispatches the calls to the other parts of the term; tests have their own implementations. All
/// functions are called on the loop thread.
#pragma once
#include "jobs/job.h"
#include "machines/machine_registry.h"

namespace nickelramp::cluster {

/// Notifications of changes, for statistics and forecasts. They are sent in the middle of a change,
/// so an implementation must not change the cluster state.
class ClusterObserver {
  public:
    virtual ~ClusterObserver() = default;
    virtual void on_job_added(jobs::Job& job) = 0;
    /// The number of the zone's machines that are expected to send heartbeats has changed by `up`,
    /// and the number of unresponsive ones among them by `unresponsive`. Both may be negative.
    virtual void on_machine_counts_changed(Index zone, int up, int unresponsive) = 0;
    /// The machine's state, reachability or free resources may have changed. Its type is known.
    virtual void on_machine_changed(machines::Machine& machine) = 0;
    /// The machine is proven gone and is about to be destroyed.
    virtual void on_machine_gone(const machines::Machine& machine) = 0;
    /// A task of the job has started running (`begins`) or has stopped.
    virtual void on_task_running_changed(const jobs::Job& job, bool begins) = 0;
    /// The attempt was reported as running for the first time.
    virtual void on_first_run(const jobs::Job& job, const jobs::Attempt& attempt, Millis now) = 0;
    virtual void on_task_completed(const jobs::Job& job, const jobs::Attempt& attempt,
                                   Millis now) = 0;
};

/// Actions to be taken as a consequence of a change.
class ControlActions {
  public:
    virtual ~ControlActions() = default;
    /// Queues the machine's pending commands for the next send_queued_commands().
    virtual void queue_commands(machines::Machine& machine) = 0;
    /// Checks whether the job has ended or needs further actions. Called after one of its attempts
    /// has ended or one of its records was written. The ended attempt is still in the job, and the
    /// implementation must not destroy either of them.
    virtual void advance_job(jobs::Job& job, Millis now) = 0;
    /// Sends the queued commands. Called at the end of the handling of an event.
    virtual void send_queued_commands(Millis now) = 0;
    /// Also runs a scheduler pass first if ClusterState::scheduling_needed().
    virtual void schedule_if_needed(Millis now) = 0;
};

}  // namespace nickelramp::cluster
