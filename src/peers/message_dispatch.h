/// @file
/// From frames to the methods of a PeerMessageHandler.
#pragma once
#include "peers/codec.h"
#include "peers/peer_message_handler.h"

namespace nickelramp::peers {

/// `unreadable`: the body is no message of its kind. `unknown_kind`: of a later version.
enum class DispatchResult { delivered, unreadable, unknown_kind };

/// Decodes the frame and calls the method for its kind. Called by PeerNetwork for every frame.
[[nodiscard]] DispatchResult dispatch(const Framer::Frame& frame, PeerMessageHandler& handler);

}  // namespace nickelramp::peers
