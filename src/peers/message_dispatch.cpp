#include "peers/message_dispatch.h"

namespace nickelramp::peers {

namespace {

template <typename Message>
DispatchResult deliver(const std::optional<Message>& message, PeerMessageHandler& handler,
                       void (PeerMessageHandler::*method)(const Message&)) {
    if (!message) return DispatchResult::unreadable;
    (handler.*method)(*message);
    return DispatchResult::delivered;
}

}  // namespace

DispatchResult dispatch(const Framer::Frame& frame, PeerMessageHandler& handler) {
    using Handler = PeerMessageHandler;
    const std::string_view body = frame.body;
    switch (static_cast<MessageKind>(frame.kind)) {
        case MessageKind::status:
            return deliver(decode_status(body), handler, &Handler::on_peer_status);
        case MessageKind::shard_grant:
            return deliver(decode_shard_grant(body), handler, &Handler::on_shard_grant);
        case MessageKind::shard_status:
            return deliver(decode_shard_status(body), handler, &Handler::on_shard_status);
        case MessageKind::heartbeat_delegation:
            return deliver(decode_heartbeat_delegation(body), handler,
                           &Handler::on_heartbeat_delegation);
        case MessageKind::role_assignment:
            return deliver(decode_role_assignment(body), handler, &Handler::on_role_assignment);
        case MessageKind::delegated_request:
            return deliver(decode_delegated_request(body), handler, &Handler::on_delegated_request);
        case MessageKind::delegated_result:
            return deliver(decode_delegated_result(body), handler, &Handler::on_delegated_result);
        case MessageKind::forwarded_heartbeat:
            return deliver(decode_forwarded_heartbeat(body), handler,
                           &Handler::on_forwarded_heartbeat);
        case MessageKind::forwarded_reply:
            return deliver(decode_forwarded_reply(body), handler, &Handler::on_forwarded_reply);
    }
    return DispatchResult::unknown_kind;
}

}  // namespace nickelramp::peers
