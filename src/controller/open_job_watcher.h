/// \file
/// Follows the records of open jobs in the key-value store for the leader.
#pragma once
#include <cstdint>
#include <vector>

#include "controller/loop_clock.h"
#include "kvstore/client.h"
#include "net/timer.h"

namespace nickelramp::controller {

/// Watches the prefix `open/` while a term runs. Watches are short, so that it is known every two
/// seconds up to when every cancellation has been seen. A watch that has fallen behind the
/// retained changes is replaced by a list of all open jobs; failed calls are repeated after a
/// pause. Runs on the loop's thread; used by TermRunner alone.
class OpenJobWatcher {
  public:
    /// Implemented by TermRunner. May call `stop` from each.
    class Listener {
      public:
        virtual ~Listener() = default;
        /// A complete list, in place of changes that were missed.
        virtual void on_open_jobs_listed(const kvstore::ListReply& all) = 0;
        /// Records that were written or deleted, in the order of their revisions; never empty.
        virtual void on_open_jobs_changed(const std::vector<kvstore::Entry>& changes) = 0;
        /// Every cancellation that was recorded up to `until` (the loop's time) is known.
        virtual void on_cancellations_known(Millis until) = 0;
    };

    OpenJobWatcher(const LoopClock& clock, kvstore::Client& store_client, Listener& listener);

    /// Begins to watch at once, for changes after `revision`.
    void start(std::uint64_t revision);
    /// Replies that are still to come are dropped.
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
    std::uint64_t generation_ = 0;  // of starts; late replies of earlier ones are dropped
};

}  // namespace nickelramp::controller
