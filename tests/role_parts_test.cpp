/// @file
/// Unit tests of the parts of the role manager: helper lease, peer directory and delegated
/// requests.
#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "roles/delegated_requests.h"
#include "roles/helper_lease.h"
#include "roles/peer_directory.h"

namespace {

using namespace nickelramp;
using kvstore::Status;
using roles::HelperLease;

// Records requests; the test calls their `done` functions.
struct RecordingLeaseStore : lease::LeaseStore {
    std::vector<LeaseDone> grants;
    std::vector<LeaseDone> renewals;
    std::vector<std::uint64_t> revoked;
    void grant_lease(Millis, LeaseDone done) override { grants.push_back(std::move(done)); }
    void renew_lease(std::uint64_t, LeaseDone done) override {
        renewals.push_back(std::move(done));
    }
    void revoke_lease(std::uint64_t lease_id) override { revoked.push_back(lease_id); }
};

struct HelperLeases : testing::Test {
    RecordingLeaseStore store;
    int lost = 0;
    HelperLease helper_lease{store, [this] { ++lost; }};

    void hold(std::uint64_t lease_id) {
        helper_lease.keep_until(30'000);
        helper_lease.run_due_work(1'000);
        ASSERT_EQ(store.grants.size(), 1u);
        store.grants[0](1'100, {Status::ok, lease_id});
    }
};

TEST_F(HelperLeases, IsAcquiredOnlyWhileALeaderRequestsHelp) {
    helper_lease.run_due_work(0);
    EXPECT_TRUE(store.grants.empty());
    hold(7);
    EXPECT_EQ(helper_lease.id(), 7u);
    EXPECT_EQ(helper_lease.valid_until(), 1'000 + without_clock_drift(lease::kLeaseDuration))
        << "counted from the time of the request";
    EXPECT_EQ(helper_lease.valid_id(4'900), 7u);
    EXPECT_EQ(helper_lease.valid_id(5'000), 0u);
    helper_lease.run_due_work(30'000);
    EXPECT_EQ(store.revoked, std::vector<std::uint64_t>{7});
    EXPECT_EQ(helper_lease.id(), 0u);
    EXPECT_EQ(lost, 1);
}

TEST_F(HelperLeases, ALeaseGrantedTooLateIsRevoked) {
    helper_lease.keep_until(30'000);
    helper_lease.run_due_work(1'000);
    ASSERT_EQ(store.grants.size(), 1u);
    helper_lease.release(HelperLease::EndReason::became_leader);
    store.grants[0](1'100, {Status::ok, 7});
    EXPECT_EQ(helper_lease.id(), 0u);
    EXPECT_EQ(store.revoked, std::vector<std::uint64_t>{7});
}

TEST_F(HelperLeases, ARenewalThatFindsNoLeaseEndsTheHelperLease) {
    hold(7);
    helper_lease.run_due_work(2'000);
    ASSERT_EQ(store.renewals.size(), 1u);
    store.renewals[0](2'100, {Status::unknown, 0});
    EXPECT_EQ(helper_lease.id(), 7u) << "the lease may have been renewed";
    helper_lease.run_due_work(3'000);
    ASSERT_EQ(store.renewals.size(), 2u);
    store.renewals[1](3'100, {Status::missing, 0});
    EXPECT_EQ(helper_lease.id(), 0u);
    EXPECT_EQ(lost, 1);
    EXPECT_TRUE(store.revoked.empty());
}

TEST(PeerDirectory, OnlyPeersWithRecentStatusAndStateServiceAreEligible) {
    roles::PeerDirectory directory;
    peers::Status served;
    served.from = "b";
    peers::Status without_state_service;
    without_state_service.from = "a";
    without_state_service.state_age_ms = 60'000;
    EXPECT_EQ(directory.first_eligible(1'000), "");
    directory.on_status(served, 1'000);
    directory.on_status(without_state_service, 1'000);
    EXPECT_EQ(directory.first_eligible(1'000), "b");
    EXPECT_EQ(directory.find_eligible("a", 1'000), nullptr);
    EXPECT_EQ(directory.find_eligible("b", 60'000), nullptr);
}

TEST(DelegatedRequests, EachIsCompletedOnce) {
    using Result = cloud::ProvisionReply::Result;
    roles::DelegatedRequests requests;
    std::vector<Result> answers;
    auto record = [&](Millis, const cloud::ProvisionReply& reply) {
        answers.push_back(reply.result);
    };
    const std::uint64_t executed = requests.add(0, record);
    const std::uint64_t unsent = requests.add(0, record);
    const std::uint64_t lost = requests.add(0, record);
    peers::DelegatedResult result;
    result.sequence = executed;
    result.result = static_cast<std::uint64_t>(Result::provisioned);
    requests.on_result(result, 10);
    requests.on_not_sent(unsent, 20);
    requests.expire(100);
    EXPECT_EQ(answers, (std::vector{Result::provisioned, Result::not_sent}));
    requests.expire(60'000);
    result.sequence = lost;
    requests.on_result(result, 60'010);
    EXPECT_EQ(answers, (std::vector{Result::provisioned, Result::not_sent, Result::unknown}));
}

}  // namespace
