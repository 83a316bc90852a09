// The back channel's codec: round trips, cuts at every byte, and noise.
#include <gtest/gtest.h>

#include <random>

#include "peers/messages.h"
#include "readiness/peer_health.h"
#include "tests/trace.h"

namespace {

using namespace nickelramp::peers;

ShardGrant sample() {
    ShardGrant g;
    g.from = "ramper-1";
    g.term = 3;
    g.term_version = 1ull << 40;
    g.shard = 2;
    g.shard_version = 77;
    g.token = UINT64_MAX;
    g.status_clock_ms = 123456;
    g.lease_ms = 4000;
    g.view_age_ms = 12;
    g.machines = {{"i-000001", "10.1.0.1:9000", "g8", "a", true},
                  {"i-000002", "10.1.0.2:9000", "g8", "b", false}};
    g.jobs = {{"job-1", 0}, {"job-2", 1}};
    return g;
}

std::string body_of(const std::string& bytes) {
    nickelramp::test::test_trace().add(0, "frame", nickelramp::test::traced(PeerFrame{bytes}));
    Framer f;
    f.add(bytes);
    auto frame = f.next();
    EXPECT_TRUE(frame);
    return frame ? frame->body : "";
}

TEST(Peers, MessagesRoundTrip) {
    ShardGrant g = sample();
    auto back = decode_shard_grant(body_of(encode(g).frame));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->token, g.token);
    EXPECT_EQ(back->term_version, g.term_version);
    ASSERT_EQ(back->machines.size(), 2u);
    EXPECT_EQ(back->machines[0].address, "10.1.0.1:9000");
    EXPECT_TRUE(back->machines[0].spot);
    ASSERT_EQ(back->jobs.size(), 2u);
    EXPECT_EQ(back->jobs[1].cancelled, 1u);
    EXPECT_EQ(encode(*back), encode(g));

    Status s{"ramper-0", 77, 5, 9, 1, {{"job-7", 3, 300}}, 9, 1234, 1, 1, {{"b", 7000}}, 12};
    auto status = decode_status(body_of(encode(s).frame));
    ASSERT_TRUE(status);
    EXPECT_EQ(encode(*status), encode(s));
    ShardStatus n{"ramper-2", 3, 9, {{"job-7", 3, 2, 1}}, {"i-000001"}};
    auto shard_status = decode_shard_status(body_of(encode(n).frame));
    ASSERT_TRUE(shard_status);
    EXPECT_EQ(encode(*shard_status), encode(n));
    RoleAssignment c{"ramper-1", 3, 77, 123, 4000, {{3, 1ull << 40, 12}, {0, 9, 12}}};
    auto assignment = decode_role_assignment(body_of(encode(c).frame));
    ASSERT_TRUE(assignment);
    EXPECT_EQ(encode(*assignment), encode(c));
    DelegatedRequest e{"ramper-1", 5, 77, 0, 9, "t3f9-1", "g8", "a", 1, 50, {"i-000001"}};
    auto request = decode_delegated_request(body_of(encode(e).frame));
    ASSERT_TRUE(request);
    EXPECT_EQ(encode(*request), encode(e));
    DelegatedResult o{"ramper-2", 5, 4, {"i-000001", "i-000002"}};
    auto outcome = decode_delegated_result(body_of(encode(o).frame));
    ASSERT_TRUE(outcome);
    EXPECT_EQ(encode(*outcome), encode(o));
}

TEST(Peers, TruncatedMessagesAreRejectedAndPartialStreamsWait) {
    std::string bytes = encode(sample()).frame;
    std::string body = body_of(bytes);
    for (std::size_t n = 0; n < body.size(); ++n)
        EXPECT_FALSE(decode_shard_grant(body.substr(0, n))) << n;
    // What a later version adds at the end is passed over.
    EXPECT_TRUE(decode_shard_grant(body + "later"));
    Framer f;
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
        f.add(bytes.substr(i, 1));
        EXPECT_FALSE(f.next());
        EXPECT_FALSE(f.broken());
    }
    f.add(bytes.substr(bytes.size() - 1) + bytes);
    EXPECT_TRUE(f.next());
    EXPECT_TRUE(f.next());
    EXPECT_FALSE(f.next());
}

TEST(Peers, LengthsAreBounded) {
    Framer f;
    Writer w;
    w.number(kMaxFrameBytes + 1);
    f.add(w.bytes());
    EXPECT_FALSE(f.next());
    EXPECT_TRUE(f.broken());
    Framer endless;
    endless.add(std::string(11, '\xff'));
    EXPECT_FALSE(endless.next());
    EXPECT_TRUE(endless.broken());
    // A count far beyond the message's end must not allocate for it.
    Writer lie;
    lie.text("ramper-1");
    for (int i = 0; i < 9; ++i) lie.number(1);
    lie.number(UINT64_MAX);
    EXPECT_FALSE(decode_shard_grant(lie.bytes()));
}

TEST(Peers, RandomBytesNeverCrash) {
    std::minstd_rand random(11);
    std::string body = body_of(encode(sample()).frame);
    int read = 0;
    for (int i = 0; i < 50000; ++i) {
        std::string b = body;
        for (int k = 0; k < 2; ++k) b[random() % b.size()] = static_cast<char>(random());
        read += decode_shard_grant(b) ? 1 : 0;
        decode_status(b);
        decode_shard_status(b);
    }
    EXPECT_GT(read, 0);
    EXPECT_LT(read, 50000);
}

// Guards against ending a term in an outage that everybody has: a leader once stepped down because
// its followers, which ask little, had not noticed the outage yet.
TEST(Peers, AnOutageIsNotTakenForARejection) {
    using nickelramp::readiness::peer_served_meanwhile;
    const nickelramp::Millis refused_since = 100'000, now = 104'000;
    EXPECT_FALSE(
        peer_served_meanwhile(refused_since, 99'900, now - 500, now));  // before the outage
    EXPECT_TRUE(
        peer_served_meanwhile(refused_since, 102'000, now - 500, now));  // served all the while
    EXPECT_FALSE(peer_served_meanwhile(refused_since, 102'000, now - 9000, now));  // old news
}

TEST(Peers, ConsumedBytesOfAStreamAreDiscarded) {
    const std::string frame = encode(sample()).frame;
    Framer f;
    for (int i = 0; i < 1'000; ++i) {
        f.add(frame);
        EXPECT_TRUE(f.next());
        EXPECT_FALSE(f.next());
        EXPECT_EQ(f.buffered_bytes(), 0u);
    }
    f.add(frame + frame.substr(0, 3));
    EXPECT_TRUE(f.next());
    EXPECT_FALSE(f.next());
    EXPECT_EQ(f.buffered_bytes(), 3u);
}

}  // namespace
