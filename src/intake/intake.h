// Jobs enter, are cancelled, finish and leave: what a job's own date brings, and the transaction
// that tells its user of its end.
#pragma once
#include <string>
#include <vector>

#include "book/book.h"
#include "checkpoint/checkpoints.h"

namespace nickelramp::intake {

class Intake {
  public:
    Intake(book::Term& term, book::Book& book, checkpoint::Checkpoints& checkpoints)
        : term_(term), book_(book), checkpoints_(checkpoints) {}

    void on_open_record(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                        Millis now);
    // The job is over, as the watch tells: also where this book took its records for those of one
    // that waits. An open record is written anew for no id, so what is dropped never comes back.
    void on_open_dropped(const std::string& id, Millis now);
    // A job's run record, found in the state service.
    void load_run(const std::string& id, std::uint32_t chunk, const jobs::RunRecord& record,
                  std::uint64_t version, std::uint64_t token, Millis now);
    void load_runs(const state::ListReply& runs, std::uint64_t token, Millis now);
    void complete_load(jobs::Job& j, Millis now);
    void cancel(jobs::Job& j, Millis now);
    // Is it over, and what does it do next by itself?
    void move_on(jobs::Job& j, Millis now);
    // Sets the date by which the job has something to do by itself.
    void attend(jobs::Job& j, Millis now);
    void tend_jobs(Millis now);
    void drop_leftovers(Millis now);

  private:
    void tend(jobs::Job& j, Millis now);
    void maybe_finish(jobs::Job& j, Millis now);
    void finish(jobs::Job& j, Millis now);
    void on_finish(const std::string& id, const std::vector<std::string>& rest,
                   const state::CommitReply& reply, Millis now);

    book::Term& term_;
    book::Book& book_;
    checkpoint::Checkpoints& checkpoints_;
    std::vector<std::string> leftovers_;  // run records of finished jobs to delete
    Millis retry_leftovers_at_ = 0;
};

}  // namespace nickelramp::intake
