#include "roles/helper_lease.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace nickelramp::roles {

namespace {
constexpr Millis kRetry = 500;

const char* name(HelperLease::EndReason reason) {
    switch (reason) {
        case HelperLease::EndReason::became_leader:
            return "this controller became the leader";
        case HelperLease::EndReason::not_needed:
            return "no leader requested help";
        case HelperLease::EndReason::expired:
            return "lease expired";
    }
    return "?";
}
}  // namespace

HelperLease::HelperLease(lease::LeaseStore& store, std::function<void()> on_lost)
    : store_(store), on_lost_(std::move(on_lost)), validity_(lease::kLeaseDuration) {}

void HelperLease::run_due_work(Millis now) {
    if (state_ == State::held && now >= keep_until_) release(EndReason::not_needed);
    if (now < renew_at_) return;
    if (state_ == State::none && now < keep_until_)
        acquire(now);
    else if (state_ == State::held)
        renew(now);
}

void HelperLease::release(EndReason reason) {
    if (state_ == State::held) store_.revoke_lease(lease_id_);
    forget(reason);
}

void HelperLease::forget(EndReason reason) {
    if (state_ == State::none) return;
    spdlog::info("roles: helper lease ended: lease={} reason=\"{}\"", lease_id_, name(reason));
    validity_.reset();
    lease_id_ = 0;
    state_ = State::none;
    on_lost_();
}

void HelperLease::acquire(Millis now) {
    state_ = State::acquiring;
    renew_at_ = now + lease::kLeaseRenewInterval;
    store_.grant_lease(lease::kLeaseDuration,
                       [this, requested_at = now](Millis now, const kvstore::LeaseReply& reply) {
                           on_granted(reply, requested_at, now);
                       });
}

void HelperLease::on_granted(const kvstore::LeaseReply& reply, Millis requested_at, Millis now) {
    const bool granted = reply.status == kvstore::Status::ok;
    if (state_ != State::acquiring) {
        // The lease was given up in the meantime.
        if (granted) store_.revoke_lease(reply.lease_id);
        return;
    }
    if (!granted) {
        state_ = State::none;
        renew_at_ = now + kRetry;
        return;
    }
    lease_id_ = reply.lease_id;
    validity_.reset();
    validity_.extend(requested_at);
    state_ = State::held;
}

void HelperLease::renew(Millis now) {
    renew_at_ = now + lease::kLeaseRenewInterval;
    auto on_reply = [this, requested_at = now, lease_id = lease_id_](
                        Millis, const kvstore::LeaseReply& reply) {
        if (lease_id != lease_id_ || state_ != State::held) return;
        if (reply.status == kvstore::Status::ok)
            validity_.extend(requested_at);
        else if (reply.status == kvstore::Status::missing)
            forget(EndReason::expired);
    };
    store_.renew_lease(lease_id_, on_reply);
}

}  // namespace nickelramp::roles
