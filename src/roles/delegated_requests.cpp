#include "roles/delegated_requests.h"

#include <utility>

namespace nickelramp::roles {

namespace {
// Covers the cloud call, its wait for the rate limit at the helper, and the round trip to the
// helper.
constexpr Millis kResultTimeout = 8'000;
}  // namespace

std::uint64_t DelegatedRequests::add(Millis now, Done done) {
    pending_[++last_number_] = {now + kResultTimeout, std::move(done)};
    return last_number_;
}

void DelegatedRequests::complete(std::uint64_t number, const cloud::ProvisionReply& reply,
                                 Millis now) {
    auto it = pending_.find(number);
    if (it == pending_.end()) return;
    Done done = std::move(it->second.done);
    pending_.erase(it);
    done(now, reply);
}

void DelegatedRequests::on_result(const peers::DelegatedResult& result, Millis now) {
    using Result = cloud::ProvisionReply::Result;
    cloud::ProvisionReply reply;
    if (result.result <= static_cast<std::uint64_t>(Result::malformed))
        reply.result = static_cast<Result>(result.result);
    reply.machines = result.machines;
    complete(result.sequence, reply, now);
}

void DelegatedRequests::on_not_sent(std::uint64_t number, Millis now) {
    complete(number, {cloud::ProvisionReply::Result::not_sent, {}}, now);
}

void DelegatedRequests::expire(Millis now) {
    // Later requests have higher numbers and later deadlines.
    while (!pending_.empty() && now >= pending_.begin()->second.deadline)
        complete(pending_.begin()->first, {cloud::ProvisionReply::Result::unknown, {}}, now);
}

}  // namespace nickelramp::roles
