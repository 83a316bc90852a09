#include "tests/world.h"

#include <algorithm>

namespace nickelramp::test {

using wire::Json;

wire::Settings world_settings() {
    wire::Settings s;
    s.name = "node";
    s.zones = {"a", "b"};
    s.teams = {{"red", 0, 0, 8, 12}, {"blue", 0, 0, 4, 16}};
    s.report_s = 3;
    s.lease_s = 20;
    s.gang_wait_s = 20;
    s.gang_peer_s = 4;
    s.cancel_s = 36;
    s.state_txn_ops = 6;
    s.state_value_kb = 8;
    s.list_lag_s = 3;
    return s;
}

Json job(const std::string& id, const std::string& shape, std::uint32_t tasks, double gpus) {
    return {{"id", id},
            {"jobclass", shape},
            {"crew", "red"},
            {"shape", shape},
            {"urgency", shape == "standing"   ? "prod"
                        : shape == "ensemble" ? "urgent"
                                              : "normal"},
            {"legs", tasks},
            {"cores", 2.0},
            {"cards", gpus},
            {"mem_gb", 4.0},
            {"bundle", "img-1"},
            {"pull_gb", 2.0},
            {"rigs", nullptr},
            {"yard", nullptr},
            {"one_zone", false},
            {"scatter", false},
            {"standby", false},
            {"guess_s", 10.0},
            {"save_every_s", 5.0},
            {"save_cost_s", 2.0},
            {"due_s", nullptr}};
}

wire::Report report(std::uint64_t session, std::uint64_t seq, std::uint64_t token) {
    wire::Report r;
    r.session = session;
    r.seq = seq;
    r.token = token;
    return r;
}

World::World(std::uint64_t seed, Trouble trouble, std::uint32_t share,
             std::vector<wire::MachineType> types)
    : settings_(world_settings()), share_(share), trouble_(trouble), random_(seed) {
    types_ = std::move(types);
    if (types_.empty()) {
        types_ = {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}},
                  {"g2", 8, 2, 32, 50, 1, 6, 3, 10, {"a"}}};
    }
    if (share > 0) settings_.peers = {{"holder-0", "a", "x"}, {"holder-1", "b", "x"}};
    for (std::size_t i = 0; i < 2 && share > 0; ++i) {
        holder_settings_[i] = settings_;
        holder_settings_[i].name = "holder-" + std::to_string(i);
        nodes_.push_back(std::make_unique<Node>());
        nodes_.back()->world = this;
        start_holder(i);
    }
    take_over();
    if (share > 0) at(100, [this] { back_channel(); });
}

// A holder's process begins, perhaps after another died: without a book, as another incarnation.
void World::start_holder(std::size_t i) {
    Node& n = *nodes_[i];
    n.index = i;
    book::Outbox& outbox = n;
    std::uint64_t incarnation = ++incarnations_;
    n.holding =
        std::make_unique<dispatch::Holding>(holder_settings_[i], "lead/term", outbox, incarnation);
    n.deputy = std::make_unique<deputy::Deputy>(holder_settings_[i]);
    at(now_ + 100, [this, i, incarnation] { tick_holder(i, incarnation); });
}

void World::end_holders() {
    for (std::size_t i = 0; i < 2; ++i) start_holder(i);
}

void World::tick_holder(std::size_t i, std::uint64_t incarnation) {
    auto& h = nodes_[i]->holding;
    if (h->incarnation() != incarnation) return;
    h->tick(now_);
    h->bury();
    at(now_ + 100, [this, i, incarnation] { tick_holder(i, incarnation); });
}

// Every second holders say that they are there; the leader renews its grants.
void World::back_channel() {
    at(now_ + 1000, [this] { back_channel(); });
    for (std::size_t i = 0; i < 2; ++i) {
        if (chance(trouble_.holder_dies)) start_holder(i);
        if (chance(trouble_.lost_back) || deputy_cut(i)) continue;
        peers::Status s;
        s.from = holder_settings_[i].name;
        s.incarnation = nodes_[i]->holding->incarnation();
        s.clock_ms = static_cast<std::uint64_t>(now_);
        nodes_[i]->deputy->tell(s, now_);
        auto news = nodes_[i]->holding->news();
        nodes_[i]->trace("peer-message", traced(peers::encode(s)));
        if (news) nodes_[i]->trace("peer-message", traced(peers::encode(*news)));
        at(now_ + delay(20), [this, s, news] {
            if (leader() == nullptr) return;
            leader()->peer_heard(s, now_);
            if (news) leader()->on_news(*news, now_);
        });
    }
    at(now_ + 50, [this] {
        if (leader() == nullptr) return;
        for (auto& [name, l] : leader()->leaves(now_ - 200, now_)) {
            leading()->trace("peer-message", name, traced(peers::encode(l)));
            std::size_t i = name == holder_settings_[0].name ? 0 : 1;
            if (chance(trouble_.lost_back) || deputy_cut(i) || trouble_.one_way) continue;
            at(now_ + delay(20), [this, i, leave = l] {
                Node& n = *nodes_[i];
                n.leader_at = now_;
                n.deputy->on_leave(leave, n.holding->incarnation(), now_);
            });
        }
        for (auto& [name, g] : leader()->grants(now_ - 200, now_)) {
            leading()->trace("peer-message", name, traced(peers::encode(g)));
            std::size_t i = name == holder_settings_[0].name ? 0 : 1;
            if (chance(trouble_.lost_back) || deputy_cut(i) || trouble_.one_way) continue;
            if (trouble_.lost_grant > 0 && chance(trouble_.lost_grant)) continue;
            Millis late = chance(trouble_.lost_back) ? delay(6000) : delay(20);
            at(now_ + late, [this, i, grant = g] {
                auto& h = *nodes_[i]->holding;
                h.on_grant(grant, types_, now_, now_);
                if (h.state() != dispatch::HoldingState::empty) ++lent_;
            });
        }
    });
}

World::~World() = default;

World::Node* World::leading() {
    auto it = std::find_if(nodes_.begin(), nodes_.end(), [](const auto& n) { return n->leads; });
    return it == nodes_.end() ? nullptr : it->get();
}

dispatch::Dispatcher* World::leader() {
    Node* n = leading();
    return n == nullptr ? nullptr : n->book.get();
}

// A new leader begins a term and reads the records; the old one may go on answering for a while.
void World::take_over() {
    for (auto& n : nodes_) {
        if (!n->leads) continue;
        n->leads = false;
        if (chance(trouble_.linger)) {
            n->book->confirm_until(0);
            n->answers_until = now_ + deputy::longest_answer(settings_);
        } else {
            n->book.reset();
        }
    }
    ++term_;
    set_key("lead/term", Json{{"term", term_}});
    std::size_t index = nodes_.size();  // its zone is never cut off
    nodes_.push_back(std::make_unique<Node>());
    Node& n = *nodes_.back();
    n.world = this;
    n.index = index;
    n.term = term_;
    n.leads = true;
    load(index);
}

// The new leader reads the records: users' wishes, blocks, intents and checkpoints, one list after
// the other and in pages, as the program does. Where lists are not slow it takes no time.
void World::load(std::size_t index) {
    Node& n = *nodes_[index];
    if (!n.leads) return;
    if (!served(n) || now_ < n.frozen_until) {
        at(now_ + 500, [this, index] { load(index); });
        return;
    }
    auto got = std::make_shared<Reading>();
    got->began = now_;
    got->revision = revision_;
    read_on(index, std::move(got));
}

void World::read_on(std::size_t index, std::shared_ptr<Reading> got) {
    static const char* prefixes[] = {"open/", "run/", "block/", duties::kIntentPrefix};
    constexpr std::size_t kPage = 4;
    Node& n = *nodes_[index];
    if (!n.leads) return;
    if (!served(n) || now_ < n.frozen_until) return load(index);  // from the beginning
    for (; got->prefix < std::size(prefixes); ++got->prefix, got->after.clear()) {
        const std::string prefix = prefixes[got->prefix];
        auto it = keys_.upper_bound(std::max(prefix, got->after));
        for (std::size_t i = 0; it != keys_.end() && it->first.rfind(prefix, 0) == 0; ++it, ++i) {
            if (trouble_.slow_lists > 0 && i == kPage) break;
            got->records[it->first] = it->second;
            got->after = it->first;
        }
        if (trouble_.slow_lists == 0) continue;
        if (it == keys_.end() || it->first.rfind(prefix, 0) != 0) ++got->prefix, got->after.clear();
        at(now_ + delay(trouble_.slow_lists), [this, index, got] { read_on(index, got); });
        return;
    }
    begin_book(index, *got);
}

void World::begin_book(std::size_t index, const Reading& got) {
    Node& n = *nodes_[index];
    n.view = got.began;
    book::Outbox& outbox = n;
    n.book = std::make_unique<dispatch::Dispatcher>(
        settings_, dispatch::TermInfo{n.term, "lead/term", keys_["lead/term"].version}, outbox,
        now_);
    if (seats_) n.book->confirm_until(n.trust_until);
    n.book->load_types(types_);
    for (duties::Duty d : duties::kAll) {
        set_key(duties::duty_key(d), Json{{"holder", "node"}});
        n.book->set_fence(d, revision_);
    }
    options_.lent_machines = share_;
    n.book->set_options(options_);
    for (const auto& [key, stored] : got.records) {
        std::uint32_t b = 0;
        if (!blocks::parse_block_key(key, b)) continue;
        auto block = blocks::read_block(stored.value);
        ASSERT_TRUE(block);
        block->version = stored.version;
        n.book->load_block(b, *block);
    }
    for (const auto& [key, stored] : got.records) {
        if (key.rfind(duties::kIntentPrefix, 0) == 0)
            n.book->load_intents(key, stored.value, stored.version);
    }
    for (const auto& [key, stored] : got.records) {
        if (!jobs::id_of_open_key(key).empty()) {
            n.book->load_job(*jobs::read_open(stored.value), stored.version, now_, now_);
        }
    }
    for (const auto& [key, stored] : got.records) {
        std::string id;
        std::uint32_t chunk = 0;
        if (jobs::parse_run_key(key, id, chunk)) {
            n.book->load_run(id, chunk, *jobs::read_run(stored.value), stored.version, now_);
        }
    }
    n.book->start(now_);
    // The watch goes on from the first page.
    for (const auto& [key, stored] : keys_) {
        if (jobs::id_of_open_key(key).empty() || stored.version <= got.revision) continue;
        ++met_.wishes_while_read;
        tell_leader(key);
    }
    replay_kept();
    at(now_ + 100, [this, index] { tick_node(index); });
}

bool World::reading() {
    Node* n = leading();
    return n != nullptr && !n->book && n->refused_until != kNever;
}

Millis World::watched() {
    const Millis t = now_ + delay(20 + trouble_.slow_watch);
    return trouble_.slow_watch == 0 ? t : watched_at_ = std::max(watched_at_, t);
}

// A copy, or the report itself where it was on its way to one node.
void World::keep_for_next(const wire::Report& r, std::size_t node, bool follows) {
    if (kept_.size() < 400) kept_.push_back({r, node, follows, machines_[r.machine]->life});
}

// Copies reach every controller in the moment in which one begins, and again when it has acted;
// what was held on its way arrives then.
void World::replay_kept() {
    for (Kept& k : std::exchange(kept_, {})) {
        const Machine& m = *machines_[k.report.machine];
        ++met_.kept;
        met_.kept_of_gone += m.removed || m.dead ? 1 : 0;
        met_.kept_of_lives += m.life != k.life || m.session > k.report.session ? 1 : 0;
        auto everywhere = [this, k] {
            for (std::size_t i = 0; i < nodes_.size(); ++i)
                if (k.node == SIZE_MAX || k.node == i) hear(i, k.report, k.follows && k.node == i);
        };
        if (k.node == SIZE_MAX) {
            everywhere();
            at(now_ + delay(3'000), everywhere);
        } else {
            ++met_.heard_held;
        }
        at(now_ + delay(40'000), everywhere);
        // And at whoever leads by then.
        at(now_ + delay(40'000), [this, k] { hear(nodes_.size() - 1, k.report, false); });
    }
}

// --- seats

void World::hold_seats() {
    seats_ = true;
    if (Node* n = leading()) n->hold_end = now_ + duties::kHoldLife;
    tend_seats();
}

// Its hold is new, or was renewed a moment ago.
void World::hold(Node& n) {
    n.hold_end = now_ + duties::kHoldLife;
    n.trust_until = now_ - 20 + shorter(duties::kHoldLife);
    if (n.book) n.book->confirm_until(n.trust_until);
}

bool World::answers(const Node& n) const {
    return now_ >= n.frozen_until && now_ < n.view + n.book->answer_for();
}

// Renewals, the watch that dates a leader's view, and the end of holds.
void World::tend_seats() {
    at(now_ + 300, [this] { tend_seats(); });
    if (!state_up()) return;
    Node* first = leading();
    const bool seated = first != nullptr && now_ < first->hold_end;
    if (seated && served(*first) && now_ >= first->frozen_until) {
        hold(*first);
        if (now_ - first->view > 1'700) first->view = now_ - 200;
    }
    // Whoever lost it hears so when it hears the state service again.
    for (auto& n : nodes_) {
        if (!n->book || (n->leads && seated) || now_ < n->frozen_until || !served(*n)) continue;
        n->leads = false;
        n->book.reset();
    }
    if (seated) return;
    if (Node* n = leading()) n->leads = false;
    take_over();
    hold(*nodes_.back());
}

void World::refuse_leader(Millis length) {
    if (Node* n = leading()) n->refused_until = std::max(n->refused_until, now_ + length);
}

void World::state_down(Millis length) {
    const Millis until = now_ + length;
    down_until_ = std::max(down_until_, until);
    at(until, [this] {
        // Every hold that had not ended has its full time again.
        if (Node* n = leading(); n != nullptr && state_up()) n->hold_end = now_ + duties::kHoldLife;
    });
}

void World::lose_watch(Millis length) {
    watch_lost_until_ = now_ + length;
    at(watch_lost_until_, [this] {
        if (leader() == nullptr) return;
        state::ListReply all;
        for (const auto& [key, stored] : keys_)
            if (!jobs::id_of_open_key(key).empty())
                all.items.push_back({key, stored.value, stored.version, false});
        leader()->on_open_list(all, now_, now_);
    });
}

void World::count_unrecorded() {
    for (const TaskId& id : done_) {
        if (!final_state(id.first).empty()) continue;
        auto it = keys_.find(jobs::run_key(id.first, id.second / jobs::kChunkTasks));
        auto run = it == keys_.end() ? std::nullopt : jobs::read_run(it->second.value);
        if (run && (run->done >> (id.second % jobs::kChunkTasks) & 1) == 0) ++met_.unrecorded;
    }
}

std::vector<std::string> World::told_late(Millis longer) const {
    std::vector<std::string> out;
    for (const auto& [id, spec] : specs_) {
        if (!final_state(id).empty()) continue;
        bool all = true;
        for (std::uint32_t t = 0; t < spec.tasks && all; ++t) {
            auto it = done_at_.find({id, t});
            all = it != done_at_.end() && now_ - it->second > longer;
        }
        if (all) out.push_back(id);
    }
    return out;
}

Millis World::completed_at(const std::string& id) const {
    Millis last = 0;
    for (std::uint32_t t = 0; t < specs_.at(id).tasks; ++t) {
        auto it = done_at_.find({id, t});
        if (it == done_at_.end()) return 0;
        last = std::max(last, it->second);
    }
    return last;
}

Millis World::final_at(const std::string& id) const {
    auto it = final_at_.find(id);
    return it == final_at_.end() ? 0 : it->second;
}

std::size_t World::records(const std::string& prefix) const {
    return static_cast<std::size_t>(std::count_if(
        keys_.begin(), keys_.end(), [&](const auto& k) { return k.first.rfind(prefix, 0) == 0; }));
}

void World::list_open(Millis after) {
    listed_at_ = now_;
    watch_from_ = std::max(watch_from_, now_ + after);  // it goes on from the list
    state::ListReply all;
    all.outcome = state::Outcome::ok;
    for (const auto& [key, stored] : keys_) {
        if (!jobs::id_of_open_key(key).empty())
            all.items.push_back({key, stored.value, stored.version, false});
    }
    at(now_ + after, [this, all, term = term_] {
        if (leader() != nullptr && term == term_) leader()->on_open_list(all, now_, now_);
    });
}

void World::crash_leader() {
    count_unrecorded();
    if (Node* n = leading()) {
        n->book.reset();
        n->refused_until = kNever;  // nobody renews its hold
    }
}

void World::freeze_leader(Millis length) {
    if (Node* n = leading()) n->frozen_until = now_ + length;
}

void World::ask_to_cancel(const std::string& id) {
    if (!final_state(id).empty()) return;
    if (state_up()) cancel(id);
    at(now_ + 1'000, [this, id] { ask_to_cancel(id); });
}

void World::tick_node(std::size_t i) {
    Node& n = *nodes_[i];
    if ((!n.leads && !seats_) || !n.book) return;
    if (now_ < n.frozen_until) {
        at(n.frozen_until + 1, [this, i] { tick_node(i); });
        return;
    }
    n.book->tick(now_);
    if (now_ % 4000 < 100 || !n.listed) {
        n.listed = true;
        n.book->on_hosts(list(), now_, now_);
        count_list();
    }
    at(now_ + 100, [this, i] { tick_node(i); });
}

// As old as it says, or older: new machines are missing, those that went still appear.
std::vector<wire::Host> World::list() const {
    Millis then = now_;
    if (trouble_.list_lag > 0) then -= trouble_.list_lag * (1 + now_ / 1000 % 2);
    std::vector<wire::Host> hosts;
    for (const auto& [name, m] : machines_) {
        if (m->hired_at > then || m->removed_at <= then) continue;
        hosts.push_back({name, name, m->type, m->zone, m->spot,
                         m->failed          ? wire::HostStatus::failed
                         : m->up_at <= then ? wire::HostStatus::running
                                            : wire::HostStatus::booting,
                         1});
    }
    return hosts;
}

void World::count_list() {
    std::map<std::string, wire::HostStatus> listed;
    for (const wire::Host& h : list()) listed[h.id] = h.status;
    for (const auto& [name, m] : machines_) {
        auto it = listed.find(name);
        if (m->removed) met_.ghosts += it != listed.end() ? 1 : 0;
        if (m->removed || m->tasks.empty()) continue;
        met_.unlisted += it == listed.end() ? 1 : 0;
        met_.booting += it != listed.end() && it->second == wire::HostStatus::booting ? 1 : 0;
    }
}

void World::set_options(const admin::Options& options) {
    options_ = options;
    options_.lent_machines = share_;
    if (leader() != nullptr) leader()->set_options(options_);
}

std::size_t World::intents() const {
    std::size_t n = 0;
    for (const auto& [key, stored] : keys_) {
        auto parsed = duties::parse_intent_key(key);
        if (!parsed) continue;
        auto intents = duties::read_intents(parsed->first, stored.value);
        EXPECT_TRUE(intents) << key;
        n += intents ? intents->size() : 0;
    }
    return n;
}

Millis World::blow() {
    if (++sends_ != strike_at_) return 0;
    const Blow b = blow_;
    if (b == Blow::crash || b == Blow::freeze) {
        at(now_ + 1, [this, b] {
            // One that stands still keeps its book, and answers nobody meanwhile.
            trouble_.linger = b == Blow::freeze ? 1 : 0;
            take_over();
            for (auto& n : nodes_) n->answers_until = now_;
        });
    }
    return b == Blow::freeze || b == Blow::hold ? 25'000 : 0;
}

World::Way World::to_cloud() {
    if (trouble_.cloud_down) return {now_ + 1'000'000'000, true};
    const Millis held = blow();
    const bool late = held > 0 || chance(trouble_.late_cloud);
    const bool lost = late || chance(trouble_.lost_cloud);
    return {now_ + (held > 0 ? held : late ? 4'000 + delay(56'000) : delay(300)), lost};
}

void World::set_key(const std::string& key, const Json& value) {
    keys_[key] = {value, ++revision_};
}

void World::tell_leader(const std::string& key, Millis after) {
    at(after + watched(), [this, key] {
        auto it = keys_.find(key);
        if (leader() == nullptr || it == keys_.end() || now_ < watch_lost_until_) return;
        // The watch is answered when it can be.
        const Node& n = *leading();
        if (!served(n) || now_ < n.frozen_until || now_ < watch_from_) return tell_leader(key, 500);
        leader()->on_open_record(*jobs::read_open(it->second.value), it->second.version, now_,
                                 now_);
        leader()->tick(now_);
    });
}

bool World::takes(std::size_t changes) {
    const double rate = trouble_.changes_per_s, some = static_cast<double>(changes);
    if (rate > 0) {
        const double since = static_cast<double>(now_ - budget_at_) / 1'000;
        budget_ = std::min(rate, budget_ + rate * since);
        budget_at_ = now_;
        if (budget_ < some) return false;
        budget_ -= some;
    }
    changes_ += changes;
    return true;
}

void World::submit(const Json& spec) {
    std::string error;
    auto parsed = wire::parse_job(spec, error);
    ASSERT_TRUE(parsed) << error;
    specs_[parsed->id] = *parsed;
    // Its user comes again until there is room.
    if (!takes(2)) return at(now_ + 1'000, [this, spec] { submit(spec); });
    set_key(jobs::job_key(parsed->id), Json{{"final", nullptr}, {"tasks", parsed->tasks}});
    set_key(jobs::open_key(parsed->id), jobs::open_record(spec, now_, false));
    tell_leader(jobs::open_key(parsed->id));
}

void World::cancel(const std::string& id) {
    auto open = keys_.find(jobs::open_key(id));
    if (open == keys_.end() || !final_state(id).empty()) return;
    unwanted_.insert(id);
    Json record = open->second.value;
    if (wire::flag(record, "unwanted").value_or(false) || !takes(1)) return;
    record["unwanted"] = true;
    state::Txn txn;
    txn.conditions = {{jobs::open_key(id), open->second.version}};
    txn.writes = {{jobs::open_key(id), record}};
    // It may be carried out late, when its user has asked again.
    const bool late = chance(trouble_.lost_commit);
    auto write = [this, txn, id, late] {
        const bool ok = state_up() && apply(txn).outcome == state::Outcome::ok;
        if (late) ++(ok ? met_.late_applied : met_.late_refused);
        if (ok) tell_leader(jobs::open_key(id));
    };
    if (late)
        at(now_ + 2'000 + delay(10'000), write);
    else
        write();
}

std::string World::final_state(const std::string& id) const {
    auto it = keys_.find(jobs::job_key(id));
    return it == keys_.end() ? "" : wire::text(it->second.value, "final").value_or("");
}

// From here on its user is told: nothing of it may be anywhere, or come to be.
void World::told_cancelled(const std::string& id) {
    EXPECT_EQ(unwanted_.count(id), 1u) << "went_back: nobody cancelled " << id;
    EXPECT_NE(final_state(id), "done") << "went_back: " << id;
    cancelled_.emplace(id, now_);
    told_beside_old_ += std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& n) {
        return n->book && n->term < term_ && answers(*n);
    });
    for (auto& [name, m] : machines_) {
        step(*m);
        if (m->removed || m->dead) continue;
        for (auto& [task, t] : m->tasks) {
            EXPECT_TRUE(task.first != id || t.phase == "exited")
                << id << "/" << task.second << " is still on " << name;
        }
    }
}

state::CommitReply World::apply(const state::Txn& txn) {
    state::CommitReply reply;
    for (const auto& c : txn.conditions) {
        auto it = keys_.find(c.key);
        if ((it == keys_.end() ? 0 : it->second.version) != c.version)
            reply.failed.push_back(c.key);
    }
    EXPECT_LE(txn.writes.size(), settings_.state_txn_ops);
    EXPECT_LE(txn.conditions.size(), 4 * settings_.state_txn_ops);
    if (!reply.failed.empty()) {
        reply.outcome = state::Outcome::conflict;
        reply.revision = revision_;
        return reply;
    }
    reply.outcome = state::Outcome::ok;
    reply.revision = ++revision_;
    for (const auto& w : txn.writes) {
        if (!w.value) {
            keys_.erase(w.key);
            if (std::string id = jobs::id_of_open_key(w.key); !id.empty()) {
                const Millis slow = trouble_.slow_drops > 0 ? delay(trouble_.slow_drops) : 0;
                at(std::max(watched(), watch_from_) + slow, [this, id, then = now_] {
                    // What the watch has missed is in the list.
                    if (leader() != nullptr && then >= listed_at_ && now_ >= watch_lost_until_)
                        leader()->on_open_dropped(id, now_);
                });
            }
            continue;
        }
        EXPECT_LE(w.value->dump().size(), 8 * 1024u);
        if (w.key.rfind("job/", 0) == 0 && wire::text(*w.value, "final") == "withdrawn") {
            told_cancelled(w.key.substr(4));
        }
        if (std::string id = w.key.substr(std::min<std::size_t>(4, w.key.size()));
            w.key == jobs::job_key(id)) {
            EXPECT_EQ(final_state(id), "") << "went_back: " << id << " is told twice";
            final_at_.emplace(id, now_);
        }
        keys_[w.key] = {*w.value, revision_};
        if (w.key.rfind("job/", 0) == 0 && wire::text(*w.value, "final") == "done") {
            std::string id = w.key.substr(4);
            EXPECT_EQ(cancelled_.count(id), 0u) << id << " was cancelled, then called done";
            for (std::uint32_t t = 0; t < specs_[id].tasks; ++t) {
                EXPECT_TRUE(done_.count({id, t})) << "not_done: " << id << "/" << t;
            }
        }
    }
    return reply;
}

// Of the table in docs/design/meetings.md, as far as leaders and holders write them.
static const char* what_of(const state::Txn& txn) {
    bool run = false;
    for (const auto& w : txn.writes) {
        if (w.key.rfind("job/", 0) == 0) return "end";
        if (w.key.rfind("block/", 0) == 0) return "block";
        if (w.key.rfind(duties::kIntentPrefix, 0) == 0) return "intent";
        run |= w.value.has_value();
    }
    return run ? "checkpoint" : "left over";
}

bool World::answer_lost_of(const state::Txn& txn) {
    if (trouble_.at_once == 0) return false;
    const std::string& of = trouble_.at_once_of;
    return (of.empty() || of == what_of(txn)) && chance(trouble_.at_once);
}

void World::Node::commit(state::Txn txn,
                         std::function<void(Millis, const state::CommitReply&)> done) {
    trace("commit", traced(txn));
    World& w = *world;
    if (!w.served(*this) || (w.seats_ && w.now_ >= trust_until) || !w.takes(txn.writes.size())) {
        state::CommitReply reply;
        reply.outcome = state::Outcome::refused;
        w.at(w.now_ + w.delay(10), [&w, reply, done] { done(w.now_, reply); });
        return;
    }
    const Millis held = w.blow();
    bool lost = held > 0 || w.chance(w.trouble_.lost_commit);
    Millis arrive =
        w.now_ + held + (held == 0 && lost && w.chance(0.5) ? w.delay(40'000) : w.delay(10));
    const bool late = arrive > w.now_ + 2'500;
    const bool at_once = !lost && w.answer_lost_of(txn);
    lost |= at_once;
    w.at(arrive, [&w, txn, done, lost, late, at_once] {
        state::CommitReply reply;
        reply.outcome = state::Outcome::refused;
        if (w.state_up()) reply = w.apply(txn);
        if (at_once && reply.outcome == state::Outcome::ok) {
            ++w.met_.at_once[what_of(txn)];
            if (w.on_at_once) w.on_at_once(what_of(txn));
        }
        if (late)
            ++(reply.outcome == state::Outcome::ok ? w.met_.late_applied : w.met_.late_refused);
        if (!lost) w.at(w.now_ + w.delay(5), [&w, reply, done] { done(w.now_, reply); });
    });
    if (lost) w.at(w.now_ + 2500, [&w, done] { done(w.now_, state::CommitReply{}); });
}

void World::Node::read(const std::string& key,
                       std::function<void(Millis, const state::GetReply&)> done) {
    trace("get", key);
    World& w = *world;
    w.at(w.now_ + w.delay(10), [&w, this, key, done] {
        state::GetReply reply;
        reply.outcome = state::Outcome::refused;
        if (!w.served(*this)) return done(w.now_, reply);
        auto it = w.keys_.find(key);
        reply.outcome = it == w.keys_.end() ? state::Outcome::missing : state::Outcome::ok;
        if (it != w.keys_.end()) reply.item = {key, it->second.value, it->second.version, false};
        done(w.now_, reply);
    });
}

void World::Node::list(const std::string& prefix,
                       std::function<void(Millis, const state::ListReply&)> done) {
    trace("list", prefix);
    World& w = *world;
    w.at(w.now_ + w.delay(10 + w.trouble_.slow_lists), [&w, this, prefix, done] {
        state::ListReply reply;
        reply.outcome = state::Outcome::refused;
        if (!w.served(*this)) return done(w.now_, reply);
        reply.outcome = state::Outcome::ok;
        for (auto& [key, stored] : w.keys_) {
            if (key.rfind(prefix, 0) != 0) continue;
            reply.items.push_back({key, stored.value, stored.version, false});
        }
        done(w.now_, reply);
    });
}

void World::Node::direct(const std::string& machine, const std::string& address,
                         std::uint64_t token, std::uint64_t session,
                         const std::vector<wire::Command>& commands,
                         std::function<void(Millis, const book::DirectReply&)> done) {
    trace("direct", machine, address, token, session, traced(commands));
    World& w = *world;
    const bool starts = std::any_of(commands.begin(), commands.end(),
                                    [](const auto& c) { return c.op == wire::Command::Op::start; });
    // What the gates of app::Node let through.
    if (w.seats_ && book && (starts ? w.now_ >= trust_until : !w.answers(*this))) {
        book::DirectReply reply;
        reply.delivery = book::Delivery::refused;
        w.at(w.now_ + 1, [&w, reply, done] { done(w.now_, reply); });
        return;
    }
    if (w.trouble_.refused_direct > 0 && w.chance(w.trouble_.refused_direct)) {
        book::DirectReply reply;
        reply.delivery = book::Delivery::refused;
        w.at(w.now_ + w.delay(10), [&w, reply, done] { done(w.now_, reply); });
        return;
    }
    bool held = w.chance(w.trouble_.held_direct);
    bool lost = held || w.chance(w.trouble_.lost_direct);
    auto replied = std::make_shared<bool>(false);
    Millis arrive = w.now_ + (held ? w.delay(60'000) : w.delay(10));
    auto there = w.machines_.find(machine);
    if (const Cut* c = there == w.machines_.end() ? nullptr : w.cut_of(*there->second)) {
        lost = true;
        arrive = c->held ? c->until + w.delay(500) : w.now_ + 1'000'000'000;
    }
    w.at(arrive, [&w, machine, token, session, commands, done, lost, replied, held] {
        auto it = w.machines_.find(machine);
        if (it == w.machines_.end() || !it->second->up || it->second->removed || it->second->dead ||
            w.now_ < it->second->deaf_until || w.now_ < it->second->mute_until)
            return;
        Machine& m = *it->second;
        w.step(m);  // its session may have ended by now
        book::DirectReply reply;
        reply.delivery = book::Delivery::answered;
        reply.executed = token >= m.token && session == m.session;
        if (held) ++(reply.executed ? w.met_.held_executed : w.met_.held_refused);
        if (reply.executed) {
            m.token = token;
            w.execute(m, commands);
        }
        reply.report = w.report_of(m);
        if (lost) return;
        *replied = true;
        w.at(w.now_ + w.delay(10), [&w, reply, done] { done(w.now_, reply); });
    });
    w.at(w.now_ + 2000, [&w, done, replied] {
        if (!*replied) done(w.now_, book::DirectReply{});
    });
}

void World::Node::hire(const std::string& request, const std::string& type, const std::string& zone,
                       bool spot, std::uint32_t count,
                       std::function<void(Millis, const fleet::HireReply&)> done) {
    trace("rent", request, type, zone, spot, count);
    World& w = *world;
    const Rental asked{type, zone, spot, count, {}};
    w.hired_types_.push_back(type);
    const auto [arrive, lost] = w.to_cloud();
    w.at(arrive, [&w, request, asked, done, lost = lost] {
        auto reply = w.rent(request, asked);
        if (lost) return;
        for (const std::string& name : reply.machines) w.machines_[name]->answered_for = true;
        done(w.now_, reply);
    });
    if (lost) w.at(w.now_ + 4'000, [&w, done] { done(w.now_, fleet::HireReply{}); });
}

// A name that was rented gets the same answer, and rents nothing.
fleet::HireReply World::rent(const std::string& request, const Rental& asked) {
    fleet::HireReply reply;
    auto known = hires_.find(request);
    if (known != hires_.end()) {
        const Rental& r = known->second;
        EXPECT_EQ(std::tie(r.type, r.zone, r.spot, r.count),
                  std::tie(asked.type, asked.zone, asked.spot, asked.count))
            << "the name " << request << " was used for something else";
        reply.result = fleet::HireReply::Result::hired;
        reply.machines = r.machines;
        return reply;
    }
    if (asked.zone == trouble_.full_zone || chance(trouble_.refuse_hire) ||
        machines_.size() > 400) {
        reply.result = fleet::HireReply::Result::no_capacity;
        return reply;
    }
    reply.result = fleet::HireReply::Result::hired;
    for (std::uint32_t i = 0; i < asked.count; ++i) {
        auto m = std::make_unique<Machine>();
        m->name = "i-" + std::to_string(100000 + hired_++);
        m->type = asked.type;
        m->zone = asked.zone;
        m->spot = asked.spot;
        m->hired_at = now_;
        m->sick = chance(trouble_.sick);
        reply.machines.push_back(m->name);
        std::string name = m->name;
        machines_[name] = std::move(m);
        at(now_ + trouble_.boot_least + delay(trouble_.boot_most - trouble_.boot_least),
           [this, name] { comes_up(name); });
    }
    hires_[request] = asked;
    hires_[request].machines = reply.machines;
    return reply;
}

void World::Node::give_back(const std::vector<std::string>& names,
                            std::function<void(Millis, bool)> done) {
    trace("return", names);
    World& w = *world;
    const auto [arrive, lost] = w.to_cloud();
    w.at(arrive, [&w, names, done, lost = lost, by = term] {
        w.take_back(names, by);
        if (!lost) done(w.now_, true);
    });
    if (lost) w.at(w.now_ + 4'000, [&w, done] { done(w.now_, false); });
}

void World::take_back(const std::vector<std::string>& names, std::uint64_t by) {
    for (const std::string& name : names) {
        auto it = machines_.find(name);
        if (it == machines_.end() || it->second->removed) continue;
        for (const auto& [id, t] : it->second->tasks) {
            EXPECT_LE(t.term, by) << "a return of term " << by << " took " << name << " away from "
                                  << id.first << "/" << id.second << " of term " << t.term;
        }
        it->second->removed = true;
        it->second->removed_at = now_;
        it->second->tasks.clear();
    }
}

std::size_t World::returned(const std::string& zone) const {
    std::size_t n = 0;
    for (const auto& [name, m] : machines_)
        n += m->removed && !m->dead && (zone.empty() || m->zone == zone) ? 1 : 0;
    return n;
}

void World::comes_up(const std::string& name) {
    Machine& m = *machines_[name];
    if (m.removed) return;
    m.up = true;
    m.up_at = now_;
    m.lease_from = now_;
    m.target = random_() % nodes_.size();
    checkin(name, m.life);
}

std::string World::any_machine() {
    const auto all = working_machines();
    return all.empty() ? "" : all.front();
}

// Dies without a word; what was on it is gone.
void World::kill_machine(const std::string& name) {
    Machine& m = *machines_[name];
    m.dead = true;
    m.tasks.clear();
}

void World::fail_machine(const std::string& name) {
    kill_machine(name);
    machines_[name]->failed = true;
}

wire::Report World::report_of(Machine& m) {
    wire::Report r;
    r.machine = r.address = m.name;
    r.type = m.type;
    r.zone = m.zone;
    r.spot = m.spot;
    r.session = m.session;
    r.seq = ++m.seq;
    r.token = m.token;
    for (auto& [id, t] : m.tasks) {
        wire::TaskReport tr;
        tr.job = id.first;
        tr.task = id.second;
        tr.attempt = t.attempt;
        tr.phase = t.phase == "fetching"    ? wire::TaskPhase::fetching
                   : t.phase == "gathering" ? wire::TaskPhase::waiting
                   : t.phase == "running"   ? wire::TaskPhase::running
                   : t.phase == "saving"    ? wire::TaskPhase::saving
                                            : wire::TaskPhase::exited;
        if (t.phase == "exited") {
            tr.cause = t.cause == "done"      ? wire::ExitCause::done
                       : t.cause == "error"   ? wire::ExitCause::error
                       : t.cause == "alone"   ? wire::ExitCause::alone
                       : t.cause == "peers"   ? wire::ExitCause::peers
                       : t.cause == "no_room" ? wire::ExitCause::no_room
                       : t.cause == "busy"    ? wire::ExitCause::busy
                                              : wire::ExitCause::stopped;
        }
        r.tasks.push_back(tr);
    }
    return r;
}

// What the node says to a report, at this moment.
dispatch::CheckinAnswer World::hear(std::size_t node, const wire::Report& r,
                                    const workers::Arrival& arrival) {
    Node& n = *nodes_[node];
    dispatch::CheckinAnswer a;
    a.status = 503;
    if (n.holding && n.holding->holds(r.machine))
        a = n.holding->on_checkin(r, arrival.follows, now_);
    if (n.book && (seats_ ? answers(n) : n.leads || now_ < n.answers_until)) {
        a = n.book->on_checkin(r, arrival, now_);
        answers_by_old_ += a.status == 200 && n.term < term_ && seats_ ? 1 : 0;
    }
    if (n.deputy && a.status != 200) {
        Millis heard = deputy_cut(node) ? n.leader_at : now_;
        n.deputy->look(heard, heard, now_);
        if (auto token = n.deputy->answer(r, arrival.follows, now_)) {
            a = {200, "", *token, {}};
            ++answered_by_deputies_;
        }
    }
    trace_.add(now_, "report-answer", node, r.machine, r.session, r.seq, traced(a));
    return a;
}

// Over a connection of their own, whose answers nobody reads.
void World::late_copies(const wire::Report& r) {
    while (chance(trouble_.late_copy)) {
        at(now_ + 500 + delay(90'000), [this, r] {
            ++copies_;
            met_.copies_of_sessions += machines_[r.machine]->session > r.session ? 1 : 0;
            met_.copies_of_attempts += std::any_of(r.tasks.begin(), r.tasks.end(), [&](auto& t) {
                auto it = latest_.find({t.job, t.task});
                return it != latest_.end() && it->second > t.attempt;
            });
            hear(random_() % nodes_.size(), r, false);
        });
    }
}

void World::copy(const std::string& machine, bool first, Millis after) {
    at(now_ + after, [this, r = first ? machines_[machine]->first : machines_[machine]->last] {
        ++copies_;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!nodes_[i]->leads) continue;
            const auto a = hear(i, r, false);
            EXPECT_TRUE(a.commands.empty()) << "orders to a copy";
            answered_copies_ += a.status == 200 ? 1 : 0;
        }
    });
}

void World::restart_machine(const std::string& name) {
    Machine& m = *machines_[name];
    if (m.removed || m.dead || !m.up) return;
    m.tasks.clear();
    m.known.clear();
    m.session = 1;
    m.seq = m.token = 0;
    m.lease_from = now_;
    m.follows = m.unanswered = false;
    m.follows_term = 0;
    const std::size_t life = ++m.life;
    at(now_ + delay(300), [this, name, life] { checkin(name, life); });
}

// One report, its answer, and the next.
void World::checkin(const std::string& name, std::size_t life) {
    Machine& m = *machines_[name];
    if (m.removed || m.dead || m.life != life) return;
    if (const Cut* c = cut_of(m); c != nullptr && c->hangs) {
        at(c->until + delay(500), [this, name, life] { checkin(name, life); });
        return;
    }
    step(m);
    at(now_ + 2300 + delay(1400), [this, name, life] { checkin(name, life); });
    if (m.unanswered)
        m.target = (m.target + 1) % nodes_.size();  // the next, as the protocol has it
    const bool follows = std::exchange(m.follows, false);
    m.unanswered = true;
    Millis sent = now_;
    std::uint64_t session = m.session;
    wire::Report r = report_of(m);
    if (m.first.machine.empty()) m.first = r;
    m.last = r;
    late_copies(r);
    if (trouble_.for_next > 0 && chance(trouble_.for_next)) keep_for_next(r, SIZE_MAX, false);
    if (trouble_.held_checkin > 0 && chance(trouble_.held_checkin))
        return keep_for_next(r, m.target, follows);
    if (fan_in_) return report_through(m, r);
    if (chance(trouble_.lost_checkin) || !reaches(m, m.target)) return;
    at(now_ + delay(10), [this, name, r, sent, session, follows, life] {
        Machine& m = *machines_[name];
        const bool deaf = now_ < m.deaf_until;
        met_.unanswered += m.answered_for ? 0 : 1;
        const dispatch::CheckinAnswer a = hear(m.target, r, follows);
        if (m.life != life || deaf) return;
        if (a.status != 200) {
            m.unanswered = false;
            // On to the next; whoever is out of reach is found out by trying.
            m.target = reaches(m, nodes_.size() - 1) ? nodes_.size() - 1 : random_() % 2;
            for (std::size_t i = 0; i < 2 && share_ > 0; ++i) {
                if (a.holder == holder_settings_[i].name) m.target = i;
            }
            return;
        }
        EXPECT_GE(a.token, r.token) << "an answer that the worker must drop";
        if (chance(trouble_.lost_checkin)) return;
        at(now_ + delay(10), [this, name, a, sent, session, life] {
            Machine& m = *machines_[name];
            if (m.life != life) return;
            m.unanswered = false;
            m.follows = true;
            receive(name, a, sent, session, life);
        });
    });
}

// An answer 200 has reached the worker.
void World::receive(const std::string& name, const dispatch::CheckinAnswer& a, Millis sent,
                    std::uint64_t session, std::size_t life) {
    Machine& m = *machines_[name];
    const bool dropped = m.session != session || a.token < m.token || now_ - sent > 4000;
    if (m.life != life || m.removed || m.dead || dropped) return;
    m.token = a.token;
    m.lease_from = sent;
    execute(m, a.commands);
}

void World::forward_reports(std::size_t forwarders, FanInFaults faults) {
    FanIn::Around around;
    around.after = [this](Millis wait, std::function<void()> f) { after(wait, std::move(f)); };
    around.now = [this] { return now_; };
    around.leaders = [this] {
        std::vector<FanIn::Leader> out;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const Node& n = *nodes_[i];
            const bool answers_still =
                n.book && (seats_ ? answers(n) : n.leads || now_ < n.answers_until);
            if (answers_still) out.push_back({i, n.term, i + 1});
        }
        return out;
    };
    around.hear = [this](std::size_t node, const wire::Report& r, const workers::Arrival& arrival) {
        return hear(node, r, arrival);
    };
    fan_in_ = std::make_unique<FanIn>(forwarders, faults, random_, std::move(around), trace_);
}

// A controller that does not answer is left for the next, as the protocol has it.
void World::report_through(Machine& m, const wire::Report& r) {
    if (chance(trouble_.lost_checkin) || now_ < m.unheard_until) {
        m.follows_term = 0;
        m.forwarder = (m.forwarder + 1) % fan_in_->size();
        return;
    }
    const std::uint64_t follows = std::exchange(m.follows_term, 0);
    auto answered = [this, name = m.name, sent = now_, session = m.session, life = m.life](
                        const dispatch::CheckinAnswer& a, std::uint64_t term) {
        Machine& m = *machines_[name];
        const bool heard =
            a.status == 200 && now_ >= m.deaf_until && !chance(trouble_.lost_checkin);
        if (m.life != life || now_ - sent > 4000) return;
        if (!heard) {
            m.forwarder = (m.forwarder + 1) % fan_in_->size();
            return;
        }
        m.follows_term = term;
        receive(name, a, sent, session, life);
    };
    fan_in_->report(m.forwarder, r, follows, answered);
}

std::vector<std::string> World::working_machines() const {
    std::vector<std::string> out;
    for (const auto& [name, m] : machines_) {
        if (m->up && !m->removed && !m->dead && !m->tasks.empty()) out.push_back(name);
    }
    return out;
}

void World::take_away(const std::string& zone) {
    for (auto& [name, m] : machines_) {
        if (m->zone != zone || m->removed) continue;
        m->removed = m->dead = true;
        m->removed_at = now_;
        m->tasks.clear();
    }
}

void World::cut(const Cut& c) { cuts_.push_back(c); }

const Cut* World::cut_of(const Machine& m) const {
    for (const Cut& c : cuts_) {
        if (now_ < c.from || now_ >= c.until || m.zone != c.zone) continue;
        // The same machines for as long as it lasts.
        if (std::hash<std::string>{}(m.name + c.zone) % 1000 < c.part * 1000) return &c;
    }
    return nullptr;
}

bool World::deputy_cut(std::size_t i) const {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const Cut& c) {
        return c.deputy && now_ >= c.from && now_ < c.until && zone_of(i) == c.zone;
    });
}

bool World::reaches(const Machine& m, std::size_t node) const {
    if (now_ < m.unheard_until) return false;
    const bool inside = node < 2 && share_ > 0 && deputy_cut(node);
    const Cut* c = cut_of(m);
    if (c == nullptr) return !inside || m.zone == zone_of(node);
    return inside && m.zone == zone_of(node);
}

std::string World::out_of_step() {
    if (leader() == nullptr) return "nobody leads";
    for (const auto& [id, j] : leader()->open_jobs()) {
        if (keys_.count(jobs::open_key(id)) == 0 && j->state != jobs::JobState::finished)
            return id + " is over, and in the book as " + jobs::name(j->state);
    }
    for (const auto& [key, stored] : keys_) {
        const std::string id = jobs::id_of_open_key(key);
        if (!id.empty() && leader()->open_jobs().count(id) == 0) return id + " is not in the book";
    }
    return "";
}

double World::uses(const std::string& team) const {
    double sum = 0;
    for (const auto& [name, m] : machines_) {
        if (m->removed || m->dead) continue;
        for (const auto& [id, t] : m->tasks) {
            const wire::JobSpec& spec = specs_.at(id.first);
            sum += t.phase != "exited" && spec.team == team ? spec.gpus : 0;
        }
    }
    return sum;
}

std::size_t World::on_machines(const std::string& id) const {
    std::size_t n = 0;
    for (const auto& [name, m] : machines_) {
        if (m->removed || m->dead) continue;
        for (const auto& [task, t] : m->tasks) n += on_machine(t) && task.first == id ? 1 : 0;
    }
    return n;
}

std::size_t World::running(const std::string& zone) const {
    std::size_t n = 0;
    for (const auto& [name, m] : machines_) {
        if (m->removed || m->dead || m->zone != zone) continue;
        for (const auto& [id, t] : m->tasks) n += t.phase == "running" ? 1 : 0;
    }
    return n;
}

void World::kill_tasks(Machine& m) {
    killed_ += m.tasks.size();
    m.tasks.clear();
}

void World::execute(Machine& m, const std::vector<wire::Command>& commands) {
    step(m);
    for (const auto& c : commands) {
        TaskId id{c.job, c.task};
        auto it = m.tasks.find(id);
        bool same = it != m.tasks.end() && it->second.attempt == c.attempt;
        if (c.op == wire::Command::Op::forget) {
            if (same && it->second.phase == "exited") {
                m.tasks.erase(it);
                m.known.erase({c.job, c.task, c.attempt});
            }
        } else if (c.op == wire::Command::Op::stop) {
            if (!same || it->second.phase == "exited") continue;
            Task& t = it->second;
            ++stops_;
            if (t.phase == "running" && c.grace_s >= 2) {
                t.phase = "saving";
                t.done_at = now_ + 2000;
            } else if (t.phase != "saving" || c.grace_s < 2) {
                t.phase = "exited";
                t.cause = "stopped";
            }
        } else {
            if (!m.known.insert({c.job, c.task, c.attempt}).second) continue;
            EXPECT_EQ(cancelled_.count(c.job), 0u)
                << "a start after the confirmed end of " << c.job;
            ASSERT_TRUE(specs_.count(c.job));
            waits_since_.erase(c.job);
            const wire::JobSpec& spec = specs_[c.job];
            Task t;
            t.attempt = c.attempt;
            t.term = blocks::term_of(m.token);
            double gpus = 0;
            for (auto& [other, o] : m.tasks)
                gpus += o.phase == "exited" ? 0 : specs_[other.first].gpus;
            double total = std::find_if(types_.begin(), types_.end(), [&](const auto& known) {
                               return known.name == m.type;
                           })->gpus;
            if (it != m.tasks.end() && it->second.phase != "exited") {
                ADD_FAILURE() << "two attempts of " << c.job << "/" << c.task << " on one machine";
            }
            t.phase = "fetching";
            t.ready_at = now_ + (m.images.count(spec.image) != 0 ? 50 : 2000 + delay(3000));
            if (spec.image_gb > 5 && m.images.count(spec.image) == 0)  // give or take a third
                t.ready_at =
                    now_ + seconds(spec.image_gb * 0.75) + delay(seconds(spec.image_gb * 0.5));
            if (gpus + spec.gpus > total + 1e-6) {
                ADD_FAILURE() << "a start that does not fit";
                t.phase = "exited";
                t.cause = "no_room";
            }
            m.tasks[id] = t;
        }
    }
}

void World::check_start(const Machine& m, const TaskId& id) {
    const wire::JobSpec& spec = specs_[id.first];
    ++starts_;
    auto here = m.tasks.find(id);
    if (here != m.tasks.end()) latest_[id] = std::max(latest_[id], here->second.attempt);
    if (auto c = cancelled_.find(id.first); c != cancelled_.end()) {
        EXPECT_LE(now_, c->second + seconds(settings_.cancel_s)) << "ran_cancelled: " << id.first;
    }
    std::map<std::string, std::uint32_t> in_zone;
    double team = 0;
    for (auto& [name, other] : machines_) {
        if (other->removed || other->dead) continue;
        for (auto& [tid, t] : other->tasks) {
            if (!on_machine(t)) continue;
            if (tid == id && name != m.name) {
                ADD_FAILURE() << "ran_twice: " << id.first << "/" << id.second << " on " << name
                              << " and " << m.name << " at " << now_;
            }
            if (specs_[tid.first].team == spec.team) team += specs_[tid.first].gpus;
            if (tid.first == id.first) ++in_zone[other->zone];
        }
    }
    for (const auto& rule : settings_.teams) {
        if (rule.name == spec.team) {
            EXPECT_LE(team, rule.gpus_max + 1e-6) << "quota of " << spec.team << " at " << now_;
        }
    }
    bool type_ok = spec.any_type ||
                   std::find(spec.types.begin(), spec.types.end(), m.type) != spec.types.end();
    EXPECT_TRUE(type_ok && (!spec.zone || *spec.zone == m.zone) && (spec.spot || !m.spot))
        << "wrong_place: " << id.first;
    if (spec.one_zone) {
        EXPECT_LE(in_zone.size(), 1u) << "wrong_place: " << id.first << " is in two zones";
    }
    if (spec.spread) {
        EXPECT_LE(in_zone[m.zone], (spec.tasks + 1) / 2)
            << "wrong_place: " << id.first << " is not spread";
    }
}

// Lets a machine's tasks move on to the present.
void World::step(Machine& m) {
    if (m.removed || m.dead || !m.up) return;
    const Cut* cut = cut_of(m);
    if (now_ - m.lease_from > seconds(settings_.lease_s)) {
        kill_tasks(m);
        m.known.clear();
        ++m.session;
        m.lease_from = now_;
        return;
    }
    if (cut != nullptr && cut->hangs) return;
    for (auto& [id, t] : m.tasks) {
        const wire::JobSpec& spec = specs_[id.first];
        if (t.phase == "fetching" && now_ >= t.ready_at) {
            m.images.insert(spec.image);
            if (done_.count(id) != 0) {
                t.phase = "exited";
                t.cause = "done";
                continue;
            }
            t.phase = spec.shape == wire::Shape::gang ? "gathering" : "running";
            t.waits_until = now_ + seconds(settings_.gang_wait_s);
            t.done_at = now_ + 3000 + delay(9000);
            if (auto l = lengths_.find(id.first); l != lengths_.end()) t.done_at = now_ + l->second;
            check_start(m, id);
            if (m.sick || spoilt_.count(id.first) != 0) {
                t.phase = "exited";
                t.cause = "error";
            }
        }
        if (t.phase == "gathering" && done_.count(id) != 0) {
            t.phase = "exited";  // they complete together
            t.cause = "done";
        }
        if (t.phase == "gathering") {
            std::size_t mates = 0;
            for (auto& [n, other] : machines_) {
                if (other->removed || other->dead) continue;
                for (auto& [oid, o] : other->tasks) {
                    bool same = oid.first == id.first && o.attempt == t.attempt;
                    mates += same && (o.phase == "gathering" || o.phase == "running") ? 1 : 0;
                }
            }
            if (mates == spec.tasks) {
                t.phase = "running";
            } else if (now_ >= t.waits_until) {
                t.phase = "exited";
                t.cause = "alone";
            }
        }
        if (t.phase == "saving" && now_ >= t.done_at) {
            t.phase = "exited";
            t.cause = "stopped";
        }
        if (t.phase == "running" && spec.shape != wire::Shape::service && now_ >= t.done_at) {
            if (spec.shape == wire::Shape::gang) {
                for (std::uint32_t k = 0; k < spec.tasks; ++k) done_.insert({id.first, k});
            } else {
                done_.insert(id);
            }
            for (std::uint32_t k = 0; k < spec.tasks; ++k) {
                if (done_.count({id.first, k}) != 0) done_at_.try_emplace({id.first, k}, now_);
            }
            t.phase = "exited";
            t.cause = "done";
        } else if (t.phase == "running" && spec.shape == wire::Shape::gang) {
            std::size_t mates = 0;
            for (auto& [n, other] : machines_) {
                if (other->removed || other->dead) continue;
                for (auto& [oid, o] : other->tasks) {
                    mates += oid.first == id.first && o.attempt == t.attempt &&
                                     (o.phase == "running" || o.phase == "gathering")
                                 ? 1
                                 : 0;
                }
            }
            if (done_.count(id) != 0) {
                t.phase = "exited";
                t.cause = "done";
            } else if (mates < spec.tasks) {
                t.phase = "exited";
                t.cause = "peers";
            }
        }
    }
}

void World::check_all() {
    for (auto& [name, m] : machines_) {
        step(*m);
        if (m->removed || m->dead) continue;
        for (auto& [id, t] : m->tasks) {
            if (!on_machine(t)) continue;
            auto c = cancelled_.find(id.first);
            if (c == cancelled_.end()) continue;
            EXPECT_LE(now_, c->second + seconds(settings_.cancel_s))
                << "ran_cancelled: " << id.first << "/" << id.second << " is still on " << name;
        }
    }
}

bool World::would_fit(const std::string& id, const wire::JobSpec& spec) const {
    std::set<std::uint32_t> there;
    std::map<std::string, std::uint32_t> in_zone, room;
    double limit = 0, used = 0;
    for (const auto& rule : settings_.teams) limit += rule.name == spec.team ? rule.gpus_max : 0;
    for (const auto& [name, m] : machines_) {
        for (const auto& [task, t] : m->tasks) {
            if (t.phase == "exited") continue;
            if (specs_.at(task.first).team == spec.team) used += specs_.at(task.first).gpus;
            if (task.first != id) continue;
            there.insert(task.second);
            ++in_zone[m->zone];
        }
    }
    const bool gang = spec.shape == wire::Shape::gang;
    std::uint32_t wanted = 0;
    for (std::uint32_t t = 0; t < spec.tasks; ++t)
        wanted += there.count(t) == 0 && done_.count({id, t}) == 0 ? 1 : 0;
    if (gang && wanted < spec.tasks) return false;
    const std::uint32_t least = gang ? spec.tasks : 1;
    if (wanted == 0 || (limit > 0 && used + least * spec.gpus > limit + 1e-6)) return false;
    for (const auto& [name, m] : machines_) {
        const bool sound = m->up && !m->dead && !m->removed && !m->sick && cut_of(*m) == nullptr &&
                           now_ >= m->deaf_until && now_ >= m->mute_until &&
                           now_ >= m->unheard_until;
        const bool type_ok =
            spec.any_type || std::count(spec.types.begin(), spec.types.end(), m->type);
        if (!sound || !type_ok || (spec.zone && *spec.zone != m->zone) || (m->spot && !spec.spot))
            continue;
        const auto type = std::find_if(types_.begin(), types_.end(),
                                       [&](const auto& known) { return known.name == m->type; });
        double cpus = type->cpus, gpus = type->gpus, memory = type->memory_gb;
        for (const auto& [task, t] : m->tasks) {
            if (t.phase == "exited") continue;
            const wire::JobSpec& other = specs_.at(task.first);
            cpus -= other.cpus, gpus -= other.gpus, memory -= other.memory_gb;
        }
        room[m->zone] +=
            placing::how_many(cpus, gpus, memory, {spec.cpus, spec.gpus, spec.memory_gb}, least);
    }
    std::uint32_t all = 0, most = 0;
    for (auto& [zone, n] : room) {
        const bool other_zone = spec.one_zone && !in_zone.empty() && in_zone.count(zone) == 0;
        const std::uint32_t half = (spec.tasks + 1) / 2;
        if (spec.spread) n = std::min(n, half - std::min(half, in_zone[zone]));
        if (other_zone) continue;
        all += n;
        most = std::max(most, n);
    }
    return (gang && spec.one_zone ? most : all) >= least;
}

void World::check_waits() {
    for (const auto& [id, spec] : specs_) {
        if (!final_state(id).empty() || unwanted_.count(id) != 0 || !would_fit(id, spec)) {
            waits_since_.erase(id);
            continue;
        }
        const Millis wait = now_ - waits_since_.try_emplace(id, now_).first->second;
        met_.longest_wait = std::max(met_.longest_wait, wait);
        EXPECT_LE(wait, longest_wait_)
            << id << " waits though it fits; " << what_runs() << book_says();
    }
}

// Of the jobs that the leader has.
std::string World::book_says() {
    if (leader() == nullptr) return "nobody leads";
    std::string out;
    for (const auto& [id, j] : leader()->open_jobs()) {
        auto it = keys_.find(jobs::open_key(id));
        out += id + " is " + jobs::name(j->state) + ", stamp " + std::to_string(j->version) +
               " of " + std::to_string(it == keys_.end() ? 0 : it->second.version) +
               (it != keys_.end() && wire::flag(it->second.value, "unwanted").value_or(false)
                    ? ", unwanted"
                    : "") +
               (j->commit_in_flight ? ", in flight" : "") + ":";
        for (const auto& a : j->attempts)
            out += std::string(" ") + jobs::name(a->state) + (a->must_go ? "(stopping)" : "");
        out += "; ";
    }
    return out;
}

std::string World::what_runs() const {
    std::string out;
    for (auto& [name, m] : machines_) {
        if (m->removed) continue;
        out += name + (m->dead ? "(dead)" : m->up ? "" : "(booting)") + ": ";
        for (auto& [id, t] : m->tasks)
            out += id.first + "/" + std::to_string(id.second) + "=" + t.phase + " ";
    }
    return out;
}

void World::run_until(Millis t) {
    Millis next_check = now_;
    while (now_ < t && !testing::Test::HasFailure()) {
        Millis next = std::min(t, next_check);
        if (!queue_.empty()) next = std::min(next, queue_.begin()->first);
        now_ = std::max(now_, next);
        while (!queue_.empty() && queue_.begin()->first <= now_) {
            auto f = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            f();
        }
        if (now_ >= next_check) {
            next_check = now_ + 500;
            check_all();
            if (longest_wait_ != kNever) check_waits();
            if (chance(trouble_.takeover * 0.5)) take_over();
            if (chance(trouble_.machine_dies * 0.5)) {
                if (std::string name = any_machine(); !name.empty()) kill_machine(name);
            }
        }
    }
}

}  // namespace nickelramp::test
