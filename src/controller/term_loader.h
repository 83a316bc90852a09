/// \file
/// Reads all records that a new leader needs and puts them into its control loop.
#pragma once
#include <cstdint>
#include <memory>

#include "control/control_loop.h"
#include "controller/loop_clock.h"
#include "controller/machine_type_store.h"
#include "kvstore/client.h"
#include "net/timer.h"

namespace nickelramp::controller {

/// What the key-value store holds of earlier terms.
struct TermRecords {
    Millis requested_at = 0;  ///< When the first list, that of the open jobs, was asked for.
    kvstore::ListReply open_jobs;
    kvstore::ListReply run_records;
    kvstore::ListReply shards;
    kvstore::ListReply provisioning_intents;
};

/// Reads the records of a term, one prefix after the other. Waits until the machine types are
/// known; any failed list starts the whole read anew after a pause, until it succeeds or is
/// stopped. Runs on the loop's thread; used by TermRunner alone.
class TermLoader {
  public:
    /// Implemented by TermRunner.
    class Listener {
      public:
        virtual ~Listener() = default;
        /// Called once per `start` unless `stop` comes first.
        virtual void on_term_records(const TermRecords& records) = 0;
    };

    TermLoader(const LoopClock& clock, kvstore::Client& store_client,
               const MachineTypeStore& machine_types, Listener& listener);

    /// Begins to read at once.
    void start();
    /// Replies that are still to come are dropped.
    void stop();

  private:
    void read_all();
    void read_from(std::size_t step, const std::shared_ptr<TermRecords>& records);

    const LoopClock& clock_;
    kvstore::Client& store_client_;
    const MachineTypeStore& machine_types_;
    Listener& listener_;
    net::Timer retry_timer_;
    bool loading_ = false;
    std::uint64_t generation_ = 0;  // of starts; late replies of earlier ones are dropped
};

/// Puts the records into a control loop that has its machine types and has not been started.
/// Records that cannot be decoded are logged or, as shards, passed over.
void load_term_records(const TermRecords& records, const LoopClock& clock,
                       control::ControlLoop& control_loop);

}  // namespace nickelramp::controller
