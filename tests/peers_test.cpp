// Tests of the encoding of messages between controllers, with round trips, truncation at every byte
// and random bytes.
#include <gtest/gtest.h>

#include <random>

#include "peers/messages.h"
#include "readiness/peer_health.h"
#include "tests/mutated_bytes.h"
#include "tests/trace.h"

namespace {

using namespace nickelramp::peers;

ShardGrant sample_grant() {
    ShardGrant grant;
    grant.from = "ramper-1";
    grant.term = 3;
    grant.term_version = 1ull << 40;
    grant.shard = 2;
    grant.shard_version = 77;
    grant.token = UINT64_MAX;
    grant.status_clock_ms = 123456;
    grant.lease_ms = 4000;
    grant.view_age_ms = 12;
    grant.machines = {{"i-000001", "10.1.0.1:9000", "g8", "a", true},
                      {"i-000002", "10.1.0.2:9000", "g8", "b", false}};
    grant.jobs = {{"job-1", 0}, {"job-2", 1}};
    return grant;
}

// Returns the body of the first frame in the bytes.
std::string body_of(const std::string& bytes) {
    nickelramp::test::test_trace().add(0, "frame", nickelramp::test::traced(PeerFrame{bytes}));
    Framer framer;
    framer.add(bytes);
    auto frame = framer.next();
    EXPECT_TRUE(frame);
    return frame ? frame->body : "";
}

// Expects that the decoded message encodes to the same bytes.
template <typename Message, typename Decode>
void expect_round_trip(const Message& message, Decode decode) {
    const auto frame = encode(message);
    const auto decoded = decode(body_of(frame.frame));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(encode(*decoded), frame);
}

TEST(Peers, MessagesRoundTrip) {
    const ShardGrant grant = sample_grant();
    const auto decoded = decode_shard_grant(body_of(encode(grant).frame));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->token, grant.token);
    EXPECT_EQ(decoded->term_version, grant.term_version);
    ASSERT_EQ(decoded->machines.size(), 2u);
    EXPECT_EQ(decoded->machines[0].address, "10.1.0.1:9000");
    EXPECT_TRUE(decoded->machines[0].spot);
    ASSERT_EQ(decoded->jobs.size(), 2u);
    EXPECT_EQ(decoded->jobs[1].cancelled, 1u);
    EXPECT_EQ(encode(*decoded), encode(grant));

    expect_round_trip(
        Status{"ramper-0", 77, 5, 9, 1, {{"job-7", 3, 300}}, 9, 1234, 1, 1, {{"b", 7000}}, 12},
        decode_status);
    expect_round_trip(ShardStatus{"ramper-2", 3, 9, {{"job-7", 3, 2, 1}}, {"i-000001"}},
                      decode_shard_status);
    expect_round_trip(
        RoleAssignment{"ramper-1", 3, 77, 123, 4000, {{3, 1ull << 40, 12}, {0, 9, 12}}},
        decode_role_assignment);
    expect_round_trip(
        DelegatedRequest{"ramper-1", 5, 77, 0, 9, "t3f9-1", "g8", "a", 1, 50, {"i-000001"}},
        decode_delegated_request);
    expect_round_trip(DelegatedResult{"ramper-2", 5, 4, {"i-000001", "i-000002"}},
                      decode_delegated_result);
}

TEST(Peers, TruncatedMessagesAreRejectedAndPartialStreamsWait) {
    const std::string bytes = encode(sample_grant()).frame;
    const std::string body = body_of(bytes);
    for (std::size_t size = 0; size < body.size(); ++size)
        EXPECT_FALSE(decode_shard_grant(body.substr(0, size))) << size;
    // Fields that a later version appends are ignored.
    EXPECT_TRUE(decode_shard_grant(body + "later"));
    Framer framer;
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
        framer.add(bytes.substr(i, 1));
        EXPECT_FALSE(framer.next());
        EXPECT_FALSE(framer.broken());
    }
    framer.add(bytes.substr(bytes.size() - 1) + bytes);
    EXPECT_TRUE(framer.next());
    EXPECT_TRUE(framer.next());
    EXPECT_FALSE(framer.next());
}

TEST(Peers, LengthsAreBounded) {
    Framer too_long;
    Writer length;
    length.number(kMaxFrameBytes + 1);
    too_long.add(length.bytes());
    EXPECT_FALSE(too_long.next());
    EXPECT_TRUE(too_long.broken());
    Framer endless;
    endless.add(std::string(11, '\xff'));
    EXPECT_FALSE(endless.next());
    EXPECT_TRUE(endless.broken());
    // A count far beyond the end of the message must not cause an allocation.
    Writer oversized_count;
    oversized_count.text("ramper-1");
    for (int i = 0; i < 9; ++i) oversized_count.number(1);
    oversized_count.number(UINT64_MAX);
    EXPECT_FALSE(decode_shard_grant(oversized_count.bytes()));
}

TEST(Peers, RandomBytesNeverCrash) {
    std::minstd_rand random(11);
    const std::string body = body_of(encode(sample_grant()).frame);
    int decoded = 0;
    for (int i = 0; i < 50000; ++i) {
        std::string mutated = body;
        nickelramp::test::mutate_bytes(mutated, 2, random);
        decoded += decode_shard_grant(mutated) ? 1 : 0;
        decode_status(mutated);
        decode_shard_status(mutated);
    }
    EXPECT_GT(decoded, 0);
    EXPECT_LT(decoded, 50000);
}

// Guards against ending a term in an outage that affects all controllers. A leader stepped down
// because its followers, which send few requests to the key-value store, had not noticed the outage
// yet.
TEST(Peers, AnOutageIsNotMistakenForARejection) {
    using nickelramp::readiness::peer_served_meanwhile;
    const nickelramp::Millis rejected_since = 100'000, now = 104'000;
    EXPECT_FALSE(
        peer_served_meanwhile(rejected_since, 99'900, now - 500, now));  // before the outage
    EXPECT_TRUE(peer_served_meanwhile(rejected_since, 102'000, now - 500,
                                      now));  // answered during the outage
    EXPECT_FALSE(
        peer_served_meanwhile(rejected_since, 102'000, now - 9000, now));  // its status is too old
}

TEST(Peers, ConsumedBytesOfAStreamAreDiscarded) {
    const std::string frame = encode(sample_grant()).frame;
    Framer framer;
    for (int i = 0; i < 1'000; ++i) {
        framer.add(frame);
        EXPECT_TRUE(framer.next());
        EXPECT_FALSE(framer.next());
        EXPECT_EQ(framer.buffered_bytes(), 0u);
    }
    framer.add(frame + frame.substr(0, 3));
    EXPECT_TRUE(framer.next());
    EXPECT_FALSE(framer.next());
    EXPECT_EQ(framer.buffered_bytes(), 3u);
}

}  // namespace
