// What a worker's messages prove: a property test against a simple model of a worker that restarts
// and a network that delivers late copies, and examples. worker_channel_simulation_test.cpp tests
// the same in simulated clusters.
#include "machines/worker_channel.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using machines::EvidenceFreshness;
using machines::MessagePosition;
using machines::Reachability;
using machines::WorkerChannel;
using test::make_heartbeat_without_tasks;

struct FreshnessCounts {
    std::size_t fresh = 0, new_incarnation = 0, duplicate = 0, unordered = 0;

    void add(EvidenceFreshness freshness) {
        fresh += freshness == EvidenceFreshness::fresh;
        new_incarnation += freshness == EvidenceFreshness::new_incarnation;
        duplicate += freshness == EvidenceFreshness::duplicate;
        unordered += freshness == EvidenceFreshness::unordered;
    }
};

// A model of a worker, the network and the controller's token. Every message carries the moment (a
// logical clock) at which it was made. A message that the channel accepts as proof must have been
// made after every earlier proof, and after the controller took control.
class ChannelModel {
  public:
    explicit ChannelModel(FreshnessCounts& counts) : counts_(counts) {
        channel_.take_control(issued_token_, now_);
    }

    // Simulates one event. The ranges of `event`, 0 to 999, select its kind and frequency.
    void step(int event) {
        now_ += 500;
        if (event < 450)
            heartbeat_arrives(event % 3 != 0);
        else if (event < 600)
            make_message();  // lost or delivered late
        else if (event < 800)
            copy_arrives(static_cast<std::size_t>(event * 7919));
        else if (event < 920)
            command_is_answered(event % 4 == 0, event % 5 == 0);
        else if (event < 950)
            ++incarnation_;  // its lease has expired
        else if (event < 985)
            restart_worker();
        else if (event < 992)
            change_controller();
        else
            channel_.raise_token(++issued_token_, now_);
    }

    // Checks that a single command reply is enough to know the worker's state again.
    void expect_proof_by_command_reply() {
        const MessagePosition newest_known = channel_.newest_position();
        seen_token_ = issued_token_;
        RC_ASSERT(machines::proves_state(
            channel_.on_command_reply(make_message().heartbeat, newest_known, now_, now_)));
    }

  private:
    struct Message {
        wire::Heartbeat heartbeat;
        std::size_t made_at = 0;  // in moments
    };

    const Message& make_message() {
        Message message;
        message.heartbeat.incarnation = incarnation_;
        message.heartbeat.sequence = ++sequence_;
        message.heartbeat.token = seen_token_;
        message.made_at = ++moment_;
        sent_.push_back(message);
        return sent_.back();
    }

    void judge(const Message& message, EvidenceFreshness freshness) {
        test::test_trace().add(now_, "proof", message.made_at, static_cast<int>(freshness));
        counts_.add(freshness);
        if (!machines::proves_state(freshness)) return;
        RC_ASSERT(message.made_at > proven_at_ && message.made_at > in_control_since_);
        if (freshness == EvidenceFreshness::new_incarnation) RC_ASSERT(restarted_);
        proven_at_ = message.made_at;
    }

    EvidenceFreshness deliver_new_heartbeat() {
        const Message message = make_message();
        const EvidenceFreshness freshness = channel_.on_heartbeat(message.heartbeat, false, now_);
        judge(message, freshness);
        return freshness;
    }

    void heartbeat_arrives(bool reply_arrives) {
        const EvidenceFreshness freshness = deliver_new_heartbeat();
        if (freshness != EvidenceFreshness::duplicate && reply_arrives)
            seen_token_ = std::max(seen_token_, issued_token_);
    }

    void copy_arrives(std::size_t choice) {
        if (sent_.empty()) return;
        const Message& message = sent_[choice % sent_.size()];
        judge(message, channel_.on_heartbeat(message.heartbeat, false, now_));
    }

    void command_is_answered(bool heartbeat_arrives_before, bool overtaken) {
        const MessagePosition newest_known = channel_.newest_position();
        if (heartbeat_arrives_before) deliver_new_heartbeat();
        seen_token_ = std::max(seen_token_, issued_token_);
        const Message reply = make_message();
        MessagePosition newest{incarnation_, sequence_};
        if (overtaken) {  // by a later heartbeat
            const EvidenceFreshness later = deliver_new_heartbeat();
            if (machines::proves_state(later)) newest = {incarnation_, sequence_};
        }
        const EvidenceFreshness freshness =
            channel_.on_command_reply(reply.heartbeat, newest_known, now_, now_);
        judge(reply, freshness);
        RC_ASSERT(channel_.newest_proven() == newest);
        if (freshness == EvidenceFreshness::new_incarnation)
            channel_.raise_token(++issued_token_, now_);
    }

    void restart_worker() {
        restarted_ = true;
        incarnation_ = 1;
        sequence_ = seen_token_ = 0;
    }

    void change_controller() {
        issued_token_ += 1'000;
        channel_.take_control(issued_token_, now_);
        in_control_since_ = moment_;
        proven_at_ = 0;
    }

    FreshnessCounts& counts_;
    WorkerChannel channel_;
    std::vector<Message> sent_;  // all messages made so far
    std::size_t moment_ = 0;
    std::size_t proven_at_ = 0;         // moment at which the newest proof was made
    std::size_t in_control_since_ = 0;  // in moments
    bool restarted_ = false;
    std::uint64_t incarnation_ = 1, sequence_ = 0;
    std::uint64_t seen_token_ = 0, issued_token_ = 1'000;
    Millis now_ = 1'000;
};

TEST(WorkerChannel, OldMessagesProveNothing) {
    FreshnessCounts counts;
    EXPECT_TRUE(rc::check([&] {
        const auto events = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 1'000));
        ChannelModel model(counts);
        for (int event : events) model.step(event);
        model.expect_proof_by_command_reply();
    }));
    EXPECT_GT(counts.fresh, 2'000u);
    EXPECT_GT(counts.new_incarnation, 100u);
    EXPECT_GT(counts.duplicate, 1'000u);
    EXPECT_GT(counts.unordered, 100u);
}

// A heartbeat proves that the machine is alive, not that it can be reached.
TEST(WorkerChannel, AMachineIsOutboundOnlyUntilSomethingReachesIt) {
    WorkerChannel channel;
    channel.take_control(10, 1'000);
    EXPECT_EQ(channel.on_command_reply(make_heartbeat_without_tasks(1, 1, 10), {}, 1'000, 1'001),
              EvidenceFreshness::fresh);
    for (Millis now : {4'000, 7'000, 10'000, 13'000}) {
        EXPECT_EQ(
            channel.on_heartbeat(
                make_heartbeat_without_tasks(1, static_cast<std::uint64_t>(now), 10), false, now),
            EvidenceFreshness::fresh);
        channel.on_reply_sent(20'000, now);
    }
    EXPECT_EQ(channel.reachability(5'000, 5'000), Reachability::reachable);
    EXPECT_EQ(channel.reachability(5'000, 13'000), Reachability::outbound_only);
    // Replies that do not arrive must not extend its assumed lease forever.
    EXPECT_TRUE(channel.should_reply(20'000, 14'000));
    EXPECT_FALSE(channel.should_reply(20'000, 14'001));
    EXPECT_EQ(channel.on_heartbeat(make_heartbeat_without_tasks(1, 13'001, 10), true, 14'000),
              EvidenceFreshness::fresh);
    EXPECT_EQ(channel.reachability(5'000, 14'000), Reachability::reachable);
    EXPECT_TRUE(channel.should_reply(20'000, 14'000));
}

TEST(WorkerChannel, ALeaseThatEndsDespiteRepliesShowsThatRepliesAreLost) {
    WorkerChannel channel;
    channel.take_control(10, 1'000);
    EXPECT_EQ(channel.on_command_reply(make_heartbeat_without_tasks(1, 1, 10), {}, 1'000, 1'001),
              EvidenceFreshness::fresh);
    channel.on_reply_sent(20'000, 15'000);
    EXPECT_EQ(channel.on_command_reply(make_heartbeat_without_tasks(2, 9, 10),
                                       channel.newest_position(), 22'000, 22'001),
              EvidenceFreshness::fresh);
    EXPECT_EQ(channel.reachability(5'000, 22'001),
              Reachability::outbound_only);  // commands do arrive
    EXPECT_FALSE(channel.should_reply(20'000, 22'001));
    // A worker that was frozen for longer than its lease has lost the lease although replies
    // arrive.
    WorkerChannel frozen;
    frozen.take_control(10, 1'000);
    EXPECT_EQ(frozen.on_command_reply(make_heartbeat_without_tasks(1, 1, 10), {}, 1'000, 1'001),
              EvidenceFreshness::fresh);
    frozen.on_reply_sent(20'000, 15'000);
    EXPECT_EQ(frozen.on_command_reply(make_heartbeat_without_tasks(2, 9, 10),
                                      frozen.newest_position(), 36'000, 36'001),
              EvidenceFreshness::fresh);
    EXPECT_EQ(frozen.reachability(5'000, 36'001), Reachability::reachable);
}

}  // namespace
