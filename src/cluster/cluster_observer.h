// What the book and the parts around it say upwards; whoever puts the parts together passes it on
// to those that it concerns.
#pragma once
#include "jobs/job.h"
#include "machines/machine_registry.h"

namespace nickelramp::cluster {

// Changes of the book.
class ClusterObserver {
  public:
    virtual ~ClusterObserver() = default;
    virtual void on_job_added(jobs::Job& job) = 0;
    // So many machines more or less report in the zone, and so many of them are silent.
    virtual void on_machine_counts_changed(Index zone, int up, int silent) = 0;
    virtual void on_machine_changed(machines::Machine& machine) = 0;
    virtual void on_machine_gone(const machines::Machine& machine) = 0;
    // A task of it has begun to run, or has ceased to.
    virtual void on_task_running_changed(const jobs::Job& job, bool begins) = 0;
    virtual void on_first_run(const jobs::Job& job, const jobs::Attempt& attempt, Millis now) = 0;
    virtual void on_task_completed(const jobs::Job& job, const jobs::Attempt& attempt,
                                   Millis now) = 0;
};

// What follows once a change is made.
class ControlActions {
  public:
    virtual ~ControlActions() = default;
    // The machine has something to be sent, at the end of this turn.
    virtual void queue_commands(machines::Machine& machine) = 0;
    // Something of the job has ended or is on record: it may be over, or have something to do.
    virtual void advance_job(jobs::Job& job, Millis now) = 0;
    // The turn ends: what waits to be sent goes out.
    virtual void send_queued_commands(Millis now) = 0;
    // The same, and what found no place is looked at again, if anything has changed.
    virtual void schedule_if_needed(Millis now) = 0;
};

}  // namespace nickelramp::cluster
