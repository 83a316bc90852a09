/// @file
/// Write-ahead log of provisioning requests and releases that are about to be sent to the cloud.
/// The cloud may execute them late, after the controller that sent them has been replaced. The
/// records have this form:
///
///     intent/<role>/<term>  {intents: [[name, ...], ...]}
///
/// A machine named under `returning` is being released. The next leader places nothing on it and
/// repeats the release until it is answered, so that a late execution destroys no work. A request
/// named under `renting` is repeated under its name, which provisions nothing new and returns
/// exactly its machines. Each term has its own records and takes over those of earlier terms.
/// Records are bounded in size, and each is written at most once a second.
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
/// Returns the key of a term's record for a role (scale_out or scale_in).
std::string intent_key(lease::Role role, std::uint64_t term);
/// Returns the role and term of a record's key, or std::nullopt if the key has another form.
std::optional<std::pair<lease::Role, std::uint64_t>> parse_intent_key(const std::string& key);

using cloud::ProvisioningIntent;

/// Encodes a record in its stored form.
wire::Json encode_intents(lease::Role role, const std::vector<ProvisioningIntent>& intents);
/// Decodes a stored record. Returns std::nullopt if it is malformed.
std::optional<std::vector<ProvisioningIntent>> decode_intents(lease::Role role,
                                                              const wire::Json& value);

/// The intents of one term, for scaling out and for scaling in. The autoscaler adds and removes
/// intents, and the control loop loads those of earlier terms. Used on the loop thread for the
/// duration of the leader's term. Transactions go through the term's ServiceGateway and are retried
/// if they fail.
class IntentLog {
  public:
    class Listener {
      public:
        virtual ~Listener() = default;
        /// Called when intents have been recorded, so that their requests may be sent. `names` is
        /// in the order in which the intents were added.
        virtual void on_intents_recorded(lease::Role role, const std::vector<std::string>& names,
                                         Millis now) = 0;
    };
    /// Both must outlive the log.
    IntentLog(cluster::TermContext& term, Listener& listener) : term_(term), listener_(listener) {}

    /// Takes over an earlier term's record. Its intents count as recorded.
    /// @return the intents. Empty, after logging an error, if the record cannot be read.
    std::vector<ProvisioningIntent> load(lease::Role role, const std::string& key,
                                         const wire::Json& value, std::uint64_t version);
    /// Adds an intent, which the next write() records.
    /// @return false if the record is full.
    [[nodiscard]] bool add(lease::Role role, ProvisioningIntent intent);
    [[nodiscard]] bool is_recorded(lease::Role role, const std::string& name) const;
    /// Removes an intent that was answered: no execution of it that could do harm is outstanding.
    void remove(lease::Role role, const std::string& name);
    /// Writes the records that are due, while the lease is confirmed and a holder of the role is
    /// known. Called each tick.
    void write(Millis now);
    [[nodiscard]] std::size_t size(lease::Role role) const { return record(role).entries.size(); }

  private:
    struct Entry {
        ProvisioningIntent intent;
        bool recorded = false;
        std::uint64_t order = 0;  // of insertion, most urgent first
    };
    enum class State {
        clean,          // no unwritten changes
        has_removals,   // entries were removed, whose write may be delayed
        has_additions,  // entries were added, which must be written before they are sent
    };
    struct Record {
        State state = State::clean;
        std::map<std::string, Entry> entries;
        std::size_t bytes = 0;
        std::uint64_t insertion_count = 0;
        std::vector<kvstore::Condition> inherited_records;  // of earlier terms, to be deleted
        std::uint64_t version = 0;
        bool write_in_flight = false;
        bool uncertain = false;  // a write's outcome is unknown, so read before the next write
        Millis next_write_at = 0;
        Millis cleanup_at = 0;  // when removals are written, 0 if not set yet
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
