// What users may be told of a job, confirmed by the state service. All who ask at the same time
// share one read: the changes to all jobs' records since the last one, so that the cost does not
// follow the number of questions. An answer is true of a moment after its question had come, so no
// node can give an older one than another has given before.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "jobs/records.h"
#include "wire/messages.h"

namespace nickelramp::jobs {

// What a job's own record says.
struct Told {
    std::uint64_t version = 0;
    std::uint64_t tasks = 0;
    std::optional<wire::JobStatus> final;  // done or cancelled, once it is
};
std::optional<Told> read_told(const wire::Json& record, std::uint64_t version);

// idle:     nobody waits
// pausing:  somebody waits; the next read is not due yet
// reading:  a read is under way; who comes now waits for the next one
// starting: there is no revision to read on from
enum class AnswersState { idle, pausing, reading, starting };
const char* name(AnswersState s);

class Answers {
  public:
    enum class Found { told, missing, unknown };
    using Done = std::function<void(Found, const Told&)>;

    // `gap`: between two reads. `wake`: come back at that time. `half`: records in each half.
    Answers(Records& records, Millis gap, std::function<void(Millis)> wake,
            std::size_t half = 10'000);

    // Answered once, at the first `tend` after `patience` at the latest.
    void ask(const std::string& id, Millis patience, Done done, Millis now);
    // Is there a record of the job, as far as is known without a read?
    bool knows(const std::string& id) const { return find(id) != nullptr; }
    void tend(Millis now);

    std::size_t waiting() const { return waiting_.size() + served_.size(); }
    AnswersState state() const { return state_; }

  private:
    struct Question {
        std::string id;
        Millis until;
        Done done;
    };
    // One get for all of them. Those that came while it was under way are asked for after it.
    struct LookUp {
        std::vector<Question> asked, later;
    };
    void set_state(AnswersState s);
    void go_on(Millis now);
    void read();
    void begin();
    void on_looked_up(const std::string& id, bool may_keep, const state::GetReply& r);
    void on_changes(const state::ListReply& r, Millis now);
    void look_up_all(std::vector<Question> questions);
    void look_up(const std::string& id, std::vector<Question> questions);
    void keep(const std::string& id, const Told& told);
    const Told* find(const std::string& id) const;

    Records& records_;
    const Millis gap_;
    std::function<void(Millis)> wake_;
    AnswersState state_ = AnswersState::idle;
    std::uint64_t revision_ = 0;  // what is known is true of it; 0: nothing is
    const std::size_t half_;
    std::uint64_t generation_ = 0;  // grows whenever something kept is let go
    Millis read_at_ = 0;
    std::vector<Question> waiting_;  // for the next read
    std::vector<Question> served_;   // by the one under way
    std::unordered_map<std::string, LookUp> looked_up_;
    std::unordered_map<std::string, Told> young_, old_;  // the last that were of interest
};

}  // namespace nickelramp::jobs
