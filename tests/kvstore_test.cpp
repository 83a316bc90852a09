/// @file
/// Unit tests of the key-value store client: request budget, health tracker and protocol.
#include <gtest/gtest.h>

#include "kvstore/health_tracker.h"
#include "kvstore/protocol.h"
#include "kvstore/request_budget.h"

namespace {

using namespace nickelramp;

net::ClientReply answered(int status, const wire::Json& body = wire::Json::object()) {
    return {net::ClientReply::Outcome::answered, status, wire::encode(body), 0};
}

TEST(RequestBudget, HoldsTokensOfOneSecondAndLetsLargeTransactionsOverdraw) {
    kvstore::RequestBudget budget({2, 10}, 0);
    EXPECT_TRUE(budget.allows(50)) << "a large transaction may overdraw";
    budget.spend(50);
    EXPECT_FALSE(budget.allows(1));
    EXPECT_TRUE(budget.allows(-40)) << "request tokens are left";
    budget.spend(0);
    EXPECT_FALSE(budget.allows(-40)) << "no request token is left";
    budget.refill(500);
    EXPECT_TRUE(budget.allows(-40));
    EXPECT_FALSE(budget.allows(1)) << "35 writes are overdrawn";
    budget.refill(60'000);
    EXPECT_TRUE(budget.allows(10));
    budget.spend(6);
    EXPECT_FALSE(budget.allows(5)) << "the bucket holds the tokens of one second only";
}

TEST(HealthTracker, DistinguishesRefusalsAnswersAndTimeouts) {
    kvstore::HealthTracker tracker;
    tracker.on_request_sent(100);
    EXPECT_EQ(tracker.health().unanswered_since, 100);
    tracker.on_request_reply({}, 200);
    EXPECT_EQ(tracker.health().unanswered_since, 100) << "a timeout is no reply";
    tracker.on_request_sent(300);
    tracker.on_request_reply(answered(503), 310);
    EXPECT_EQ(tracker.health().unanswered_since, -1);
    EXPECT_EQ(tracker.health().refused_since, 310);
    EXPECT_EQ(tracker.last_answer_at(), 0);
    tracker.on_request_sent(400);
    tracker.on_request_reply(answered(429), 410);
    EXPECT_EQ(tracker.health().refused_since, -1);
    EXPECT_EQ(tracker.last_answer_at(), 410);
    EXPECT_TRUE(tracker.throttled(410 + kvstore::kThrottleBackoff - 1));
    EXPECT_FALSE(tracker.throttled(410 + kvstore::kThrottleBackoff));
    EXPECT_FALSE(tracker.needs_ping(420));
    EXPECT_TRUE(tracker.needs_ping(2'000));
    tracker.on_request_sent(2'000);
    EXPECT_FALSE(tracker.needs_ping(2'000)) << "a request is in flight";
}

TEST(KeyValueStoreProtocol, ASuccessWithoutARevisionIsUnknown) {
    EXPECT_EQ(kvstore::parse_commit_reply(answered(200)).status, kvstore::Status::unknown);
    const auto committed = kvstore::parse_commit_reply(answered(200, {{"epoch", 7}}));
    EXPECT_EQ(committed.status, kvstore::Status::ok);
    EXPECT_EQ(committed.revision, 7u);
    EXPECT_EQ(kvstore::parse_grant_reply(answered(200)).status, kvstore::Status::protocol_error);
    EXPECT_EQ(kvstore::parse_renewal_reply(answered(200)).status, kvstore::Status::ok);
}

TEST(KeyValueStoreProtocol, UnansweredRequestsAreUnknownAndUnsentOnesRefused) {
    EXPECT_EQ(kvstore::status_of({}), kvstore::Status::unknown);
    net::ClientReply unsent;
    unsent.outcome = net::ClientReply::Outcome::refused;
    EXPECT_EQ(kvstore::status_of(unsent), kvstore::Status::refused);
}

}  // namespace
