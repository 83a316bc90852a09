// What is about to be asked of the cloud, on record before it is sent. The cloud may execute a
// rental or a return late, when whoever asked is long replaced:
//
//   intent/<duty>/<term>  {intents: [[name, ...], ...]}
//
// A machine named under `returning` is on its way out: a successor places nothing on it and repeats
// the return until it is answered, so that a late one finds nothing to destroy. A rental named
// under `renting` is repeated by its name, which rents nothing new and gives exactly its machines.
// Each term has records of its own and takes over those before it. They are bounded, and written a
// record a second at the most.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "book/listener.h"
#include "book/term.h"
#include "duties/duty.h"

namespace nickelramp::duties {

inline constexpr const char* kIntentPrefix = "intent/";
std::string intent_key(Duty d, std::uint64_t term);
std::optional<std::pair<Duty, std::uint64_t>> parse_intent_key(const std::string& key);

struct Intent {
    std::string name;  // of the rental, or of the machine
    std::string type, zone;
    bool spot = false;
    std::uint32_t count = 0;  // these only of a rental
};
wire::Json intents_record(Duty d, const std::vector<Intent>& intents);
std::optional<std::vector<Intent>> read_intents(Duty d, const wire::Json& value);

class Intents {
  public:
    class Listener {
      public:
        virtual ~Listener() = default;
        // They are on record from now on, and may be sent.
        virtual void on_record(Duty d, const std::vector<std::string>& names, Millis now) = 0;
    };
    Intents(book::Term& term, Listener& listener) : term_(term), listener_(listener) {}

    // An earlier term's record. What it names counts as on record; nothing when it cannot be read.
    std::vector<Intent> load(Duty d, const std::string& key, const wire::Json& value,
                             std::uint64_t version);
    // False: the record has no room now.
    bool add(Duty d, Intent intent);
    bool on_record(Duty d, const std::string& name) const;
    // Answered: nothing of it is under way that could still do harm.
    void settled(Duty d, const std::string& name);
    void commit(Millis now);
    std::size_t size(Duty d) const { return record(d).entries.size(); }

  private:
    struct Entry {
        Intent intent;
        bool written = false;
        std::uint64_t order = 0;  // in which they came: by need
    };
    // clean: as written; adding: has what may not be sent yet; tidying: only lost some
    enum class State { clean, tidying, adding };
    struct Record {
        State state = State::clean;
        std::map<std::string, Entry> entries;
        std::size_t bytes = 0;
        std::uint64_t added = 0;
        std::vector<state::Condition> inherited;  // records of earlier terms, to be dropped
        std::uint64_t version = 0;
        bool in_flight = false, uncertain = false;
        Millis next_at = 0, tidy_at = 0;  // tidy_at 0: not set yet
    };
    Record& record(Duty d) { return records_[d == Duty::returning ? 1 : 0]; }
    const Record& record(Duty d) const { return records_[d == Duty::returning ? 1 : 0]; }
    static void set_state(Record& r, State s) { r.state = s; }
    static void worse(Record& r, State s) {
        if (s > r.state) set_state(r, s);
    }
    void commit(Duty d, Millis now);
    void reread(Duty d);
    void on_commit(Duty d, const std::vector<std::string>& names, std::size_t dropped,
                   const state::CommitReply& reply, Millis now);

    book::Term& term_;
    Listener& listener_;
    Record records_[2];
};

}  // namespace nickelramp::duties
