// Tests the recorded bytes of messages between controllers, the decoding of messages of earlier
// versions, and the rejection of malformed ones.
#include <limits>

#include "cloud/provision_reply.h"
#include "peers/codec.h"
#include "peers/forwarding.h"
#include "peers/messages.h"
#include "tests/golden.h"

namespace {

using namespace nickelramp;
using namespace nickelramp::peers;

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();

class GoldenPeers : public test::golden::Recorded {
  protected:
    // Records the bytes of the frame. Checks that decoding and re-encoding the recorded bytes gives
    // the same bytes. Records the lengths at which a truncated body is still readable, which are
    // those at which a message of an earlier version ends.
    template <typename Message, typename Read>
    void message(const std::string& entry, const Message& message, Read read) {
        const std::string produced = encode(message).frame;
        const std::string recorded = bytes(entry, produced);
        Framer framer;
        framer.add(recorded);
        const auto frame = framer.next();
        ASSERT_TRUE(frame) << entry;
        text(entry + ", head",
             "version " + std::to_string(frame->version) + ", kind " + std::to_string(frame->kind));
        const auto back = read(frame->body);
        ASSERT_TRUE(back) << entry;
        EXPECT_EQ(encode(*back).frame, recorded) << entry;
        EXPECT_TRUE(read(frame->body + "later")) << entry << " with fields of a later version";
        std::string readable;
        for (std::size_t n = 0; n < frame->body.size(); ++n)
            if (read(frame->body.substr(0, n))) readable += std::to_string(n) + " ";
        text(entry + ", readable when cut after bytes", readable);
    }
    // Adds "read" or "refused" for a message, under a description of its fault.
    template <typename Message, typename Read>
    void refused(const std::string& what, const Message& message, Read read) {
        Framer framer;
        framer.add(encode(message).frame);
        const auto frame = framer.next();
        ASSERT_TRUE(frame);
        verdicts_ += what + ": " + (read(frame->body) ? "read" : "refused") + "\n";
    }
    std::string verdicts_;
};

Status full_status() {
    Status m;
    m.from = "ramper-1";
    m.incarnation = kMaxUint64;
    m.clock_ms = 123'456;
    m.term = 7;
    m.state_age_ms = 300;
    m.progress = {{"job-000412", 3, 300}, {"job-1", 0, 128}};
    m.delegation_term = 6;
    m.delegation_clock_ms = 1234;
    m.last_reply_age_ms = 16'384;
    m.confirms_cancellations = 1;
    m.lost_zones = {{"a", 7000}, {"b", 0}};
    m.lease_id = 12;
    m.heartbeat_term = 8;
    m.sockets = 900;
    m.worker_sockets = 800;
    m.max_sockets = 1800;
    return m;
}

TEST_F(GoldenPeers, StatusKeepsItsBytes) {
    message("full", full_status(), decode_status);
    Status least;
    least.from = "n";
    message("least", least, decode_status);
}

TEST_F(GoldenPeers, StatusOfEarlierVersionsIsRead) {
    // Each version added its fields at the end, so a truncated body is that of an earlier version.
    const std::string all = bytes("full", encode(full_status()).frame);
    Framer framer;
    framer.add(all);
    const auto frame = framer.next();
    ASSERT_TRUE(frame);
    std::string shown;
    for (std::size_t n = 1; n <= frame->body.size(); ++n) {
        const auto read = decode_status(frame->body.substr(0, n));
        if (!read) continue;
        shown +=
            std::to_string(n) + " bytes: " + test::golden::shown_bytes(encode(*read).frame) + "\n";
    }
    text("read and written again, by length", shown);
}

ShardGrant full_grant() {
    ShardGrant grant;
    grant.from = "ramper-1";
    grant.term = 3;
    grant.term_version = std::uint64_t{1} << 40;
    grant.shard = 2;
    grant.shard_version = 77;
    grant.token = kMaxUint64;
    grant.incarnation = 99;
    grant.status_clock_ms = 123'456;
    grant.lease_ms = 4000;
    grant.view_age_ms = 12;
    grant.machines = {{"i-000001", "10.1.0.1:9000", "g8", "a", true},
                      {"i-000002", "10.1.0.2:9000", "plain", "b", false}};
    grant.jobs = {{"job-1", 0}, {"job-000412", 1}};
    return grant;
}

TEST_F(GoldenPeers, ShardGrantKeepsItsBytes) {
    message("full", full_grant(), decode_shard_grant);
    ShardGrant least;
    least.from = "n";
    least.token = 1;
    message("least", least, decode_shard_grant);
    ShardGrant bad = full_grant();
    bad.from.clear();
    refused("no sender", bad, decode_shard_grant);
    bad = full_grant();
    bad.token = 0;
    refused("no token", bad, decode_shard_grant);
    bad = full_grant();
    bad.term = 0;
    refused("no term", bad, decode_shard_grant);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, ShardStatusKeepsItsBytes) {
    ShardStatus shard_status{
        "ramper-2", 3, kMaxUint64, {{"job-7", 3, 2, 1}, {"job-000412", 0, 200, 0}}, {"i-1", "i-2"}};
    message("full", shard_status, decode_shard_status);
    message("least", ShardStatus{"n", 0, 0, {}, {}}, decode_shard_status);
    shard_status.from.clear();
    refused("no sender", shard_status, decode_shard_status);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, HeartbeatDelegationKeepsItsBytes) {
    HeartbeatDelegation delegation;
    delegation.from = "ramper-1";
    delegation.term = 7;
    delegation.incarnation = 99;
    delegation.status_clock_ms = 1000;
    delegation.view_age_ms = 200;
    delegation.clock_ms = 3000;
    delegation.response_window_ms = 40'000;
    delegation.highest_token = kMaxUint64;
    delegation.delegated_tokens = {1, 128, std::uint64_t{7} << 32};
    message("full", delegation, decode_heartbeat_delegation);
    HeartbeatDelegation least;
    least.from = "n";
    least.term = 1;
    message("least", least, decode_heartbeat_delegation);
    least.term = 0;
    refused("no term", least, decode_heartbeat_delegation);
    delegation.from.clear();
    refused("no sender", delegation, decode_heartbeat_delegation);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, RoleAssignmentKeepsItsBytes) {
    RoleAssignment assignment{"ramper-1", 3,    77,
                              123,        4000, {{3, std::uint64_t{1} << 40, 12}, {0, 9, 12}}};
    message("full", assignment, decode_role_assignment);
    message("least", RoleAssignment{"n", 1, 0, 0, 0, {}}, decode_role_assignment);
    assignment.term = 0;
    refused("no term", assignment, decode_role_assignment);
    assignment.term = 3;
    assignment.from.clear();
    refused("no sender", assignment, decode_role_assignment);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, DelegatedRequestKeepsItsBytes) {
    DelegatedRequest request{
        "ramper-1", 5, 77, 2, 9, "t3f9-1", "g8", "a", 1, 50, {"i-000001", "i-000002"}};
    message("full", request, decode_delegated_request);
    message("least", DelegatedRequest{"n", 0, 0, 0, 1, "", "", "", 0, 0, {}},
            decode_delegated_request);
    request.fence = 0;
    refused("no fence", request, decode_delegated_request);
    request.fence = 9;
    request.from.clear();
    refused("no sender", request, decode_delegated_request);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, DelegatedResultKeepsItsBytes) {
    DelegatedResult result{"ramper-2", 5, 4, {"i-000001", "i-000002"}};
    message("full", result, decode_delegated_result);
    message("least", DelegatedResult{"n", 0, 0, {}}, decode_delegated_result);
    result.from.clear();
    refused("no sender", result, decode_delegated_result);
    text("verdicts", verdicts_);
    std::string results;
    using Result = cloud::ProvisionReply::Result;
    for (Result result : {Result::provisioned, Result::no_capacity, Result::rejected,
                          Result::not_sent, Result::unknown, Result::malformed})
        results += std::to_string(static_cast<std::uint64_t>(result)) + " ";
    text("hired, no_capacity, trouble, unsent, unknown, malformed", results);
}

ForwardedHeartbeat full_forward() {
    ForwardedHeartbeat message;
    message.from = "ramper-2";
    message.incarnation = 99;
    message.sequence = 300;
    message.term = 7;
    message.leader_incarnation = 88;
    message.leader_clock_ms = 5000;
    message.since_status_ms = 130;
    message.follows_reply = true;
    message.heartbeat.machine = "i-000231";
    message.heartbeat.address = "10.1.0.232:9000";
    message.heartbeat.type = "g8";
    message.heartbeat.zone = "a";
    message.heartbeat.spot = true;
    message.heartbeat.incarnation = 3;
    message.heartbeat.sequence = 88;
    message.heartbeat.token = kMaxUint64;
    message.heartbeat.preemption_notice_s = 12.5;
    std::uint32_t task = 0;
    using wire::TaskPhase;
    for (TaskPhase phase : {TaskPhase::fetching, TaskPhase::waiting, TaskPhase::running,
                            TaskPhase::saving, TaskPhase::exited})
        message.heartbeat.tasks.push_back(
            {"job-000412", task++, 1, phase, wire::ExitCause::none, task % 2 == 0});
    using wire::ExitCause;
    for (ExitCause cause :
         {ExitCause::done, ExitCause::stopped, ExitCause::peers, ExitCause::alone, ExitCause::error,
          ExitCause::no_room, ExitCause::busy, ExitCause::unknown})
        message.heartbeat.tasks.push_back(
            {"job-1", task++, 4'294'967'295u, TaskPhase::exited, cause, false});
    return message;
}

TEST_F(GoldenPeers, ForwardedHeartbeatKeepsItsBytes) {
    message("full", full_forward(), decode_forwarded_heartbeat);
    ForwardedHeartbeat least;
    least.from = "n";
    least.term = 1;
    least.heartbeat.machine = "m";
    least.heartbeat.incarnation = 1;
    message("least", least, decode_forwarded_heartbeat);
    least.heartbeat.preemption_notice_s = 0;
    message("notice of no time", least, decode_forwarded_heartbeat);
    for (auto [seconds, entry] : {std::pair{-1.0, "negative notice"},
                                  {1e9, "endless notice"},
                                  {0.0004, "notice below a millisecond"}}) {
        least.heartbeat.preemption_notice_s = seconds;
        bytes(entry, encode(least).frame);
    }
    ForwardedHeartbeat bad = full_forward();
    bad.from.clear();
    refused("no sender", bad, decode_forwarded_heartbeat);
    bad = full_forward();
    bad.term = 0;
    refused("no term", bad, decode_forwarded_heartbeat);
    bad = full_forward();
    bad.heartbeat.machine.clear();
    refused("no machine", bad, decode_forwarded_heartbeat);
    bad = full_forward();
    bad.heartbeat.incarnation = 0;
    refused("no session", bad, decode_forwarded_heartbeat);
    bad = full_forward();
    bad.heartbeat.tasks[0].phase = static_cast<wire::TaskPhase>(5);
    refused("unknown phase", bad, decode_forwarded_heartbeat);
    bad = full_forward();
    bad.heartbeat.tasks[0].cause = static_cast<wire::ExitCause>(9);
    refused("unknown cause", bad, decode_forwarded_heartbeat);
    text("verdicts", verdicts_);
}

ForwardedReply full_answer() {
    ForwardedReply message;
    message.from = "ramper-1";
    message.incarnation = 99;
    message.sequence = 300;
    message.term = 7;
    message.http_status = 421;
    message.holder = "ramper-3";
    message.token = kMaxUint64;
    using Op = wire::Command::Op;
    message.commands = {{Op::start, "job-000412", 99'999, 1, 0},
                        {Op::stop, "job-000412", 3, 4'294'967'295u, 4.5},
                        {Op::forget, "job-1", 0, 2, 0}};
    return message;
}

TEST_F(GoldenPeers, ForwardedReplyKeepsItsBytes) {
    message("full", full_answer(), decode_forwarded_reply);
    ForwardedReply least;
    least.from = "n";
    message("least", least, decode_forwarded_reply);
    ForwardedReply bad = full_answer();
    bad.from.clear();
    refused("no sender", bad, decode_forwarded_reply);
    bad = full_answer();
    bad.commands[0].op = static_cast<wire::Command::Op>(3);
    refused("unknown command", bad, decode_forwarded_reply);
    bad = full_answer();
    bad.term = 0;
    refused("no term", bad, decode_forwarded_reply);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, NumbersTextsAndCountsKeepTheirBytes) {
    for (std::uint64_t number :
         {std::uint64_t{0}, std::uint64_t{1}, std::uint64_t{127}, std::uint64_t{128},
          std::uint64_t{16'383}, std::uint64_t{16'384}, std::uint64_t{1} << 32, kMaxUint64}) {
        Writer w;
        w.number(number);
        const std::string recorded = bytes("number " + std::to_string(number), w.bytes());
        Reader r(recorded);
        EXPECT_EQ(r.number(), number);
        EXPECT_TRUE(r.good() && r.remaining().empty());
    }
    for (const std::string& word : {std::string(), std::string("text"), std::string(200, 'x')}) {
        Writer w;
        w.text(word);
        const std::string recorded =
            bytes("text of " + std::to_string(word.size()) + " bytes", w.bytes());
        Reader r(recorded);
        EXPECT_EQ(r.text(), word);
        EXPECT_TRUE(r.good() && r.remaining().empty());
    }
    std::string verdicts;
    for (const std::string& in : {std::string(), std::string("\x80"),
                                  std::string(9, '\xff') + "\x01", std::string(9, '\xff') + "\x02",
                                  std::string(10, '\x80') + "\x01", std::string("\x80\0", 2)}) {
        Reader number(in), word(in), count(in);
        const std::string value = std::to_string(number.number());
        word.text();
        count.count();
        verdicts += test::golden::shown_bytes(in) + ": number " +
                    (number.good() ? value : "refused") + ", text " +
                    (word.good() ? "read" : "refused") + ", count " +
                    (count.good() ? "read" : "refused") + "\n";
    }
    text("malformed", verdicts);
}

TEST_F(GoldenPeers, FramesKeepTheirBounds) {
    Writer message;
    message.text("body");
    bytes("kind 1", frame(1, message));
    bytes("kind 300", frame(300, message));
    text("limits", "version " + std::to_string(kProtocolVersion) + ", most bytes " +
                       std::to_string(kMaxFrameBytes));
    std::string kinds;
    for (MessageKind kind :
         {MessageKind::status, MessageKind::shard_grant, MessageKind::shard_status,
          MessageKind::heartbeat_delegation, MessageKind::role_assignment,
          MessageKind::delegated_request, MessageKind::delegated_result,
          MessageKind::forwarded_heartbeat, MessageKind::forwarded_reply})
        kinds += std::to_string(static_cast<std::uint64_t>(kind)) + " ";
    text("kinds", kinds);
    std::string verdicts;
    auto stream = [&](const std::string& name, const std::string& in) {
        Framer framer;
        framer.add(in);
        const bool whole = framer.next().has_value();
        verdicts +=
            name + ": " + (whole ? "a frame" : "none") + (framer.broken() ? ", broken" : "") + "\n";
    };
    auto head = [](std::uint64_t length) {
        Writer w;
        w.number(length);
        return w.bytes();
    };
    stream("nothing", "");
    stream("a length alone", head(5));
    stream("no room for the kind", head(1) + "\x01");
    stream("empty", head(0));
    stream("largest", head(kMaxFrameBytes) + std::string(kMaxFrameBytes, '\x01'));
    stream("too large", head(kMaxFrameBytes + 1));
    stream("endless length", std::string(11, '\xff'));
    stream("nine bytes of a length", std::string(9, '\xff'));
    stream("another version", head(3) + "\x02\x01x");
    stream("unknown kind", head(3) + "\x01\x63x");
    text("streams", verdicts);
}

}  // namespace
