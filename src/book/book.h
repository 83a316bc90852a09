// The book of one term: jobs, attempts and machines, and the only functions that change their
// states. What may hold a place counts here from the start's recording until it is proven gone. It
// decides nothing: the parts around it read it and call it. It owns no sockets and reads no clock.
#pragma once
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/agenda.h"
#include "base/names.h"
#include "book/guarantee.h"
#include "book/listener.h"
#include "book/term.h"
#include "jobs/job.h"
#include "placing/openings.h"
#include "placing/placer.h"
#include "workers/roster.h"

namespace nickelramp::book {

using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using workers::Machine;
using workers::MachineState;

struct TeamUse {
    double cpus = 0, gpus = 0;              // in use, from the start's sending until proven gone
    double array_cpus = 0, array_gpus = 0;  // of that, what arrays have
};

class Book {
  public:
    Book(Term& term, Listener& listener, Turn& turn, Millis now);

    // --- reading
    const std::vector<wire::MachineType>& types() const { return types_; }
    const Names& type_names() const { return type_names_; }
    const Names& zones() const { return zone_names_; }
    const Names& classes() const { return class_names_; }
    const wire::Team& team_rule(Index team) const { return team_rules_[team]; }
    const TeamUse& team_use(Index team) const { return team_use_[team]; }
    // The gang for which what comes free in the team's limit is gathered; null: none.
    const Job* gathers(Index team) const;
    void gather(const Job& gang, Millis now);
    void gather_no_more(const Job& gang);
    // A team gathers for so long in one go, whichever gangs it is for, and then pauses.
    bool may_gather(Index team, Millis now) const;
    void pause_gathering(const Job& gang, Millis now);
    void end_gathering(Millis now);  // where that is over

    using Jobs = std::unordered_map<std::string, std::unique_ptr<Job>>;
    const Jobs& jobs() const { return jobs_; }
    Job* job(const std::string& id) const;
    Job* job_at(Index i) const { return slots_[i]; }  // null: no job has the slot now
    Job& job_of(const Attempt& a) const { return *slots_[a.job]; }
    // Jobs that want places, and at times some that have just got the last.
    const std::vector<Index>& waiting() const { return waiting_; }
    std::vector<std::uint32_t> live_by_zone(const Job& j) const;  // its tasks

    const workers::Roster& roster() const { return roster_; }
    const std::vector<Machine*>& machines() const { return roster_.all(); }
    Machine* machine(const std::string& name) const { return roster_.find(name); }
    Machine* machine_at(Index i) const { return roster_.at(i); }
    Machine* machine_of(const Attempt& a) const {
        return a.machine == kNone ? nullptr : roster_.at(a.machine);
    }
    // Leases that earlier terms may have given are over by then.
    Millis inherited_lease_until() const { return inherited_lease_until_; }
    bool buried(const std::string& name) const { return roster_.buried(name); }
    std::string kind_of(const Machine& m) const;  // for the log
    const placing::Openings& openings() const { return openings_; }
    const std::set<Index>& coming() const { return coming_; }        // booting or joining
    const std::set<Index>& returning() const { return returning_; }  // to be given back
    const std::set<Index>& silent() const { return silent_; }        // silent or deaf
    const std::vector<std::uint32_t>& machines_in() const { return machines_in_; }  // by zone
    const std::vector<std::string>& troubled() const { return troubled_; }  // a holder's machines

    // Can a report without the attempt be believed? Not while a start of it may still arrive.
    static bool settled(const Attempt& a, const Machine& m) {
        return m.contact.token() > a.token || a.answered_seq != 0 ||
               m.contact.newest().session > a.session;
    }

    // Has anything changed that the schedule depends on?
    bool changed() const { return changed_; }
    void touch() { changed_ = true; }
    void looked_at() { changed_ = false; }

    // --- what is there
    void load_types(const std::vector<wire::MachineType>& types);
    Index zone(const std::string& name) { return zone_names_.add(name); }
    // A machine that the book did not have: a late hire, another term's, or one named by a record.
    Machine* adopt(const std::string& name, Millis now);
    void identify(Machine& m, const std::string& address, const std::string& type,
                  const std::string& zone, bool spot);
    Job& add(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
             Millis now);
    // A checkpoint read again: what it names counts until proven gone. Only a report under a token
    // beyond this one can show that it is not there.
    void load_run(Job& j, std::uint32_t chunk, const jobs::RunRecord& record, std::uint64_t version,
                  std::uint64_t token, Millis now);
    void loaded(Job& j);  // that was the last of its records

    // --- jobs
    void set_job_state(Job& j, jobs::JobState s);
    void cancel(Job& j, Millis now);
    void want_places(Job& j);  // it joins the list of those that the schedule looks at
    // Takes those off the list that have nothing to start.
    void prune_waiting();
    // Forgets a finished job when no attempt of it is left on any machine.
    void drop(const std::string& id);
    // All of it counts against its team until it is over or back.
    void lend(Job& j, Index block);
    void unlend(Job& j);
    // Gives a job that comes back its records anew.
    void reread(Job& j);
    void remind(const Job& j, Millis at) { job_agenda_.by(j.index, at); }
    std::vector<Index> due_jobs(Millis now) { return due(job_agenda_, now); }

    // --- attempts
    Attempt* place(Job& j, std::uint32_t task, std::uint32_t number, Machine& m, Millis now);
    // The transaction with this number names it, or does not after all.
    void carried(Attempt& a, std::uint64_t commit);
    void not_carried(Attempt& a);
    void recorded(Attempt& a, Millis now);
    void sent(Attempt& a, const Machine& m, Millis now);
    void never_arrived(Attempt& a, Millis now);
    void see(Attempt& a, const wire::TaskReport& t, Machine& m, Millis now);
    void proven_gone(Attempt& a, Millis now);
    void want_gone(Attempt& a, double grace_s, Millis now);
    void stop_all(Job& j, Millis now);
    void stop_saving(Attempt& a, Millis now);  // the whole gang, if it is of one
    void drain_attempt(Attempt& a, Millis now);

    // --- machines
    void set_machine_state(Machine& m, MachineState s);
    void set_hearing(Machine& m, workers::Hearing h);
    void up(Machine& m, Millis now);
    // Known from reports of unknown age only: nobody counts on it.
    void set_strange(Machine& m, bool strange);
    std::size_t strangers() const { return strangers_; }
    // This book answers for it from here on, under that token.
    void charge(Machine& m, std::uint64_t token, Millis reached);
    void raise_token(Machine& m, std::uint64_t token, Millis now);
    // In a zone that goes dark nothing is placed on machines that are not heard again.
    void set_shaded(Machine& m, bool shaded);
    void reserve(Machine& m, Job& j, Millis until);
    void drop_reservation(Machine& m);
    void give_back(Machine& m, const char* why);
    // It gets nothing more. Whoever can save does so in time, replicas move, and the rest goes on
    // until its end.
    void drain(Machine& m, const std::string& why, Millis now);
    void machine_gone(Machine& m, Millis now);
    void remind(const Machine& m, Millis at) { machine_agenda_.by(m.index, at); }
    std::vector<Index> due_machines(Millis now) { return due(machine_agenda_, now); }

  private:
    void set_attempt_state(Attempt& a, AttemptState s, Millis now);
    void occupy(Attempt& a, Job& j, Machine& m);
    void release(Attempt& a, Job& j);
    void use(const Job& j, double tasks);  // of its team's limit
    void refresh(Machine& m);
    bool link_start(Job& j, Attempt& a);
    void exited(Attempt& a, wire::ExitCause cause, Millis now);
    void over(Job& j, Attempt& a, Millis now);
    void requeue(Job& j, const Attempt& a);
    void erase(Attempt& a);
    void stop_each(Job& j, double grace_s, Millis now);
    void break_gang(Job& j, Millis now);
    void note_error(Job& j, const Attempt& a, Machine& m, Millis now);
    void add_team(const wire::Team& rule);
    static std::vector<Index> due(Agenda& agenda, Millis now);

    Term& term_;
    Listener& listener_;
    Turn& turn_;
    bool changed_ = true;
    Millis inherited_lease_until_;

    Names type_names_, zone_names_, image_names_, team_names_, class_names_;
    std::vector<wire::MachineType> types_;
    std::vector<wire::Team> team_rules_;
    std::vector<TeamUse> team_use_;
    struct Gathering {
        Index gang = kNone;
        Millis since = -kNever;  // this spell's beginning
    };
    std::vector<Gathering> gathering_;                    // by team
    std::vector<std::unique_ptr<Guarantee>> guarantees_;  // by team

    Jobs jobs_;
    std::vector<Job*> slots_;
    std::vector<Index> free_slots_;
    std::vector<Index> waiting_;
    Agenda job_agenda_;

    workers::Roster roster_;
    placing::Openings openings_;
    Agenda machine_agenda_;
    std::set<Index> coming_, returning_, silent_;
    std::size_t strangers_ = 0;
    std::vector<std::uint32_t> machines_in_;
    std::vector<std::string> troubled_;
};

}  // namespace nickelramp::book
