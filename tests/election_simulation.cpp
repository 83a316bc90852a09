#include "tests/election_simulation.h"

#include <algorithm>
#include <utility>

#include "peers/messages.h"
#include "tests/election_simulation_controller.h"

namespace nickelramp::test {

using lease::Role;

namespace {
constexpr Millis kTick = 200;
constexpr Millis kStatusInterval = 1'000;
constexpr Millis kMaxStep = 50;
constexpr Millis kTimerDelayAfterFreeze = 20;
constexpr std::uint64_t kLongStateAge = 60'000;

std::size_t index_of(Role role) { return static_cast<std::size_t>(role); }
}  // namespace

ElectionSimulation::ElectionSimulation(std::uint64_t seed, std::size_t controllers)
    : random_(seed) {
    controllers_.resize(controllers);
    for (std::size_t index = 0; index < controllers; ++index) start(index);
}

ElectionSimulation::~ElectionSimulation() = default;

roles::RoleManager& ElectionSimulation::role_manager(std::size_t index) {
    return *controllers_[index]->role_manager;
}

// --- Processes

void ElectionSimulation::start(std::size_t index) {
    if (controllers_[index]) ended_controllers_.push_back(std::move(controllers_[index]));
    const double drift = static_cast<double>(static_cast<int>(random_() % 11) - 5) * 0.0001;
    controllers_[index] = std::make_unique<Controller>(*this, index, ++incarnations_, drift);
    Controller& controller = *controllers_[index];
    controller.create(random_());
    run_in_process(controller, now_ + delay(100), [this, &controller] {
        controller.election->start();
        tick(controller);
        send_status(controller);
    });
}

void ElectionSimulation::run_in_process(Controller& controller, Millis time,
                                        std::function<void()> event, bool is_timer) {
    at(time, [this, &controller, event = std::move(event), is_timer] {
        if (!controller.running) return;
        if (now_ >= controller.frozen_until) return event();
        const Millis resumed_at = controller.frozen_until + (is_timer ? kTimerDelayAfterFreeze : 0);
        run_in_process(controller, resumed_at, event, is_timer);
    });
}

void ElectionSimulation::tick(Controller& controller) {
    run_in_process(
        controller, now_ + kTick, [this, &controller] { tick(controller); }, true);
    controller.role_manager->run_due_work(controller.local_time());
    if (controller.leader_lease().fence != 0) request_cloud_changes(controller);
}

// Requests a new machine and the release of another in one of four ticks, chosen at random.
void ElectionSimulation::request_cloud_changes(Controller& controller) {
    if (random_() % 4 != 0) return;
    const std::string request = "r-" + std::to_string(++requests_);
    controller.role_manager->provision(
        {request, "g4", "a", false, 1},
        [&controller, request](Millis, const auto& reply) {
            controller.trace("rental-answer", request, traced(reply));
        },
        controller.local_time());
    const std::string machine = "m-" + std::to_string(requests_);
    controller.role_manager->release(
        {machine},
        [&controller, machine](Millis, const auto& reply) {
            controller.trace("return-answer", machine, traced(reply));
        },
        controller.local_time());
}

void ElectionSimulation::send_status(Controller& controller) {
    run_in_process(
        controller, now_ + kStatusInterval, [this, &controller] { send_status(controller); }, true);
    peers::Status status;
    status.from = controller.name;
    status.incarnation = controller.incarnation;
    status.clock_ms = static_cast<std::uint64_t>(controller.local_time());
    status.term = controller.term;
    const bool unanswered = is_partitioned(controller, Link::state) || store_.is_down();
    status.state_age_ms = unanswered ? kLongStateAge : 0;
    controller.role_manager->fill_status(status, controller.local_time());
    controller.trace("peer-message", traced(peers::encode(status)));
    for (const auto& other : controllers_) {
        if (other.get() == &controller) continue;
        send_message(controller, other->name, [status](Controller& receiver) {
            receiver.role_manager->on_status(status, receiver.local_time());
        });
    }
    controller.role_manager->send_assignment(controller.local_time());
}

// --- Links

ElectionSimulation::Controller* ElectionSimulation::controller_named(const std::string& name) {
    for (const auto& controller : controllers_) {
        if (controller->name == name) return controller.get();
    }
    return nullptr;
}

bool ElectionSimulation::is_partitioned(const Controller& controller, Link link) const {
    return std::any_of(controller.partitions.begin(), controller.partitions.end(),
                       [&](const Controller::Partition& partition) {
                           return partition.link == link && now_ < partition.until;
                       });
}

void ElectionSimulation::send_message(Controller& from, const std::string& to,
                                      std::function<void(Controller&)> deliver) {
    Controller* receiver = controller_named(to);
    if (receiver == nullptr || chance(message_loss)) return;
    Millis travel_time = delay(20);
    for (const Controller* end : {&from, receiver}) {
        for (const Controller::Partition& partition : end->partitions) {
            if (partition.link != Link::peers || now_ >= partition.until) continue;
            if (!partition.held) return;
            travel_time = std::max(travel_time, partition.until - now_ + delay(500));
        }
    }
    run_in_process(*receiver, now_ + travel_time,
                   [receiver, deliver = std::move(deliver)] { deliver(*receiver); });
}

ElectionSimulation::Delivery ElectionSimulation::draw_delivery(const Controller& controller,
                                                               Link link, RequestKind kind) {
    Delivery delivery;
    delivery.delay = delay(10);
    delivery.reply_arrives = !chance(message_loss);
    for (const Controller::Partition& partition : controller.partitions) {
        if (partition.link != link || now_ >= partition.until) continue;
        delivery.reply_arrives = false;
        delivery.arrives = partition.held;
        delivery.delay = std::max(delivery.delay, partition.until - now_ + delay(500));
    }
    const bool is_transaction = kind == RequestKind::transaction;
    delivery.executed_late = is_transaction && chance(late_writes);
    if (delivery.executed_late) {
        delivery.delay = std::max(delivery.delay, 2'000 + delay(10'000));
        delivery.reply_arrives = false;
    }
    const bool may_lose_reply = is_transaction || kind == RequestKind::lease;
    delivery.only_reply_lost = may_lose_reply && lost_write_replies > 0 && delivery.arrives &&
                               !delivery.executed_late && chance(lost_write_replies);
    if (delivery.only_reply_lost) delivery.reply_arrives = false;
    return delivery;
}

void ElectionSimulation::repeat_request(Link link, const std::function<void()>& execute) {
    if (repeated_requests == 0 || !chance(repeated_requests)) return;
    const Millis max_delay = chance(0.5) ? 1'000 : 60'000;
    at(now_ + delay(max_delay), [this, link, execute] {
        if (link == Link::state && store_.is_down()) return;
        ++copies_;
        execute();
    });
}

void ElectionSimulation::count_lost_replies(RequestKind kind, std::size_t first_change) {
    for (std::size_t index = first_change; index < store_.change_count(); ++index)
        ++lost_write_replies_by_key_[store_.changed_key(index)];
    if (kind == RequestKind::lease) ++lost_write_replies_by_key_["hold"];
}

std::size_t ElectionSimulation::lost_write_replies_of(const std::string& prefix) const {
    std::size_t total = 0;
    for (const auto& [key, count] : lost_write_replies_by_key_)
        total += key.starts_with(prefix) ? count : 0;
    return total;
}

// --- Faults

void ElectionSimulation::crash(std::size_t index, Millis restart_after) {
    controllers_[index]->running = false;
    at(now_ + restart_after, [this, index, crashed = controllers_[index]->incarnation] {
        if (controllers_[index]->incarnation == crashed) start(index);
    });
}

void ElectionSimulation::freeze(std::size_t index, Millis duration) {
    Millis& frozen_until = controllers_[index]->frozen_until;
    frozen_until = std::max(frozen_until, now_ + duration);
}

void ElectionSimulation::partition(std::size_t index, Link link, Millis duration, bool held) {
    controllers_[index]->partitions.push_back({link, now_ + duration, held});
}

void ElectionSimulation::take_state_service_down(Millis duration) {
    store_.take_down_until(now_ + duration);
    at(store_.down_until(), [this] {
        if (!store_.is_down()) store_.restore();
    });
}

// --- Leadership and roles

std::size_t ElectionSimulation::leader() const {
    for (const auto& controller : controllers_) {
        if (controller->running && controller->certainly_leads()) return controller->index;
    }
    return size();
}

bool ElectionSimulation::may_act(const Controller& controller, Role role) const {
    const lease::Lease lease = controller.role_manager->lease_for(role);
    return controller.running && lease.fence != 0 && controller.local_time() < lease.expires_at;
}

std::size_t ElectionSimulation::role_holder(Role role) const {
    for (const auto& controller : controllers_) {
        if (may_act(*controller, role)) return controller->index;
    }
    return size();
}

// Asserts that no other controller may act under the role now and that no later holder has acted.
void ElectionSimulation::on_act(Controller& controller, Role role, std::uint64_t fence) {
    controller.trace("act", static_cast<int>(role), fence);
    ++act_counts_[index_of(role)];
    if (!controller.role_manager->assigner().is_leading()) ++acts_by_helper_;
    EXPECT_GE(fence, last_fence_[index_of(role)]) << controller.name << " acts under " << name(role)
                                                  << " after its successor has acted, at " << now_;
    last_fence_[index_of(role)] = fence;
    for (const auto& other : controllers_) {
        if (other.get() == &controller) continue;
        EXPECT_FALSE(may_act(*other, role))
            << controller.name << " and " << other->name << " may both act under " << name(role)
            << " at " << now_;
    }
}

Millis ElectionSimulation::longest_vacancy(Role role) {
    const std::size_t index = index_of(role);
    if (vacant_since_[index] != 0)
        longest_vacancy_[index] = std::max(longest_vacancy_[index], now_ - vacant_since_[index]);
    return std::exchange(longest_vacancy_[index], 0);
}

// Asserts that at most one controller may act under the role, and measures vacancies. The role
// counts as vacant while its holder is frozen.
void ElectionSimulation::check_role(Role role) {
    const std::size_t index = index_of(role);
    std::size_t holders = 0;
    bool vacant = true;
    for (const auto& controller : controllers_) {
        if (!may_act(*controller, role)) continue;
        ++holders;
        if (now_ >= controller->frozen_until) vacant = false;
    }
    EXPECT_LE(holders, 1u) << name(role) << " at " << now_;
    if (!vacant) {
        if (vacant_since_[index] != 0)
            longest_vacancy_[index] =
                std::max(longest_vacancy_[index], now_ - vacant_since_[index]);
        vacant_since_[index] = 0;
    } else if (vacant_since_[index] == 0) {
        vacant_since_[index] = now_;
    }
}

void ElectionSimulation::run_due_events() {
    while (!queue_.empty() && queue_.begin()->first <= now_) {
        const auto event = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        event();
    }
}

void ElectionSimulation::run_until(Millis until) {
    while (now_ < until && !testing::Test::HasFailure()) {
        Millis next = std::min(until, now_ + kMaxStep);
        if (!queue_.empty()) next = std::min(next, std::max(now_, queue_.begin()->first));
        now_ = next;
        run_due_events();
        store_.expire_leases();
        for (Role role : lease::kAllRoles) check_role(role);
    }
}

}  // namespace nickelramp::test
