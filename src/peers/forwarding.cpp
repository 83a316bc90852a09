#include "peers/forwarding.h"

#include <cmath>

namespace nickelramp::peers {

namespace {
constexpr double kMillisPerSecond = 1000.0;
// Durations beyond a year are cut to it: a sender's mistake must not overflow.
constexpr double kLongestSeconds = 3.2e7;

std::uint64_t to_millis(double duration_s) {
    const double bounded = std::fmin(std::fmax(duration_s, 0.0), kLongestSeconds);
    return static_cast<std::uint64_t>(std::llround(bounded * kMillisPerSecond));
}

double to_seconds(std::uint64_t duration_ms) {
    return static_cast<double>(duration_ms) / kMillisPerSecond;
}

// An enum's number that is out of range makes the whole message unreadable.
template <typename Enum>
std::optional<Enum> to_enum(std::uint64_t number, Enum last) {
    if (number > static_cast<std::uint64_t>(last)) return std::nullopt;
    return static_cast<Enum>(number);
}

void write_report(Writer& w, const wire::Heartbeat& heartbeat) {
    for (const std::string* text :
         {&heartbeat.machine, &heartbeat.address, &heartbeat.type, &heartbeat.zone})
        w.text(*text);
    w.number(heartbeat.spot ? 1 : 0);
    for (std::uint64_t v : {heartbeat.incarnation, heartbeat.sequence, heartbeat.token})
        w.number(v);
    // 0: no notice; otherwise the milliseconds that are left, plus one.
    w.number(heartbeat.preemption_notice_s ? to_millis(*heartbeat.preemption_notice_s) + 1 : 0);
    w.number(heartbeat.tasks.size());
    for (const wire::TaskReport& task : heartbeat.tasks) {
        w.text(task.job);
        w.number(task.task);
        w.number(task.attempt);
        w.number(static_cast<std::uint64_t>(task.phase));
        w.number(static_cast<std::uint64_t>(task.cause));
        w.number(task.saved ? 1 : 0);
    }
}

std::optional<wire::TaskReport> read_task(Reader& r) {
    wire::TaskReport task;
    task.job = r.text();
    const std::uint64_t number = r.number();
    const std::uint64_t attempt = r.number();
    const auto phase = to_enum(r.number(), wire::TaskPhase::exited);
    const auto cause = to_enum(r.number(), wire::ExitCause::unknown);
    task.saved = r.number() != 0;
    if (!r.good() || number > UINT32_MAX || attempt > UINT32_MAX || !phase || !cause)
        return std::nullopt;
    task.task = static_cast<std::uint32_t>(number);
    task.attempt = static_cast<std::uint32_t>(attempt);
    task.phase = *phase;
    task.cause = *cause;
    return task;
}

std::optional<wire::Heartbeat> read_report(Reader& r) {
    wire::Heartbeat heartbeat;
    for (std::string* text :
         {&heartbeat.machine, &heartbeat.address, &heartbeat.type, &heartbeat.zone})
        *text = r.text();
    heartbeat.spot = r.number() != 0;
    for (std::uint64_t* v : {&heartbeat.incarnation, &heartbeat.sequence, &heartbeat.token})
        *v = r.number();
    if (const std::uint64_t notice = r.number(); notice != 0)
        heartbeat.preemption_notice_s = to_seconds(notice - 1);
    const std::uint64_t tasks = r.count();
    for (std::uint64_t i = 0; i < tasks; ++i) {
        auto task = read_task(r);
        if (!task) return std::nullopt;
        heartbeat.tasks.push_back(std::move(*task));
    }
    if (!r.good() || heartbeat.machine.empty() || heartbeat.incarnation == 0) return std::nullopt;
    return heartbeat;
}

std::optional<wire::Command> read_command(Reader& r) {
    wire::Command command;
    const auto op = to_enum(r.number(), wire::Command::Op::forget);
    command.job = r.text();
    const std::uint64_t number = r.number();
    const std::uint64_t attempt = r.number();
    command.grace_s = to_seconds(r.number());
    if (!r.good() || !op || number > UINT32_MAX || attempt > UINT32_MAX) return std::nullopt;
    command.op = *op;
    command.task = static_cast<std::uint32_t>(number);
    command.attempt = static_cast<std::uint32_t>(attempt);
    return command;
}
}  // namespace

PeerFrame encode(const ForwardedHeartbeat& message) {
    Writer w;
    w.text(message.from);
    for (std::uint64_t v :
         {message.incarnation, message.sequence, message.term, message.leader_incarnation,
          message.leader_clock_ms, message.since_status_ms, std::uint64_t{message.follows_reply}}) {
        w.number(v);
    }
    write_report(w, message.heartbeat);
    return {frame(static_cast<std::uint64_t>(MessageKind::forwarded_heartbeat), w)};
}

std::optional<ForwardedHeartbeat> decode_forwarded_heartbeat(std::string_view body) {
    Reader r(body);
    ForwardedHeartbeat message;
    message.from = r.text();
    for (std::uint64_t* v :
         {&message.incarnation, &message.sequence, &message.term, &message.leader_incarnation,
          &message.leader_clock_ms, &message.since_status_ms}) {
        *v = r.number();
    }
    message.follows_reply = r.number() != 0;
    auto heartbeat = read_report(r);
    if (!heartbeat || message.from.empty() || message.term == 0) return std::nullopt;
    message.heartbeat = std::move(*heartbeat);
    return message;
}

PeerFrame encode(const ForwardedReply& message) {
    Writer w;
    w.text(message.from);
    for (std::uint64_t v :
         {message.incarnation, message.sequence, message.term, message.http_status})
        w.number(v);
    w.text(message.holder);
    w.number(message.token);
    w.number(message.commands.size());
    for (const wire::Command& command : message.commands) {
        w.number(static_cast<std::uint64_t>(command.op));
        w.text(command.job);
        w.number(command.task);
        w.number(command.attempt);
        w.number(to_millis(command.grace_s));
    }
    return {frame(static_cast<std::uint64_t>(MessageKind::forwarded_reply), w)};
}

std::optional<ForwardedReply> decode_forwarded_reply(std::string_view body) {
    Reader r(body);
    ForwardedReply message;
    message.from = r.text();
    for (std::uint64_t* v :
         {&message.incarnation, &message.sequence, &message.term, &message.http_status})
        *v = r.number();
    message.holder = r.text();
    message.token = r.number();
    const std::uint64_t commands = r.count();
    for (std::uint64_t i = 0; i < commands; ++i) {
        auto command = read_command(r);
        if (!command) return std::nullopt;
        message.commands.push_back(std::move(*command));
    }
    if (!r.good() || message.from.empty()) return std::nullopt;
    return message;
}

}  // namespace nickelramp::peers
