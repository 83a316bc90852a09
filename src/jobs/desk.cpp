#include "jobs/desk.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/need.h"

namespace nickelramp::jobs {

using net::Response;
using wire::JobStatus;
using wire::Json;

namespace {
constexpr Millis kSubmitWait = 3500;  // users wait 5 s
constexpr Millis kQueryWait = 1500;   // users wait 2 s
constexpr std::size_t kMostOpen = 1000;
constexpr int kCancelTries = 5;
constexpr Millis kEndWait = 400;         // for what usually takes a tenth of it
constexpr std::size_t kMostAwaited = 2;  // at once; the others ask again

Response busy() { return {503, wire::encode({{"error", "try again"}}), 1, "application/cbor"}; }
Response failure(int status, const std::string& what) {
    return {status, wire::encode({{"error", what}}), 0, "application/cbor"};
}
Response ok(int status, const Json& body) {
    return {status, wire::encode(body), 0, "application/cbor"};
}
}  // namespace

std::string impossible(const wire::JobSpec& spec, const wire::Settings& settings,
                       const std::vector<wire::MachineType>& types) {
    auto team = std::find_if(settings.teams.begin(), settings.teams.end(),
                             [&](const wire::Team& t) { return t.name == spec.team; });
    if (team == settings.teams.end()) return "unknown team";
    bool fits = std::any_of(types.begin(), types.end(), [&](const wire::MachineType& t) {
        if (!spec.any_type &&
            std::find(spec.types.begin(), spec.types.end(), t.name) == spec.types.end()) {
            return false;
        }
        if (spec.zone && std::find(t.zones.begin(), t.zones.end(), *spec.zone) == t.zones.end()) {
            return false;
        }
        return covers(t.cpus, t.gpus, t.memory_gb, {spec.cpus, spec.gpus, spec.memory_gb});
    });
    if (!fits) return "a task fits no allowed machine type";
    double tasks = spec.shape == wire::Shape::array ? 1.0 : spec.tasks;
    if ((team->cpus_max > 0 && spec.cpus * tasks > team->cpus_max + kSlack) ||
        (team->gpus_max > 0 && spec.gpus * tasks > team->gpus_max + kSlack)) {
        return "needs more than the team's limit";
    }
    return "";
}

Desk::Desk(const wire::Settings& settings, state::Client& state, Confirmed& answers, Hooks hooks)
    : settings_(settings), state_(state), answers_(answers), hooks_(std::move(hooks)) {}

bool Desk::handle(const net::Request& request, const net::Responder& responder) {
    const std::string& path = request.path;
    if (path == "/work") {
        if (request.method != "POST")
            responder.send(failure(405, "use POST"));
        else if (open_ >= kMostOpen)
            responder.send(busy());
        else
            submit(request, responder);
        return true;
    }
    if (path.rfind("/work/", 0) != 0) return false;
    std::string id = path.substr(6);
    bool abort = id.size() > 6 && id.compare(id.size() - 6, 6, "/abort") == 0;
    if (abort) id.resize(id.size() - 6);
    if (!wire::valid_job_id(id))
        responder.send(failure(id.find('/') == std::string::npos ? 400 : 404, "id"));
    else if (open_ >= kMostOpen)
        responder.send(busy());
    else if (abort && request.method == "POST")
        cancel(id, kCancelTries, responder);
    else if (!abort && request.method == "GET")
        query(id, responder);
    else
        responder.send(failure(405, abort ? "use POST" : "use GET"));
    return true;
}

void Desk::begin() {
    if (open_++ == 0) idle_until_ = hooks_.now();
}

void Desk::end() { --open_; }

void Desk::answer(const char* request, Millis since, const net::Responder& responder,
                  const net::Response& response) {
    hooks_.answered(request, response.status, hooks_.now() - since);
    responder.send(response);
}

// Answers from the job's own record.
void Desk::answer_known(const std::string& id, const Told& told, const net::Responder& r) {
    if (told.final) {
        const std::uint64_t done = *told.final == JobStatus::done ? told.tasks : 0;
        r.send(ok(200, wire::job_answer(id, *told.final, done, 0)));
    } else {
        std::uint64_t done = 0, running = 0;
        hooks_.progress(id, done, running);
        r.send(ok(200, wire::job_answer(id, running > 0 ? JobStatus::running : JobStatus::pending,
                                        done, running)));
    }
}

void Desk::submit(const net::Request& request, net::Responder responder) {
    auto body = wire::decode_map(request.body);
    if (!body) {
        responder.send(failure(400, "the body is no CBOR map"));
        return;
    }
    std::string error;
    auto spec = wire::parse_job(*body, error);
    if (!spec) {
        responder.send(failure(400, "missing or invalid: " + error));
        return;
    }
    if (types_.empty()) {
        responder.send(busy());  // what can run is not known yet
        return;
    }
    const std::string id = spec->id;
    std::string never = impossible(*spec, settings_, types_);
    if (!never.empty()) {
        // A job that was accepted before must not be turned away now.
        begin();
        answers_.ask(id, kSubmitWait,
                     [this, id, never, responder](Answers::Found found, const Told& told) {
                         end();
                         if (found == Answers::Found::told)
                             answer_known(id, told, responder);
                         else if (found == Answers::Found::missing)
                             responder.send(failure(422, never));
                         else
                             responder.send(busy());
                     });
        return;
    }
    // A repeated one costs no change.
    if (answers_.knows(id)) return query(id, responder);
    state::Txn txn;
    txn.conditions = {{job_key(id), 0}};
    txn.writes = {{job_key(id), Json{{"final", nullptr}, {"tasks", spec->tasks}}},
                  {open_key(id), open_record(*body, hooks_.wall_ms(), false)}};
    std::size_t most = static_cast<std::size_t>(settings_.state_value_kb * 1024);
    if (request.body.size() * 2 > most && txn.writes[1].value->dump().size() > most) {
        responder.send(failure(400, "the description is too long"));
        return;
    }
    begin();
    Millis since = hooks_.now();
    state_.commit(txn, state::Urgency::user, kSubmitWait,
                  [this, id, since, responder](const state::CommitReply& r) {
                      end();
                      spdlog::debug("submission of {}: {}", id, state::name(r.outcome));
                      if (r.outcome == state::Outcome::ok) {
                          answer("submit", since, responder,
                                 ok(201, wire::job_answer(id, JobStatus::pending)));
                      } else if (r.outcome == state::Outcome::conflict) {
                          query(id, responder);  // known already
                      } else {
                          answer("submit", since, responder, busy());
                      }
                  });
}

void Desk::query(const std::string& id, net::Responder responder) {
    begin();
    answers_.ask(id, kQueryWait, [this, id, responder](Answers::Found found, const Told& told) {
        end();
        if (found == Answers::Found::told)
            answer_known(id, told, responder);
        else if (found == Answers::Found::missing)
            responder.send(failure(404, "no such job"));
        else
            responder.send(busy());
    });
}

// The wish goes into the open record; the leader stops the tasks and makes the job final when none
// is left. Until then the answer is to ask again: what was told can then not be undone by anybody
// who had not heard of it.
void Desk::cancel(const std::string& id, int tries, net::Responder responder) {
    if (tries == 0) {
        responder.send(busy());
        return;
    }
    begin();
    answers_.ask(id, kQueryWait,
                 [this, id, tries, responder](Answers::Found found, const Told& told) {
                     end();
                     if (found == Answers::Found::missing)
                         responder.send(failure(404, "no such job"));
                     else if (found == Answers::Found::unknown)
                         responder.send(busy());
                     else if (told.final)
                         answer_known(id, told, responder);
                     else
                         read_open_for_cancel(id, tries, responder);
                 });
}

void Desk::read_open_for_cancel(const std::string& id, int tries, net::Responder responder) {
    begin();
    state_.get(open_key(id), state::Urgency::user, kQueryWait,
               [this, id, tries, responder](const state::GetReply& open) {
                   end();
                   if (open.outcome == state::Outcome::missing)
                       cancel(id, tries - 1, responder);  // it has just become final
                   else if (open.outcome != state::Outcome::ok)
                       responder.send(busy());
                   else
                       wish(id, open.item, tries, responder);
               });
}

void Desk::wish(const std::string& id, const state::Item& open, int tries,
                net::Responder responder) {
    if (wire::flag(open.value, "unwanted").value_or(false)) {
        responder.send(busy());
        return;
    }
    state::Txn txn;
    txn.conditions = {{open_key(id), open.version}};
    txn.writes = {{open_key(id), open.value}};
    (*txn.writes[0].value)["unwanted"] = true;
    begin();
    state_.commit(txn, state::Urgency::user, kQueryWait,
                  [this, id, tries, responder](const state::CommitReply& r) {
                      end();
                      if (r.outcome == state::Outcome::conflict)
                          cancel(id, tries - 1, responder);
                      else if (r.outcome != state::Outcome::ok || awaited_ >= kMostAwaited)
                          responder.send(busy());
                      else
                          await_end(id, r.revision, responder);
                  });
}

// Mostly it takes some messages only.
void Desk::await_end(const std::string& id, std::uint64_t revision, net::Responder responder) {
    ++awaited_;
    state_.watch(
        job_key(id), revision, kEndWait,
        [this, id, responder](state::ListReply r) {
            --awaited_;
            for (const state::Item& i : r.items) {
                if (i.deleted || i.key != job_key(id)) continue;
                if (auto told = read_told(i.value, i.version)) {
                    answer_known(id, *told, responder);
                    return;
                }
            }
            responder.send(busy());
        },
        kEndWait);
}

}  // namespace nickelramp::jobs
