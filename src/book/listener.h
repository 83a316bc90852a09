// What the book and the parts around it say upwards; whoever puts the parts together passes it on
// to those that it concerns.
#pragma once
#include "jobs/job.h"
#include "workers/roster.h"

namespace nickelramp::book {

// Changes of the book.
class Listener {
  public:
    virtual ~Listener() = default;
    virtual void job_entered(jobs::Job& j) = 0;
    // So many machines more or less report in the zone, and so many of them are silent.
    virtual void machines_counted(Index zone, int up, int silent) = 0;
    virtual void machine_changed(workers::Machine& m) = 0;
    virtual void machine_gone(const workers::Machine& m) = 0;
    // A task of it has begun to run, or has ceased to.
    virtual void runs(const jobs::Job& j, bool begins) = 0;
    virtual void first_run(const jobs::Job& j, const jobs::Attempt& a, Millis now) = 0;
    virtual void completed(const jobs::Job& j, const jobs::Attempt& a, Millis now) = 0;
};

// What follows once a change is made.
class Turn {
  public:
    virtual ~Turn() = default;
    // The machine has something to be sent, at the end of this turn.
    virtual void has_commands(workers::Machine& m) = 0;
    // Something of the job has ended or is on record: it may be over, or have something to do.
    virtual void job_moved(jobs::Job& j, Millis now) = 0;
    // The turn ends: what waits to be sent goes out.
    virtual void flush(Millis now) = 0;
    // The same, and what found no place is looked at again, if anything has changed.
    virtual void settle(Millis now) = 0;
};

}  // namespace nickelramp::book
