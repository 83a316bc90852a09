// Messages of other controllers, each handed to the part that it is for. What the controller itself
// does with a status or a shard grant is in controller.cpp.
#include "controller/controller.h"

namespace nickelramp::controller {

void Controller::on_shard_status(const peers::ShardStatus& status) {
    if (term_phase_ == TermPhase::running) control_loop_->on_shard_status(status, now());
}

void Controller::on_heartbeat_delegation(const peers::HeartbeatDelegation& delegation) {
    leader_status_at_ = now();
    partition_responder_.on_delegation(delegation, shard_holder_.incarnation(), now());
}

void Controller::on_role_assignment(const peers::RoleAssignment& assignment) {
    role_manager_.on_assignment(assignment, now());
}

void Controller::on_delegated_request(const peers::DelegatedRequest& request) {
    role_manager_.on_delegated_request(request, now());
}

void Controller::on_delegated_result(const peers::DelegatedResult& result) {
    role_manager_.on_delegated_result(result, now());
}

void Controller::on_forwarded_heartbeat(const peers::ForwardedHeartbeat& heartbeat) {
    heartbeat_handler_.on_forwarded_heartbeat(heartbeat);
}

void Controller::on_forwarded_reply(const peers::ForwardedReply& reply) {
    heartbeat_handler_.on_forwarded_reply(reply);
}

}  // namespace nickelramp::controller
