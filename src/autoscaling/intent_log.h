/// @file
/// Write-ahead record of what is about to be asked of the cloud. The cloud may execute a request or
/// a release late, when whoever sent it has been replaced:
///
///     intent/<role>/<term>  {intents: [[name, ...], ...]}
///
/// A machine named under `returning` is on its way out: a successor places nothing on it and
/// repeats the release until it is answered, so that a late one finds nothing to destroy. A request
/// named under `renting` is repeated by its name, which provisions nothing new and returns exactly
/// its machines. Each term has records of its own and takes over those before it. They are bounded
/// in size, and each is written once a second at the most.
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
/// The key of a term's record for a role (scale_out or scale_in).
std::string intent_key(lease::Role role, std::uint64_t term);
/// Role and term of a record's key; nothing if the key has another form.
std::optional<std::pair<lease::Role, std::uint64_t>> parse_intent_key(const std::string& key);

using cloud::ProvisioningIntent;

/// The stored form of a record.
wire::Json encode_intents(lease::Role role, const std::vector<ProvisioningIntent>& intents);
/// Reads the stored form; nothing if it is malformed.
std::optional<std::vector<ProvisioningIntent>> decode_intents(lease::Role role,
                                                              const wire::Json& value);

/// The intents of one term, for scaling out and for scaling in. Lives as long as the leader's term,
/// on the loop thread; the autoscaler adds and removes intents, and the control loop loads those of
/// earlier terms. Transactions go through the term's ServiceGateway; one that fails is repeated.
class IntentLog {
  public:
    class Listener {
      public:
        virtual ~Listener() = default;
        /// These are on record from now on, and may be sent; in the order in which they were added.
        virtual void on_intents_recorded(lease::Role role, const std::vector<std::string>& names,
                                         Millis now) = 0;
    };
    /// Both must outlive the log.
    IntentLog(cluster::TermContext& term, Listener& listener) : term_(term), listener_(listener) {}

    /// Takes over an earlier term's record. What it names counts as on record.
    /// @return the intents; none, with an error in the log, if the record cannot be read.
    std::vector<ProvisioningIntent> load(lease::Role role, const std::string& key,
                                         const wire::Json& value, std::uint64_t version);
    /// Adds an intent, to be written with the next write().
    /// @return false if the record has no room now.
    [[nodiscard]] bool add(lease::Role role, ProvisioningIntent intent);
    [[nodiscard]] bool is_recorded(lease::Role role, const std::string& name) const;
    /// The intent was answered: nothing of it is under way that could still do harm.
    void remove(lease::Role role, const std::string& name);
    /// Writes what is due, while the lease is confirmed and somebody holds the role. Called each
    /// tick.
    void write(Millis now);
    [[nodiscard]] std::size_t size(lease::Role role) const { return record(role).entries.size(); }

  private:
    struct Entry {
        ProvisioningIntent intent;
        bool recorded = false;
        std::uint64_t order = 0;  // in which they came: by need
    };
    enum class State {
        clean,          // as written
        has_removals,   // it only lost entries: that can wait
        has_additions,  // it has entries that may not be sent yet
    };
    struct Record {
        State state = State::clean;
        std::map<std::string, Entry> entries;
        std::size_t bytes = 0;
        std::uint64_t insertion_count = 0;
        std::vector<kvstore::Condition> inherited_records;  // of earlier terms, to be deleted
        std::uint64_t version = 0;
        bool write_in_flight = false;
        bool uncertain = false;  // the outcome of a write is unknown: read before the next
        Millis next_write_at = 0;
        Millis cleanup_at = 0;  // when removals are written; 0: not set yet
    };
    [[nodiscard]] Record& record(lease::Role role) {
        return records_[role == lease::Role::scale_in ? 1 : 0];
    }
    [[nodiscard]] const Record& record(lease::Role role) const {
        return records_[role == lease::Role::scale_in ? 1 : 0];
    }
    static void raise_state(Record& record, State state) {
        if (state > record.state) record.state = state;
    }
    void write(lease::Role role, Millis now);
    [[nodiscard]] static bool is_due(Record& record, Millis now);
    void commit(lease::Role role, Millis now);
    void reread(lease::Role role);
    void on_written(lease::Role role, const std::vector<std::string>& names, std::size_t deleted,
                    const kvstore::CommitReply& reply, Millis now);
    void mark_recorded(lease::Role role, const std::vector<std::string>& names, Millis now);
    void on_write_failed(lease::Role role, const kvstore::CommitReply& reply);

    cluster::TermContext& term_;
    Listener& listener_;
    Record records_[2];
};

}  // namespace nickelramp::autoscaling
