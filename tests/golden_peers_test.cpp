// Messages between controllers: their bytes, what is read of earlier ones, and what is refused.
#include <limits>

#include "fleet/hire.h"
#include "peers/codec.h"
#include "peers/forwarding.h"
#include "peers/messages.h"
#include "tests/golden.h"

namespace {

using namespace nickelramp;
using namespace nickelramp::peers;

constexpr std::uint64_t kMost = std::numeric_limits<std::uint64_t>::max();

class GoldenPeers : public test::golden::Recorded {
  protected:
    // The frame's bytes; the recorded ones are read and written again without a difference, and
    // those that are cut short are refused, except where an earlier version's message ends.
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
    // "read" or "refused", by the name of what is wrong.
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
    m.incarnation = kMost;
    m.clock_ms = 123'456;
    m.term = 7;
    m.state_age_ms = 300;
    m.progress = {{"job-000412", 3, 300}, {"job-1", 0, 128}};
    m.leave_term = 6;
    m.leave_clock_ms = 1234;
    m.answered_age_ms = 16'384;
    m.confirms = 1;
    m.lost = {{"a", 7000}, {"b", 0}};
    m.hold = 12;
    m.reports_term = 8;
    m.sockets = 900;
    m.worker_sockets = 800;
    m.most_sockets = 1800;
    return m;
}

TEST_F(GoldenPeers, StatusKeepsItsBytes) {
    message("full", full_status(), read_status);
    Status least;
    least.from = "n";
    message("least", least, read_status);
}

TEST_F(GoldenPeers, StatusOfEarlierVersionsIsRead) {
    // As each version wrote it: fields were added at the end.
    const std::string all = bytes("full", encode(full_status()).frame);
    Framer framer;
    framer.add(all);
    const auto frame = framer.next();
    ASSERT_TRUE(frame);
    std::string shown;
    for (std::size_t n = 1; n <= frame->body.size(); ++n) {
        const auto read = read_status(frame->body.substr(0, n));
        if (!read) continue;
        shown +=
            std::to_string(n) + " bytes: " + test::golden::shown_bytes(encode(*read).frame) + "\n";
    }
    text("read and written again, by length", shown);
}

Grant full_grant() {
    Grant m;
    m.from = "ramper-1";
    m.term = 3;
    m.term_version = std::uint64_t{1} << 40;
    m.block = 2;
    m.block_version = 77;
    m.token = kMost;
    m.incarnation = 99;
    m.asked_ms = 123'456;
    m.lease_ms = 4000;
    m.view_age_ms = 12;
    m.machines = {{"i-000001", "10.1.0.1:9000", "g8", "a", true},
                  {"i-000002", "10.1.0.2:9000", "plain", "b", false}};
    m.jobs = {{"job-1", 0}, {"job-000412", 1}};
    return m;
}

TEST_F(GoldenPeers, GrantKeepsItsBytes) {
    message("full", full_grant(), read_grant);
    Grant least;
    least.from = "n";
    least.token = 1;
    message("least", least, read_grant);
    Grant bad = full_grant();
    bad.from.clear();
    refused("no sender", bad, read_grant);
    bad = full_grant();
    bad.token = 0;
    refused("no token", bad, read_grant);
    bad = full_grant();
    bad.term = 0;
    refused("no term", bad, read_grant);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, NewsKeepsItsBytes) {
    News m{"ramper-2", 3, kMost, {{"job-7", 3, 2, 1}, {"job-000412", 0, 200, 0}}, {"i-1", "i-2"}};
    message("full", m, read_news);
    message("least", News{"n", 0, 0, {}, {}}, read_news);
    m.from.clear();
    refused("no sender", m, read_news);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, LeaveKeepsItsBytes) {
    Leave m;
    m.from = "ramper-1";
    m.term = 7;
    m.incarnation = 99;
    m.asked_ms = 1000;
    m.view_age_ms = 200;
    m.clock_ms = 3000;
    m.answer_ms = 40'000;
    m.highest = kMost;
    m.lent = {1, 128, std::uint64_t{7} << 32};
    message("full", m, read_leave);
    Leave least;
    least.from = "n";
    least.term = 1;
    message("least", least, read_leave);
    least.term = 0;
    refused("no term", least, read_leave);
    m.from.clear();
    refused("no sender", m, read_leave);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, ChargeKeepsItsBytes) {
    Charge m{"ramper-1", 3, 77, 123, 4000, {{3, std::uint64_t{1} << 40, 12}, {0, 9, 12}}};
    message("full", m, read_charge);
    message("least", Charge{"n", 1, 0, 0, 0, {}}, read_charge);
    m.term = 0;
    refused("no term", m, read_charge);
    m.term = 3;
    m.from.clear();
    refused("no sender", m, read_charge);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, ErrandKeepsItsBytes) {
    Errand m{"ramper-1", 5, 77, 2, 9, "t3f9-1", "g8", "a", 1, 50, {"i-000001", "i-000002"}};
    message("full", m, read_errand);
    message("least", Errand{"n", 0, 0, 0, 1, "", "", "", 0, 0, {}}, read_errand);
    m.fence = 0;
    refused("no fence", m, read_errand);
    m.fence = 9;
    m.from.clear();
    refused("no sender", m, read_errand);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, OutcomeKeepsItsBytes) {
    Outcome m{"ramper-2", 5, 4, {"i-000001", "i-000002"}};
    message("full", m, read_outcome);
    message("least", Outcome{"n", 0, 0, {}}, read_outcome);
    m.from.clear();
    refused("no sender", m, read_outcome);
    text("verdicts", verdicts_);
    std::string results;
    using Result = fleet::HireReply::Result;
    for (Result result : {Result::hired, Result::no_capacity, Result::trouble, Result::unsent,
                          Result::unknown, Result::malformed})
        results += std::to_string(static_cast<std::uint64_t>(result)) + " ";
    text("hired, no_capacity, trouble, unsent, unknown, malformed", results);
}

ForwardedReport full_forward() {
    ForwardedReport m;
    m.from = "ramper-2";
    m.incarnation = 99;
    m.number = 300;
    m.term = 7;
    m.leader_incarnation = 88;
    m.leader_clock_ms = 5000;
    m.since_ms = 130;
    m.follows = true;
    m.report.machine = "i-000231";
    m.report.address = "10.1.0.232:9000";
    m.report.type = "g8";
    m.report.zone = "a";
    m.report.spot = true;
    m.report.session = 3;
    m.report.seq = 88;
    m.report.token = kMost;
    m.report.notice_s = 12.5;
    std::uint32_t task = 0;
    using wire::TaskPhase;
    for (TaskPhase phase : {TaskPhase::fetching, TaskPhase::waiting, TaskPhase::running,
                            TaskPhase::saving, TaskPhase::exited})
        m.report.tasks.push_back(
            {"job-000412", task++, 1, phase, wire::ExitCause::none, task % 2 == 0});
    using wire::ExitCause;
    for (ExitCause cause :
         {ExitCause::done, ExitCause::stopped, ExitCause::peers, ExitCause::alone, ExitCause::error,
          ExitCause::no_room, ExitCause::busy, ExitCause::unknown})
        m.report.tasks.push_back(
            {"job-1", task++, 4'294'967'295u, TaskPhase::exited, cause, false});
    return m;
}

TEST_F(GoldenPeers, ForwardedReportKeepsItsBytes) {
    message("full", full_forward(), read_forwarded_report);
    ForwardedReport least;
    least.from = "n";
    least.term = 1;
    least.report.machine = "m";
    least.report.session = 1;
    message("least", least, read_forwarded_report);
    least.report.notice_s = 0;
    message("notice of no time", least, read_forwarded_report);
    for (auto [seconds, entry] : {std::pair{-1.0, "negative notice"},
                                  {1e9, "endless notice"},
                                  {0.0004, "notice below a millisecond"}}) {
        least.report.notice_s = seconds;
        bytes(entry, encode(least).frame);
    }
    ForwardedReport bad = full_forward();
    bad.from.clear();
    refused("no sender", bad, read_forwarded_report);
    bad = full_forward();
    bad.term = 0;
    refused("no term", bad, read_forwarded_report);
    bad = full_forward();
    bad.report.machine.clear();
    refused("no machine", bad, read_forwarded_report);
    bad = full_forward();
    bad.report.session = 0;
    refused("no session", bad, read_forwarded_report);
    bad = full_forward();
    bad.report.tasks[0].phase = static_cast<wire::TaskPhase>(5);
    refused("unknown phase", bad, read_forwarded_report);
    bad = full_forward();
    bad.report.tasks[0].cause = static_cast<wire::ExitCause>(9);
    refused("unknown cause", bad, read_forwarded_report);
    text("verdicts", verdicts_);
}

ForwardedAnswer full_answer() {
    ForwardedAnswer m;
    m.from = "ramper-1";
    m.incarnation = 99;
    m.number = 300;
    m.term = 7;
    m.status = 421;
    m.holder = "ramper-3";
    m.token = kMost;
    using Op = wire::Command::Op;
    m.commands = {{Op::start, "job-000412", 99'999, 1, 0},
                  {Op::stop, "job-000412", 3, 4'294'967'295u, 4.5},
                  {Op::forget, "job-1", 0, 2, 0}};
    return m;
}

TEST_F(GoldenPeers, ForwardedAnswerKeepsItsBytes) {
    message("full", full_answer(), read_forwarded_answer);
    ForwardedAnswer least;
    least.from = "n";
    message("least", least, read_forwarded_answer);
    ForwardedAnswer bad = full_answer();
    bad.from.clear();
    refused("no sender", bad, read_forwarded_answer);
    bad = full_answer();
    bad.commands[0].op = static_cast<wire::Command::Op>(3);
    refused("unknown command", bad, read_forwarded_answer);
    bad = full_answer();
    bad.term = 0;
    refused("no term", bad, read_forwarded_answer);
    text("verdicts", verdicts_);
}

TEST_F(GoldenPeers, NumbersTextsAndCountsKeepTheirBytes) {
    for (std::uint64_t number :
         {std::uint64_t{0}, std::uint64_t{1}, std::uint64_t{127}, std::uint64_t{128},
          std::uint64_t{16'383}, std::uint64_t{16'384}, std::uint64_t{1} << 32, kMost}) {
        Writer w;
        w.number(number);
        const std::string recorded = bytes("number " + std::to_string(number), w.bytes());
        Reader r(recorded);
        EXPECT_EQ(r.number(), number);
        EXPECT_TRUE(r.good() && r.rest().empty());
    }
    for (const std::string& word : {std::string(), std::string("text"), std::string(200, 'x')}) {
        Writer w;
        w.text(word);
        const std::string recorded =
            bytes("text of " + std::to_string(word.size()) + " bytes", w.bytes());
        Reader r(recorded);
        EXPECT_EQ(r.text(), word);
        EXPECT_TRUE(r.good() && r.rest().empty());
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
    text("limits",
         "version " + std::to_string(kVersion) + ", most bytes " + std::to_string(kMaxFrame));
    std::string kinds;
    for (Kind kind : {Kind::status, Kind::grant, Kind::news, Kind::leave, Kind::charge,
                      Kind::errand, Kind::outcome, Kind::forwarded_report, Kind::forwarded_answer})
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
    stream("largest", head(kMaxFrame) + std::string(kMaxFrame, '\x01'));
    stream("too large", head(kMaxFrame + 1));
    stream("endless length", std::string(11, '\xff'));
    stream("nine bytes of a length", std::string(9, '\xff'));
    stream("another version", head(3) + "\x02\x01x");
    stream("unknown kind", head(3) + "\x01\x63x");
    text("streams", verdicts);
}

}  // namespace
