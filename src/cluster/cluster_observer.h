/// @file
/// What the cluster state and the parts around it call when something has changed. The control loop
/// implements both interfaces and passes the calls on to the parts that they concern; tests
/// implement them too. Everything is called on the loop thread.
#pragma once
#include "jobs/job.h"
#include "machines/machine_registry.h"

namespace nickelramp::cluster {

/// Changes of the cluster state, for those that sum up or forecast. Called in the middle of a
/// change: an implementation does not change the cluster state in turn.
class ClusterObserver {
  public:
    virtual ~ClusterObserver() = default;
    virtual void on_job_added(jobs::Job& job) = 0;
    /// `up` more machines of the zone (fewer, if negative) send heartbeats or should, and
    /// `unresponsive` more of them are out of reach.
    virtual void on_machine_counts_changed(Index zone, int up, int unresponsive) = 0;
    /// The machine's state, reachability or free resources may have changed; its type is known.
    virtual void on_machine_changed(machines::Machine& machine) = 0;
    /// The machine is proven gone and is about to be destroyed.
    virtual void on_machine_gone(const machines::Machine& machine) = 0;
    /// A task of the job has begun to run, or has ceased to.
    virtual void on_task_running_changed(const jobs::Job& job, bool begins) = 0;
    /// The attempt was seen running for the first time.
    virtual void on_first_run(const jobs::Job& job, const jobs::Attempt& attempt, Millis now) = 0;
    virtual void on_task_completed(const jobs::Job& job, const jobs::Attempt& attempt,
                                   Millis now) = 0;
};

/// Actions that follow from a change.
class ControlActions {
  public:
    virtual ~ControlActions() = default;
    /// There are commands for the machine; they are sent by the next send_queued_commands().
    virtual void queue_commands(machines::Machine& machine) = 0;
    /// An attempt of the job has ended, or a record of it was written: the job may be over, or have
    /// something to do. The attempt that has ended is still in the job: neither is destroyed here.
    virtual void advance_job(jobs::Job& job, Millis now) = 0;
    /// Sends what was queued. Called when the handling of one event ends.
    virtual void send_queued_commands(Millis now) = 0;
    /// The same, and a pass of the scheduler if ClusterState::scheduling_needed().
    virtual void schedule_if_needed(Millis now) = 0;
};

}  // namespace nickelramp::cluster
