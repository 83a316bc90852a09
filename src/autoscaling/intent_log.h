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

#include "cloud/provisioning_intent.h"
#include "cluster/cluster_observer.h"
#include "cluster/term_context.h"
#include "lease/role.h"

namespace nickelramp::autoscaling {

inline constexpr const char* kIntentKeyPrefix = "intent/";
std::string intent_key(lease::Role role, std::uint64_t term);
std::optional<std::pair<lease::Role, std::uint64_t>> parse_intent_key(const std::string& key);

using cloud::ProvisioningIntent;

wire::Json encode_intents(lease::Role role, const std::vector<ProvisioningIntent>& intents);
std::optional<std::vector<ProvisioningIntent>> decode_intents(lease::Role role,
                                                              const wire::Json& value);

class IntentLog {
  public:
    class Listener {
      public:
        virtual ~Listener() = default;
        // They are on record from now on, and may be sent.
        virtual void on_intents_recorded(lease::Role role, const std::vector<std::string>& names,
                                         Millis now) = 0;
    };
    IntentLog(cluster::TermContext& term, Listener& observer) : term_(term), listener_(observer) {}

    // An earlier term's record. What it names counts as on record; nothing when it cannot be read.
    std::vector<ProvisioningIntent> load(lease::Role role, const std::string& key,
                                         const wire::Json& value, std::uint64_t version);
    // False: the record has no room now.
    bool add(lease::Role role, ProvisioningIntent intent);
    bool is_recorded(lease::Role role, const std::string& name) const;
    // Answered: nothing of it is under way that could still do harm.
    void remove(lease::Role role, const std::string& name);
    void write(Millis now);
    std::size_t size(lease::Role role) const { return record(role).entries.size(); }

  private:
    struct Entry {
        ProvisioningIntent intent;
        bool recorded = false;
        std::uint64_t order = 0;  // in which they came: by need
    };
    // clean: as written; adding: has what may not be sent yet; tidying: only lost some
    enum class State { clean, has_removals, has_additions };
    struct Record {
        State state = State::clean;
        std::map<std::string, Entry> entries;
        std::size_t bytes = 0;
        std::uint64_t insertion_count = 0;
        std::vector<kvstore::Condition>
            inherited_records;  // records of earlier terms, to be dropped
        std::uint64_t version = 0;
        bool write_in_flight = false, uncertain = false;
        Millis next_write_at = 0, cleanup_at = 0;  // tidy_at 0: not set yet
    };
    Record& record(lease::Role role) { return records_[role == lease::Role::scale_in ? 1 : 0]; }
    const Record& record(lease::Role role) const {
        return records_[role == lease::Role::scale_in ? 1 : 0];
    }
    static void set_state(Record& r, State state) { r.state = state; }
    static void raise_state(Record& r, State state) {
        if (state > r.state) set_state(r, state);
    }
    void write(lease::Role role, Millis now);
    void reread(lease::Role role);
    void on_written(lease::Role role, const std::vector<std::string>& names, std::size_t dropped,
                    const kvstore::CommitReply& reply, Millis now);

    cluster::TermContext& term_;
    Listener& listener_;
    Record records_[2];
};

}  // namespace nickelramp::autoscaling
