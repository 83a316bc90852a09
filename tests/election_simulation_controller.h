/// @file
/// One controller of an election simulation: its clock, its faults, and the services that its
/// election and role manager use. Included only by the sources of the simulation.
#pragma once
#include <memory>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "election/election.h"
#include "roles/role_manager.h"
#include "roles/role_services.h"
#include "tests/election_simulation.h"

namespace nickelramp::test {

struct ElectionSimulation::Controller : election::ElectionObserver {
    struct Partition {
        Link link;
        Millis until;
        bool held;
    };

    /// Access of the election to the simulated key-value store.
    struct ElectionStore : election::ElectionStore {
        explicit ElectionStore(Controller& owner) : controller(owner) {}
        void list(const std::string& prefix, ListDone done) override;
        void watch(const std::string& prefix, std::uint64_t after, Millis wait,
                   ListDone done) override;
        void get(const std::string& key, GetDone done) override;
        void commit(const kvstore::Transaction& transaction, CommitDone done) override;
        void grant_lease(Millis ttl, LeaseDone done) override;
        void renew_lease(std::uint64_t lease_id, LeaseDone done) override;
        void revoke_lease(std::uint64_t lease_id) override;

        Controller& controller;
    };

    /// The services that the role manager uses: state store, peers, cloud and leadership.
    struct RoleServices : roles::RoleStateStore,
                          roles::RolePeerChannel,
                          roles::RoleCloud,
                          roles::Leadership {
        explicit RoleServices(Controller& owner) : controller(owner) {}
        void commit(kvstore::Transaction transaction, RoleRecordStore::CommitDone done) override;
        void list_roles(RoleRecordStore::ListDone done) override;
        void commit_garbage_collection(const Proof& proof, kvstore::Transaction transaction,
                                       GarbageCollectionStore::CommitDone done) override;
        void list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                       GarbageCollectionStore::ListDone done) override;
        bool has_spare_budget() const override { return true; }
        void grant_lease(Millis ttl, LeaseDone done) override;
        void renew_lease(std::uint64_t lease_id, LeaseDone done) override;
        void revoke_lease(std::uint64_t lease_id) override;
        void send_assignment(const std::string& peer,
                             const peers::RoleAssignment& assignment) override;
        bool send_request(const std::string& peer, const peers::DelegatedRequest& request) override;
        void send_result(const std::string& peer, const peers::DelegatedResult& result) override;
        void provision(const lease::LeaseProof<lease::ScaleOut>& proof,
                       const cloud::ProvisioningIntent& intent, ProvisionDone done) override;
        void release(const lease::LeaseProof<lease::ScaleIn>& proof,
                     const std::vector<std::string>& machines, ProvisionDone done) override;
        bool is_unreachable(Millis now) const override;
        Millis clock() const override { return controller.local_time(); }
        lease::Lease leader_lease() const override { return controller.leader_lease(); }
        void on_fence_changed(lease::Role role, std::uint64_t fence) override;

        template <typename Purpose>
        void send_to_cloud(const lease::LeaseProof<Purpose>& proof, lease::Role role,
                           ProvisionDone done);
        template <typename Deliver>
        bool send_as_leader(const std::string& peer, Deliver deliver);

        Controller& controller;
    };

    Controller(ElectionSimulation& owner, std::size_t position, std::uint64_t process,
               double clock_drift);
    /// Creates the election and the role manager.
    void create(std::uint64_t seed);

    Millis local_time() const {
        const auto now = static_cast<double>(simulation.now_);
        return clock_offset + static_cast<Millis>(now * (1 + drift));
    }
    /// Returns the simulated time at which this controller's clock shows `local`.
    Millis simulated_time(Millis local) const {
        return static_cast<Millis>(static_cast<double>(local - clock_offset) / (1 + drift)) + 1;
    }
    lease::Lease leader_lease() const {
        if (term == 0) return {};
        return {term, election->lease_valid_until()};
    }
    bool certainly_leads() const {
        const lease::Lease lease = leader_lease();
        return lease.fence != 0 && local_time() < lease.expires_at;
    }
    template <typename... Fields>
    void trace(const char* kind, const Fields&... fields) {
        simulation.trace_.add(simulation.now_, kind, name, incarnation, fields...);
    }
    /// Sends a request to the state service.
    template <typename Reply>
    void send_store_request(std::function<Reply()> execute,
                            std::function<void(Millis now, const Reply&)> done,
                            std::function<bool()> may_send = {},
                            std::function<void()> on_sent = {});

    ElectionSimulation& simulation;
    std::size_t index;
    std::string name;
    std::uint64_t incarnation;
    double drift;         ///< of the monotonic clock, as a fraction
    Millis clock_offset;  ///< what the clock shows at simulated time 0
    bool running = true;  ///< false once the process has crashed
    Millis frozen_until = 0;
    std::vector<Partition> partitions;
    std::uint64_t term = 0;  ///< the term that this controller leads; 0: none
    ElectionStore election_store{*this};
    RoleServices role_services{*this};
    std::unique_ptr<election::Election> election;
    std::unique_ptr<roles::RoleManager> role_manager;

  private:
    void on_elected(std::uint64_t elected_term, std::uint64_t version) override;
    void on_lease_confirmed(Millis valid_until) override { trace("confirmed", valid_until); }
    void on_deposed() override;
    void on_leader_changed(const std::string& leader) override { trace("leader-changed", leader); }
};

// Requests are sent after a short random delay, during which the lease may expire.
template <typename Reply>
void ElectionSimulation::send_request(Controller& controller, Request<Reply> request) {
    constexpr RequestKind kKind =
        std::is_same_v<Reply, kvstore::CommitReply>    ? RequestKind::transaction
        : std::is_same_v<Reply, kvstore::LeaseReply>   ? RequestKind::lease
        : std::is_same_v<Reply, cloud::ProvisionReply> ? RequestKind::cloud
                                                       : RequestKind::read;
    auto sent = std::make_shared<const Request<Reply>>(std::move(request));
    run_in_process(controller, now_ + delay(40), [this, &controller, sent] {
        if (sent->may_send && !sent->may_send()) {
            ++acts_refused_;
            sent->done(controller.local_time(), sent->refused);
            return;
        }
        if (sent->on_sent) sent->on_sent();
        if (sent->link == Link::state && store_.is_down()) {
            run_in_process(controller, now_ + delay(10), [&controller, sent] {
                sent->done(controller.local_time(), sent->refused);
            });
            return;
        }
        const Delivery delivery = draw_delivery(controller, sent->link, kKind);
        if (delivery.arrives) {
            at(now_ + delivery.delay, [this, &controller, sent, delivery] {
                if (sent->link == Link::state && store_.is_down()) return;
                const std::size_t first_change = store_.change_count();
                const Reply reply = sent->execute();
                if (delivery.only_reply_lost) count_lost_replies(kKind, first_change);
                if constexpr (kKind == RequestKind::transaction) {
                    if (delivery.executed_late && reply.status == kvstore::Status::ok)
                        ++late_applied_;
                }
                if (!delivery.reply_arrives) return;
                if (kKind != RequestKind::read)
                    repeat_request(sent->link, [sent] { static_cast<void>(sent->execute()); });
                run_in_process(controller, now_ + delay(10), [&controller, sent, reply] {
                    sent->done(controller.local_time(), reply);
                });
            });
        }
        if (!delivery.reply_arrives) {
            run_in_process(
                controller, now_ + 2'000,
                [&controller, sent] { sent->done(controller.local_time(), sent->unknown); }, true);
        }
    });
}

}  // namespace nickelramp::test
