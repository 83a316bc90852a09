#include "peers/forwarding.h"

#include "peers/field_codec.h"

namespace nickelramp::peers {

namespace {

template <typename Codec, MessageOf<wire::TaskReport> Report>
void visit_task(Codec& codec, Report& task) {
    codec.texts(task.job);
    codec.number32(task.task);
    codec.number32(task.attempt);
    codec.enumeration(task.phase, wire::TaskPhase::exited);
    codec.enumeration(task.cause, wire::ExitCause::unknown);
    codec.flag(task.saved);
}

template <typename Codec, MessageOf<wire::Heartbeat> Heartbeat>
void visit_heartbeat(Codec& codec, Heartbeat& heartbeat) {
    codec.texts(heartbeat.machine, heartbeat.address, heartbeat.type, heartbeat.zone);
    codec.flag(heartbeat.spot);
    codec.numbers(heartbeat.incarnation, heartbeat.sequence, heartbeat.token);
    codec.optional_duration(heartbeat.preemption_notice_s);
    codec.list(heartbeat.tasks, [&](auto& task) { visit_task(codec, task); });
}

template <typename Codec, MessageOf<wire::Command> Command>
void visit_command(Codec& codec, Command& command) {
    codec.enumeration(command.op, wire::Command::Op::forget);
    codec.texts(command.job);
    codec.number32(command.task);
    codec.number32(command.attempt);
    codec.duration(command.grace_s);
}

}  // namespace

template <typename Codec, MessageOf<ForwardedHeartbeat> Message>
static void visit_fields(Codec& codec, Message& message) {
    codec.texts(message.from);
    codec.numbers(message.incarnation, message.sequence, message.term, message.leader_incarnation,
                  message.leader_clock_ms, message.since_status_ms);
    codec.flag(message.follows_reply);
    visit_heartbeat(codec, message.heartbeat);
}

template <typename Codec, MessageOf<ForwardedReply> Message>
static void visit_fields(Codec& codec, Message& message) {
    codec.texts(message.from);
    codec.numbers(message.incarnation, message.sequence, message.term, message.http_status);
    codec.texts(message.holder);
    codec.numbers(message.token);
    codec.list(message.commands, [&](auto& command) { visit_command(codec, command); });
}

PeerFrame encode(const ForwardedHeartbeat& message) {
    return {encode_frame(MessageKind::forwarded_heartbeat, message)};
}

std::optional<ForwardedHeartbeat> decode_forwarded_heartbeat(std::string_view body) {
    auto message = decode_body<ForwardedHeartbeat>(body);
    if (!message || message->term == 0) return std::nullopt;
    if (message->heartbeat.machine.empty() || message->heartbeat.incarnation == 0)
        return std::nullopt;
    return message;
}

PeerFrame encode(const ForwardedReply& message) {
    return {encode_frame(MessageKind::forwarded_reply, message)};
}

std::optional<ForwardedReply> decode_forwarded_reply(std::string_view body) {
    return decode_body<ForwardedReply>(body);
}

}  // namespace nickelramp::peers
