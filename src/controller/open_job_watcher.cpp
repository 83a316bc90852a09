#include "controller/open_job_watcher.h"

#include <algorithm>
#include <utility>

namespace nickelramp::controller {

namespace {
constexpr const char* kOpenJobPrefix = "open/";
constexpr Millis kWatchDuration = 2'000;
constexpr Millis kRetryInterval = 500;
}  // namespace

OpenJobWatcher::OpenJobWatcher(const LoopClock& clock, kvstore::Client& store_client,
                               Listener& listener)
    : clock_(clock),
      store_client_(store_client),
      listener_(listener),
      retry_timer_(clock.loop(), [this] { watch(); }) {}

void OpenJobWatcher::start(std::uint64_t revision) {
    ++generation_;
    watching_ = true;
    revision_ = revision;
    watch();
}

void OpenJobWatcher::stop() {
    ++generation_;
    watching_ = false;
}

void OpenJobWatcher::watch() {
    if (!watching_) return;
    store_client_.watch(kOpenJobPrefix, revision_, kWatchDuration,
                        [this, generation = generation_,
                         requested_at = clock_.now()](const kvstore::ListReply& reply) {
                            if (is_current(generation)) on_watch_reply(reply, requested_at);
                        });
}

void OpenJobWatcher::on_watch_reply(const kvstore::ListReply& reply, Millis requested_at) {
    // The next watch from this revision would get the same reply or a longer one. Lists come in
    // pages of limited size.
    const bool watch_is_useless = reply.status == kvstore::Status::lease_or_revision_expired ||
                                  reply.status == kvstore::Status::protocol_error;
    if (watch_is_useless) {
        list_all();
        return;
    }
    if (reply.status != kvstore::Status::ok) {
        retry_timer_.after(kRetryInterval);
        return;
    }
    listener_.on_cancellations_known(requested_at);
    revision_ = std::max(revision_, reply.revision);
    if (!reply.entries.empty()) listener_.on_open_jobs_changed(reply.entries);
    watch();
}

void OpenJobWatcher::list_all() {
    store_client_.list(kOpenJobPrefix, kvstore::RequestClass::control,
                       [this, generation = generation_,
                        requested_at = clock_.now()](const kvstore::ListReply& all) {
                           if (!is_current(generation)) return;
                           if (all.status != kvstore::Status::ok) {
                               retry_timer_.after(kRetryInterval);
                               return;
                           }
                           listener_.on_open_jobs_listed(all);
                           revision_ = all.revision;
                           listener_.on_cancellations_known(requested_at);
                           retry_timer_.after(0);
                       });
}

}  // namespace nickelramp::controller
