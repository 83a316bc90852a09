#include "tests/election_simulation_controller.h"

#include <algorithm>

namespace nickelramp::test {

using lease::Role;

namespace {
constexpr std::size_t kMaxOperations = 6;  // per transaction
constexpr std::size_t kAllKeys = 10'000;
constexpr Millis kWatchGrace = 5'000;
}  // namespace

ElectionSimulation::Controller::Controller(ElectionSimulation& owner, std::size_t position,
                                           std::uint64_t process, double clock_drift)
    : simulation(owner),
      index(position),
      name("node-" + std::to_string(position)),
      incarnation(process),
      drift(clock_drift),
      clock_offset(static_cast<Millis>(process) * 1'000) {}

void ElectionSimulation::Controller::create(std::uint64_t seed) {
    role_manager = std::make_unique<roles::RoleManager>(
        name, incarnation, kMaxOperations,
        roles::RoleServices{role_services, role_services, role_services, role_services});
    election = std::make_unique<election::Election>(
        election_store, *this, name, seed, [this](Millis local) {
            simulation.run_in_process(
                *this, std::max(simulation.now_ + 1, simulated_time(local)),
                [this] { election->run_due_work(local_time()); }, true);
        });
}

void ElectionSimulation::Controller::on_elected(std::uint64_t elected_term, std::uint64_t version) {
    trace("elected", elected_term, version);
    term = elected_term;
    role_manager->start_leading(elected_term, {election::kTermKey, version}, election->lease_id(),
                                local_time());
}

void ElectionSimulation::Controller::on_deposed() {
    trace("deposed");
    term = 0;
    role_manager->stop_leading();
}

template <typename Reply>
void ElectionSimulation::Controller::send_store_request(
    std::function<Reply()> execute, std::function<void(Millis now, const Reply&)> done,
    std::function<bool()> may_send, std::function<void()> on_sent) {
    Request<Reply> request;
    request.link = Link::state;
    request.execute = std::move(execute);
    request.done = std::move(done);
    request.refused.status = kvstore::Status::refused;
    request.may_send = std::move(may_send);
    request.on_sent = std::move(on_sent);
    simulation.send_request(*this, std::move(request));
}

// --- Requests of the election

void ElectionSimulation::Controller::ElectionStore::list(const std::string& prefix, ListDone done) {
    controller.trace("election-list", prefix);
    controller.send_store_request<kvstore::ListReply>(
        [this, prefix] { return controller.simulation.store_.list(prefix, "", kAllKeys); },
        std::move(done));
}

void ElectionSimulation::Controller::ElectionStore::watch(const std::string& prefix,
                                                          std::uint64_t after, Millis wait,
                                                          ListDone done) {
    controller.trace("election-watch", prefix, after, wait);
    ElectionSimulation& simulation = controller.simulation;
    auto answered = std::make_shared<bool>(false);
    auto reply_with = [this, &simulation, done, answered](const kvstore::ListReply& reply) {
        if (*answered || simulation.is_partitioned(controller, Link::state)) return;  // reply lost
        *answered = true;
        simulation.run_in_process(controller, simulation.now_ + simulation.delay(5),
                                  [this, done, reply] { done(controller.local_time(), reply); });
    };
    if (!simulation.is_partitioned(controller, Link::state)) {
        simulation.at(simulation.now_ + simulation.delay(5),
                      [&simulation, prefix, after, reply_with] {
                          simulation.store_.watch(prefix, after, reply_with);
                      });
    }
    simulation.at(simulation.now_ + wait, [&simulation, after, reply_with] {
        kvstore::ListReply unchanged;
        unchanged.status = kvstore::Status::ok;
        unchanged.revision = after;
        if (!simulation.store_.is_down()) reply_with(unchanged);
    });
    simulation.run_in_process(controller, simulation.now_ + wait + kWatchGrace,
                              [this, done, answered] {
                                  if (!std::exchange(*answered, true))
                                      done(controller.local_time(), {});
                              });
}

void ElectionSimulation::Controller::ElectionStore::get(const std::string& key, GetDone done) {
    controller.trace("election-get", key);
    controller.send_store_request<kvstore::GetReply>(
        [this, key] { return controller.simulation.store_.get(key); }, std::move(done));
}

void ElectionSimulation::Controller::ElectionStore::commit(const kvstore::Transaction& transaction,
                                                           CommitDone done) {
    controller.trace("election-commit", traced(transaction));
    controller.send_store_request<kvstore::CommitReply>(
        [this, transaction] { return controller.simulation.store_.apply(transaction); },
        std::move(done));
}

void ElectionSimulation::Controller::ElectionStore::grant_lease(Millis ttl, LeaseDone done) {
    controller.trace("lease", ttl);
    controller.send_store_request<kvstore::LeaseReply>(
        [this, ttl] { return controller.simulation.store_.grant_lease(ttl); }, std::move(done));
}

void ElectionSimulation::Controller::ElectionStore::renew_lease(std::uint64_t lease_id,
                                                                LeaseDone done) {
    controller.trace("renew", lease_id);
    controller.send_store_request<kvstore::LeaseReply>(
        [this, lease_id] { return controller.simulation.store_.renew_lease(lease_id); },
        std::move(done));
}

void ElectionSimulation::Controller::ElectionStore::revoke_lease(std::uint64_t lease_id) {
    controller.trace("end-lease", lease_id);
    ElectionSimulation& simulation = controller.simulation;
    if (simulation.chance(simulation.late_writes)) {
        simulation.at(simulation.now_ + 2'000 + simulation.delay(10'000),
                      [&simulation, lease_id] { simulation.store_.expire_lease(lease_id); });
        return;
    }
    controller.send_store_request<kvstore::LeaseReply>(
        [&simulation, lease_id] {
            simulation.store_.expire_lease(lease_id);
            return kvstore::LeaseReply{kvstore::Status::ok, 0};
        },
        [](Millis, const kvstore::LeaseReply&) {});
}

// --- Requests of the role manager

void ElectionSimulation::Controller::RoleServices::commit(kvstore::Transaction transaction,
                                                          RoleRecordStore::CommitDone done) {
    controller.trace("commit", traced(transaction));
    auto may_send = [this, term = controller.leader_lease().fence] {
        const lease::Lease lease = controller.leader_lease();
        return lease.fence == term && controller.local_time() < lease.expires_at;
    };
    controller.send_store_request<kvstore::CommitReply>(
        [this, transaction] { return controller.simulation.store_.apply(transaction); },
        std::move(done), may_send);
}

void ElectionSimulation::Controller::RoleServices::commit_garbage_collection(
    const Proof& proof, kvstore::Transaction transaction, GarbageCollectionStore::CommitDone done) {
    controller.trace("clean", proof.fence(), traced(transaction));
    controller.send_store_request<kvstore::CommitReply>(
        [this, transaction] { return controller.simulation.store_.apply(transaction); },
        std::move(done), [proof] { return proof.is_valid(); },
        [this, proof] {
            controller.simulation.on_act(controller, Role::garbage_collection, proof.fence());
        });
}

void ElectionSimulation::Controller::RoleServices::list_page(
    const std::string& prefix, const std::string& after, std::size_t limit,
    GarbageCollectionStore::ListDone done) {
    controller.trace("page", prefix, after, limit);
    controller.send_store_request<kvstore::ListReply>(
        [this, prefix, after, limit] {
            return controller.simulation.store_.list(prefix, after, limit);
        },
        std::move(done));
}

void ElectionSimulation::Controller::RoleServices::list_roles(RoleRecordStore::ListDone done) {
    list_page(lease::kRoleKeyPrefix, "", kAllKeys, std::move(done));
}

void ElectionSimulation::Controller::RoleServices::grant_lease(Millis ttl, LeaseDone done) {
    controller.election_store.grant_lease(ttl, std::move(done));
}

void ElectionSimulation::Controller::RoleServices::renew_lease(std::uint64_t lease_id,
                                                               LeaseDone done) {
    controller.election_store.renew_lease(lease_id, std::move(done));
}

void ElectionSimulation::Controller::RoleServices::revoke_lease(std::uint64_t lease_id) {
    controller.election_store.revoke_lease(lease_id);
}

template <typename Deliver>
bool ElectionSimulation::Controller::RoleServices::send_as_leader(const std::string& peer,
                                                                  Deliver deliver) {
    if (!controller.certainly_leads()) return false;
    ElectionSimulation& simulation = controller.simulation;
    for (const auto& other : simulation.controllers_) {
        if (other.get() == &controller) continue;
        EXPECT_FALSE(other->running && other->certainly_leads())
            << controller.name << " and " << other->name << " both lead at " << simulation.now_;
    }
    simulation.send_message(controller, peer, deliver);
    return true;
}

void ElectionSimulation::Controller::RoleServices::send_assignment(
    const std::string& peer, const peers::RoleAssignment& assignment) {
    controller.trace("peer-message", peer, traced(peers::encode(assignment)));
    (void)send_as_leader(peer, [assignment](Controller& receiver) {
        receiver.role_manager->on_assignment(assignment, receiver.local_time());
    });
}

bool ElectionSimulation::Controller::RoleServices::send_request(
    const std::string& peer, const peers::DelegatedRequest& request) {
    controller.trace("peer-message", peer, traced(peers::encode(request)));
    return send_as_leader(peer, [request](Controller& receiver) {
        receiver.role_manager->on_delegated_request(request);
    });
}

void ElectionSimulation::Controller::RoleServices::send_result(
    const std::string& peer, const peers::DelegatedResult& result) {
    controller.trace("peer-message", peer, traced(peers::encode(result)));
    controller.simulation.send_message(controller, peer, [result](Controller& receiver) {
        receiver.role_manager->on_delegated_result(result, receiver.local_time());
    });
}

template <typename Purpose>
void ElectionSimulation::Controller::RoleServices::send_to_cloud(
    const lease::LeaseProof<Purpose>& proof, Role role, ProvisionDone done) {
    using Result = cloud::ProvisionReply::Result;
    Request<cloud::ProvisionReply> request;
    request.link = Link::cloud;
    request.execute = [] { return cloud::ProvisionReply{Result::provisioned, {}}; };
    request.done = std::move(done);
    request.refused = {Result::not_sent, {}};
    request.unknown = {Result::unknown, {}};
    request.may_send = [proof] { return proof.is_valid(); };
    request.on_sent = [this, role, proof] {
        controller.simulation.on_act(controller, role, proof.fence());
    };
    controller.simulation.send_request(controller, std::move(request));
}

void ElectionSimulation::Controller::RoleServices::provision(
    const lease::LeaseProof<lease::ScaleOut>& proof, const cloud::ProvisioningIntent& intent,
    ProvisionDone done) {
    controller.trace("rent", proof.fence(), intent.name, intent.type, intent.zone, intent.spot,
                     intent.count);
    send_to_cloud(proof, Role::scale_out, std::move(done));
}

void ElectionSimulation::Controller::RoleServices::release(
    const lease::LeaseProof<lease::ScaleIn>& proof, const std::vector<std::string>& machines,
    ProvisionDone done) {
    controller.trace("return", proof.fence(), machines);
    send_to_cloud(proof, Role::scale_in, std::move(done));
}

bool ElectionSimulation::Controller::RoleServices::is_unreachable(Millis) const {
    return controller.simulation.is_partitioned(controller, Link::cloud);
}

void ElectionSimulation::Controller::RoleServices::on_fence_changed(Role role,
                                                                    std::uint64_t fence) {
    controller.trace("fenced", static_cast<int>(role), fence);
}

}  // namespace nickelramp::test
