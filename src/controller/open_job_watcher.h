/// @file
/// Watches the records of open jobs in the key-value store for the leader.
#pragma once
#include <cstdint>
#include <vector>

#include "controller/loop_clock.h"
#include "kvstore/client.h"
#include "net/timer.h"

namespace nickelramp::controller {

/// Watches the prefix `open/` while a term runs. Each watch is short, so that the time up to which
/// all cancellations are known advances every two seconds. If a watch has fallen behind the changes
/// that the store retains, or its reply cannot be read, all open jobs are listed instead. Failed
/// calls are retried after a pause. Runs on the loop's thread; used only by TermRunner.
class OpenJobWatcher {
  public:
    /// Implemented by TermRunner. Each function may call `stop`.
    class Listener {
      public:
        virtual ~Listener() = default;
        /// Receives all open jobs after the watch has missed changes.
        virtual void on_open_jobs_listed(const kvstore::ListReply& all) = 0;
        /// Receives records that were written or deleted, in the order of their revisions. Never
        /// empty.
        virtual void on_open_jobs_changed(const std::vector<kvstore::Entry>& changes) = 0;
        /// Called when every cancellation that was recorded up to `until` (the loop's time) is
        /// known.
        virtual void on_cancellations_known(Millis until) = 0;
    };

    OpenJobWatcher(const LoopClock& clock, kvstore::Client& store_client, Listener& listener);

    /// Starts watching for changes after `revision` at once.
    void start(std::uint64_t revision);
    /// Stops watching. Replies that arrive later are dropped.
    void stop();

  private:
    void watch();
    void on_watch_reply(const kvstore::ListReply& reply, Millis requested_at);
    void list_all();
    [[nodiscard]] bool is_current(std::uint64_t generation) const {
        return watching_ && generation == generation_;
    }

    const LoopClock& clock_;
    kvstore::Client& store_client_;
    Listener& listener_;
    net::Timer retry_timer_;
    bool watching_ = false;
    std::uint64_t revision_ = 0;
    std::uint64_t generation_ = 0;  // incremented by start and stop to drop late replies
};

}  // namespace nickelramp::controller
