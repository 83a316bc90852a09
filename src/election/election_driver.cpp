#include "election/election_driver.h"

#include <utility>

#include "net/timed.h"

namespace nickelramp::election {

namespace {
constexpr Millis kRequestTimeout = 2000;
constexpr kvstore::RequestClass kRequestClass = kvstore::RequestClass::election;
}  // namespace

ElectionDriver::ElectionDriver(uv_loop_t* loop, kvstore::Client& client, std::string name,
                               std::uint64_t seed, ElectionObserver& observer)
    : loop_(loop),
      client_(client),
      timer_(loop, [this] { run_due_work(); }),
      election_(*this, observer, std::move(name), seed,
                [this](Millis at) { schedule_wake_up(at); }) {}

void ElectionDriver::run_due_work() {
    wake_up_at_ = kNever;
    election_.run_due_work(now());
}

void ElectionDriver::schedule_wake_up(Millis at) {
    if (at >= wake_up_at_) return;
    wake_up_at_ = at;
    timer_.after(at - now());
}

void ElectionDriver::list(const std::string& prefix, ListDone done) {
    client_.list(prefix, kRequestClass, net::with_time(loop_, std::move(done)));
}

void ElectionDriver::watch(const std::string& prefix, std::uint64_t after, Millis wait,
                           ListDone done) {
    client_.watch(prefix, after, wait, net::with_time(loop_, std::move(done)));
}

void ElectionDriver::get(const std::string& key, GetDone done) {
    client_.get(key, kRequestClass, kRequestTimeout, net::with_time(loop_, std::move(done)));
}

void ElectionDriver::commit(const kvstore::Transaction& transaction, CommitDone done) {
    client_.commit(transaction, kRequestClass, kRequestTimeout,
                   net::with_time(loop_, std::move(done)));
}

void ElectionDriver::grant_lease(Millis ttl, LeaseDone done) {
    client_.grant_lease(ttl, net::with_time(loop_, std::move(done)));
}

void ElectionDriver::renew_lease(std::uint64_t lease_id, LeaseDone done) {
    client_.renew_lease(lease_id, kRequestTimeout, net::with_time(loop_, std::move(done)));
}

void ElectionDriver::revoke_lease(std::uint64_t lease_id) { client_.revoke_lease(lease_id); }

}  // namespace nickelramp::election
