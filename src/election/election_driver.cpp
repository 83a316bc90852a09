#include "election/election_driver.h"

#include "net/timed.h"

namespace nickelramp::election {

namespace {
constexpr Millis kCall = 2000;
}

ElectionDriver::ElectionDriver(uv_loop_t* loop, kvstore::Client& state, std::string node,
                               std::uint64_t seed, Election::Hooks hooks)
    : loop_(loop),
      client_(state),
      timer_(loop,
             [this] {
                 wake_at_ = kNever;
                 election_.run_due_work(now());
             }),
      election_(*this, std::move(node), seed, [&] {
          hooks.wake = [this](Millis at) { schedule_wake_up(at); };
          return std::move(hooks);
      }()) {}

void ElectionDriver::schedule_wake_up(Millis at) {
    if (at >= wake_at_) return;
    wake_at_ = at;
    timer_.after(at - now());
}

void ElectionDriver::list(const std::string& prefix,
                          std::function<void(Millis, const kvstore::ListReply&)> done) {
    client_.list(prefix, kvstore::RequestClass::election, net::with_time(loop_, std::move(done)));
}

void ElectionDriver::watch(const std::string& prefix, std::uint64_t after, Millis wait,
                           std::function<void(Millis, const kvstore::ListReply&)> done) {
    client_.watch(prefix, after, wait, net::with_time(loop_, std::move(done)));
}

void ElectionDriver::get(const std::string& key,
                         std::function<void(Millis, const kvstore::GetReply&)> done) {
    client_.get(key, kvstore::RequestClass::election, kCall,
                net::with_time(loop_, std::move(done)));
}

void ElectionDriver::commit(const kvstore::Transaction& transaction,
                            std::function<void(Millis, const kvstore::CommitReply&)> done) {
    client_.commit(transaction, kvstore::RequestClass::election, kCall,
                   net::with_time(loop_, std::move(done)));
}

void ElectionDriver::grant_lease(Millis life,
                                 std::function<void(Millis, const kvstore::LeaseReply&)> done) {
    client_.grant_lease(life, net::with_time(loop_, std::move(done)));
}

void ElectionDriver::renew_lease(std::uint64_t hold,
                                 std::function<void(Millis, const kvstore::LeaseReply&)> done) {
    client_.renew_lease(hold, kCall, net::with_time(loop_, std::move(done)));
}

}  // namespace nickelramp::election
