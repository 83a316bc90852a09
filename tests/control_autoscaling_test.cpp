// Tests of provisioning and releasing machines and of the intent log.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "tests/control_fixture.h"

namespace {

using namespace nickelramp;
using jobs::Job;
using machines::Machine;
using test::ControlFixture;
using test::RecordingGateway;

// No machines are provisioned or kept beyond what jobs need.
admin::Options options_without_margins() {
    admin::Options options;
    options.idle_retention_margin = options.provisioning_margin = options.spot_margin =
        options.replica_margin = 0;
    return options;
}

cloud::ProvisionReply provisioned(const std::vector<std::string>& machines) {
    return {cloud::ProvisionReply::Result::provisioned, machines};
}

// Returns how many machines the pending requests ask for in total.
std::uint32_t requested_machines(const ControlFixture& fixture) {
    std::uint32_t machines = 0;
    for (const auto& request : fixture.gateway.provision_calls) machines += request.count;
    return machines;
}

// Only missing machines are requested. A kind that the cloud has just refused is not requested, and
// requests in flight are not duplicated.
TEST(ControlParts, TheAutoscalerRequestsWhatIsMissingAndNoMore) {
    ControlFixture fixture;
    fixture.settings.cloud_requests_per_s = 10;
    fixture.term.set_options(options_without_margins());
    Job& job = fixture.add_job(test::job("job-1", "standing", 3, 4));  // a machine each
    fixture.autoscaler.scale_out({&job}, {}, 900);
    EXPECT_TRUE(fixture.gateway.commits.empty())
        << "requested machines before the cloud's list was read";
    fixture.autoscaler.on_instances_listed({}, 950);
    fixture.autoscaler.scale_out({&job}, {}, 1000);
    EXPECT_TRUE(fixture.gateway.provision_calls.empty()) << "sent before the intent was recorded";
    fixture.record_intents(1000);
    for (const auto& request : fixture.gateway.provision_calls) {
        EXPECT_EQ(request.type, "g4");
        EXPECT_FALSE(request.spot);
    }
    EXPECT_EQ(requested_machines(fixture), 3u);
    const std::size_t calls = fixture.gateway.provision_calls.size();
    fixture.autoscaler.scale_out({&job}, {}, 1500);
    fixture.record_intents(2100);
    EXPECT_EQ(fixture.gateway.provision_calls.size(), calls)
        << "requested again while the requests are in flight";
    const std::string refused_zone = fixture.gateway.provision_calls.front().zone;
    auto first = fixture.gateway.provision_calls.front();
    fixture.gateway.provision_calls.pop_front();
    first.done(2200, {cloud::ProvisionReply::Result::no_capacity, {}});
    for (auto& request : fixture.gateway.provision_calls) {
        std::vector<std::string> machines;
        for (std::uint32_t i = 0; i < request.count; ++i)
            machines.push_back("n-" + std::to_string(i));
        request.done(2300, provisioned(machines));
    }
    fixture.gateway.provision_calls.clear();
    fixture.autoscaler.scale_out({&job}, {}, 2400);
    fixture.record_intents(3500);
    for (const auto& request : fixture.gateway.provision_calls)
        EXPECT_NE(request.zone, refused_zone);
    EXPECT_EQ(requested_machines(fixture), first.count);
}

// A machine stays in the cluster state until the cloud's reply proves that it was released. The
// release is recorded before it is sent. Otherwise a delayed release can destroy a machine on which
// the next leader has placed tasks.
TEST(ControlParts, AReleaseIsRecordedFirstAndProvenByItsReplyOnly) {
    ControlFixture fixture;
    Machine& machine = fixture.add_ready_machine("m-1", "plain", "a");
    fixture.cluster.release_machine(machine, cluster::ReleaseReason::idle);
    fixture.autoscaler.send_releases(1000);
    ASSERT_TRUE(fixture.gateway.release_calls.empty());
    fixture.intent_log.write(1000);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    const auto& transaction = fixture.gateway.commits.front().transaction;
    ASSERT_EQ(transaction.writes.size(), 1u);
    EXPECT_EQ(transaction.writes[0].key, "intent/returning/7");
    EXPECT_TRUE(std::any_of(transaction.conditions.begin(), transaction.conditions.end(),
                            [](const auto& condition) {
                                return condition.key == "duty/returning" && condition.version == 61;
                            }));
    fixture.autoscaler.send_releases(1005);
    ASSERT_TRUE(fixture.gateway.release_calls.empty()) << "sent before the intent was recorded";
    fixture.record_intents(1008);
    fixture.autoscaler.send_releases(1010);
    ASSERT_EQ(fixture.gateway.release_calls.size(), 1u);
    RecordingGateway::answer(fixture.gateway.release_calls, 1100, false);
    EXPECT_NE(fixture.cluster.machine("m-1"), nullptr);
    fixture.autoscaler.send_releases(1200);
    EXPECT_TRUE(fixture.gateway.release_calls.empty()) << "retried before the retry delay";
    fixture.autoscaler.send_releases(2200);
    RecordingGateway::answer(fixture.gateway.release_calls, 2300, true);
    EXPECT_EQ(fixture.cluster.machine("m-1"), nullptr);
    EXPECT_TRUE(fixture.cluster.is_tombstoned("m-1"));
}

// While the key-value store is unavailable, only machines that no later leader would use are
// released: those that the cloud lists as failed and those that it is about to preempt.
TEST(ControlParts, WithoutARecordOnlyUnusableMachinesAreReleased) {
    ControlFixture fixture;
    for (const char* name : {"idle", "failed", "warned"}) {
        fixture.cluster.release_machine(fixture.add_ready_machine(name, "plain", "a"),
                                        cluster::ReleaseReason::idle);
    }
    fixture.cluster.machine("failed")->failed = true;
    fixture.cluster.machine("warned")->preemption_expected_at = 9000;
    fixture.autoscaler.send_releases(1000);
    fixture.intent_log.write(1000);
    kvstore::CommitReply down;
    down.status = kvstore::Status::refused;
    RecordingGateway::answer(fixture.gateway.commits, 1010, down);
    ASSERT_EQ(fixture.gateway.release_calls.size(), 1u);
    const std::set<std::string> gone(fixture.gateway.release_calls[0].machines.begin(),
                                     fixture.gateway.release_calls[0].machines.end());
    EXPECT_EQ(gone, (std::set<std::string>{"failed", "warned"}));
}

// A request whose outcome is unknown is retried under its name. Under a new name, the same machines
// could be provisioned twice.
TEST(ControlParts, AProvisioningRequestOfUnknownOutcomeIsRetriedUnderItsName) {
    using Result = cloud::ProvisionReply::Result;
    ControlFixture fixture;
    fixture.settings.cloud_requests_per_s = 10;
    fixture.term.set_options(options_without_margins());
    wire::Json spec = test::job("job-1", "standing", 1, 4);
    spec["yard"] = "a";
    Job& job = fixture.add_job(spec);
    fixture.autoscaler.on_instances_listed({}, 950);
    fixture.autoscaler.scale_out({&job}, {}, 1000);
    fixture.record_intents(1000);
    ASSERT_EQ(fixture.gateway.provision_calls.size(), 1u);
    const std::string name = fixture.gateway.provision_calls[0].request;
    RecordingGateway::answer(fixture.gateway.provision_calls, 1300,
                             cloud::ProvisionReply{Result::unknown, {}});
    fixture.autoscaler.scale_out({&job}, {}, 1400);
    fixture.record_intents(2500);
    EXPECT_TRUE(fixture.gateway.provision_calls.empty())
        << "requested again under another name, or at once";
    fixture.autoscaler.run_due_work(3000);
    ASSERT_EQ(fixture.gateway.provision_calls.size(), 1u);
    EXPECT_EQ(fixture.gateway.provision_calls[0].request, name);
    // The retry was rejected and not executed, but the first attempt may still be executed.
    RecordingGateway::answer(fixture.gateway.provision_calls, 3100,
                             cloud::ProvisionReply{Result::rejected, {}});
    fixture.autoscaler.scale_out({&job}, {}, 3200);
    fixture.autoscaler.run_due_work(4800);
    ASSERT_EQ(fixture.gateway.provision_calls.size(), 1u);
    EXPECT_EQ(fixture.gateway.provision_calls[0].request, name);
    RecordingGateway::answer(fixture.gateway.provision_calls, 4900, provisioned({"n-1"}));
    EXPECT_NE(fixture.cluster.machine("n-1"), nullptr);
    EXPECT_TRUE(fixture.intent_log.is_recorded(lease::Role::scale_out, name))
        << "the intent is kept until every list from the cloud contains its machines";
    fixture.autoscaler.run_due_work(4900 + 2 * 3'000 + 1'000);
    EXPECT_FALSE(fixture.intent_log.is_recorded(lease::Role::scale_out, name));
}

// Nothing is done under a role whose fence has changed. The record is not written, the gateway is
// notified, and nothing is sent until the new fence is known.
TEST(ControlParts, NothingIsSentUnderARoleHeldElsewhere) {
    ControlFixture fixture;
    fixture.cluster.release_machine(fixture.add_ready_machine("m-1", "plain", "a"),
                                    cluster::ReleaseReason::idle);
    fixture.autoscaler.send_releases(1000);
    fixture.intent_log.write(1000);
    kvstore::CommitReply conflict;
    conflict.status = kvstore::Status::conflict;
    conflict.failed_conditions = {"duty/returning"};
    RecordingGateway::answer(fixture.gateway.commits, 1010, conflict);
    ASSERT_EQ(fixture.gateway.rejected_roles.size(), 1u);
    EXPECT_EQ(fixture.gateway.rejected_roles[0], lease::Role::scale_in);
    fixture.record_intents(3000);
    fixture.autoscaler.send_releases(3000);
    EXPECT_TRUE(fixture.gateway.release_calls.empty());
    fixture.term.set_role_fence(lease::Role::scale_in, 99);
    fixture.intent_log.write(4000);  // reads the record first, since the write's outcome is unknown
    kvstore::GetReply none;
    none.status = kvstore::Status::missing;
    RecordingGateway::answer(fixture.gateway.reads, 4010, none);
    fixture.record_intents(4020);
    fixture.autoscaler.send_releases(4030);
    EXPECT_EQ(fixture.gateway.release_calls.size(), 1u);
}

}  // namespace
