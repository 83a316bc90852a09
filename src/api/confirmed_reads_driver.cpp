#include "api/confirmed_reads_driver.h"

#include <algorithm>

#include "net/timed.h"

namespace nickelramp::api {

namespace {
// Share of the store's request limit for the batched reads of all controllers together.
constexpr double kReadsShare = 0.1;
constexpr double kMinReadsPerSecond = 0.1;
// Users wait up to 2 s for a status, so the interval must be well below that.
constexpr Millis kMinReadInterval = 20, kMaxReadInterval = 400;
constexpr Millis kReadTimeout = 1'000;

Millis read_interval(const wire::Settings& settings) {
    const double controllers = static_cast<double>(settings.peers.size() + 1);
    const double reads_per_s = settings.state_requests_per_s * kReadsShare / controllers;
    return std::clamp(seconds(1.0 / std::max(kMinReadsPerSecond, reads_per_s)), kMinReadInterval,
                      kMaxReadInterval);
}
}  // namespace

ConfirmedReadsDriver::ConfirmedReadsDriver(uv_loop_t* loop, kvstore::Client& client,
                                           const wire::Settings& settings)
    : loop_(loop),
      client_(client),
      timer_(loop, [this] { run_due_work(); }),
      reads_(*this, read_interval(settings), [this](Millis at) { timer_.after(at - now()); }) {}

void ConfirmedReadsDriver::get(const std::string& key, Millis timeout,
                               Done<kvstore::GetReply> done) {
    client_.get(key, kvstore::RequestClass::user, timeout, net::with_time(loop_, std::move(done)));
}

void ConfirmedReadsDriver::changes(const std::string& prefix, std::uint64_t after_revision,
                                   Done<kvstore::ListReply> done) {
    client_.changes_since(prefix, after_revision, kvstore::RequestClass::election, kReadTimeout,
                          net::with_time(loop_, std::move(done)));
}

// Requests a page of one entry, because every page contains the store's revision.
void ConfirmedReadsDriver::revision(Done<kvstore::ListReply> done) {
    client_.list_page(kJobPrefix, "", 1, kvstore::RequestClass::election,
                      net::with_time(loop_, std::move(done)));
}

void ConfirmedReadsDriver::commit(const kvstore::Transaction& transaction, Millis timeout,
                                  Done<kvstore::CommitReply> done) {
    client_.commit(transaction, kvstore::RequestClass::user, timeout,
                   net::with_time(loop_, std::move(done)));
}

void ConfirmedReadsDriver::watch(const std::string& prefix, std::uint64_t after_revision,
                                 Millis timeout, Done<kvstore::ListReply> done) {
    const Millis watch_duration = timeout / 2;  // the remaining time is for the reply to arrive
    client_.watch(prefix, after_revision, watch_duration, net::with_time(loop_, std::move(done)),
                  timeout - watch_duration);
}

}  // namespace nickelramp::api
