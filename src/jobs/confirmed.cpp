#include "jobs/confirmed.h"

#include <algorithm>

#include "net/timed.h"

namespace nickelramp::jobs {

namespace {
constexpr double kPart = 0.1;  // of the requests, for all controllers together
constexpr Millis kTimeout = 1'000;
constexpr Millis kLeastGap = 20, kMostGap = 400;  // users wait 2 s

Millis gap(const wire::Settings& s) {
    const double each = s.state_rps * kPart / static_cast<double>(s.peers.size() + 1);
    return std::clamp(seconds(1.0 / std::max(0.1, each)), kLeastGap, kMostGap);
}
}  // namespace

Confirmed::Confirmed(uv_loop_t* loop, state::Client& state, const wire::Settings& settings)
    : loop_(loop),
      client_(state),
      timer_(loop, [this] { tend(); }),
      answers_(*this, gap(settings), [this](Millis at) { timer_.after(at - now()); }) {}

void Confirmed::get(const std::string& key, Millis wait, Done<state::GetReply> done) {
    client_.get(key, state::Urgency::user, wait, net::timed(loop_, std::move(done)));
}

void Confirmed::changes(const std::string& prefix, std::uint64_t after,
                        Done<state::ListReply> done) {
    client_.changes(prefix, after, state::Urgency::first, kTimeout,
                    net::timed(loop_, std::move(done)));
}

void Confirmed::revision(Done<state::ListReply> done) {
    client_.page("job/", "", 1, state::Urgency::first, net::timed(loop_, std::move(done)));
}

void Confirmed::commit(const state::Txn& txn, Millis wait, Done<state::CommitReply> done) {
    client_.commit(txn, state::Urgency::user, wait, net::timed(loop_, std::move(done)));
}

void Confirmed::watch(const std::string& prefix, std::uint64_t after, Millis wait,
                      Done<state::ListReply> done) {
    const Millis held = wait / 2;  // the rest is for its answer
    client_.watch(prefix, after, held, net::timed(loop_, std::move(done)), wait - held);
}

}  // namespace nickelramp::jobs
