#include "api/confirmed_reads_driver.h"

#include <algorithm>

#include "net/timed.h"

namespace nickelramp::api {

namespace {
constexpr double kPart = 0.1;  // of the requests, for all controllers together
constexpr Millis kTimeout = 1'000;
constexpr Millis kLeastGap = 20, kMostGap = 400;  // users wait 2 s

Millis gap(const wire::Settings& settings) {
    const double each =
        settings.state_requests_per_s * kPart / static_cast<double>(settings.peers.size() + 1);
    return std::clamp(seconds(1.0 / std::max(0.1, each)), kLeastGap, kMostGap);
}
}  // namespace

ConfirmedReadsDriver::ConfirmedReadsDriver(uv_loop_t* loop, kvstore::Client& state,
                                           const wire::Settings& settings)
    : loop_(loop),
      client_(state),
      timer_(loop, [this] { run_due_work(); }),
      reads_(*this, gap(settings), [this](Millis at) { timer_.after(at - now()); }) {}

void ConfirmedReadsDriver::get(const std::string& key, Millis wait, Done<kvstore::GetReply> done) {
    client_.get(key, kvstore::RequestClass::user, wait, net::with_time(loop_, std::move(done)));
}

void ConfirmedReadsDriver::changes(const std::string& prefix, std::uint64_t after,
                                   Done<kvstore::ListReply> done) {
    client_.changes_since(prefix, after, kvstore::RequestClass::election, kTimeout,
                          net::with_time(loop_, std::move(done)));
}

void ConfirmedReadsDriver::revision(Done<kvstore::ListReply> done) {
    client_.list_page("job/", "", 1, kvstore::RequestClass::election,
                      net::with_time(loop_, std::move(done)));
}

void ConfirmedReadsDriver::commit(const kvstore::Transaction& transaction, Millis wait,
                                  Done<kvstore::CommitReply> done) {
    client_.commit(transaction, kvstore::RequestClass::user, wait,
                   net::with_time(loop_, std::move(done)));
}

void ConfirmedReadsDriver::watch(const std::string& prefix, std::uint64_t after, Millis wait,
                                 Done<kvstore::ListReply> done) {
    const Millis held = wait / 2;  // the rest is for its answer
    client_.watch(prefix, after, held, net::with_time(loop_, std::move(done)), wait - held);
}

}  // namespace nickelramp::api
