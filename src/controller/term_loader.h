/// @file
/// Reads all records that a new leader needs and loads them into its control loop.
#pragma once
#include <cstdint>
#include <memory>

#include "control/control_loop.h"
#include "controller/loop_clock.h"
#include "controller/machine_type_store.h"
#include "kvstore/client.h"
#include "net/timer.h"

namespace nickelramp::controller {

/// The records of earlier terms in the key-value store.
struct TermRecords {
    Millis requested_at = 0;  ///< When the first list, that of the open jobs, was requested.
    kvstore::ListReply open_jobs;
    kvstore::ListReply run_records;
    kvstore::ListReply shards;
    kvstore::ListReply provisioning_intents;
};

/// Reads the records for a term, one prefix after the other. Waits until the machine types are
/// known. If any list fails, the whole read is restarted after a pause, until it succeeds or is
/// stopped. Runs on the loop's thread; used only by TermRunner.
class TermLoader {
  public:
    /// Implemented by TermRunner.
    class Listener {
      public:
        virtual ~Listener() = default;
        /// Called once per `start`, unless `stop` is called before.
        virtual void on_term_records(const TermRecords& records) = 0;
    };

    TermLoader(const LoopClock& clock, kvstore::Client& store_client,
               const MachineTypeStore& machine_types, Listener& listener);

    /// Starts reading at once.
    void start();
    /// Stops reading. Replies that arrive later are dropped.
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
    std::uint64_t generation_ = 0;  // incremented by start and stop to drop late replies
};

/// Loads the records into a control loop that has its machine types and has not been started. Job
/// and run records that cannot be decoded are logged and skipped. Such shards are skipped without a
/// log line.
void load_term_records(const TermRecords& records, const LoopClock& clock,
                       control::ControlLoop& control_loop);

}  // namespace nickelramp::controller
