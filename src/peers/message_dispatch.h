/// @file
/// Decodes frames and passes their messages to a PeerMessageHandler.
#pragma once
#include "peers/codec.h"
#include "peers/peer_message_handler.h"

namespace nickelramp::peers {

enum class DispatchResult {
    delivered,
    unreadable,   ///< the body is not a valid message of its kind
    unknown_kind  ///< the kind was added by a later version
};

/// Decodes the frame and calls the handler's method for its kind. Called by PeerNetwork for every
/// frame.
[[nodiscard]] DispatchResult dispatch(const Framer::Frame& frame, PeerMessageHandler& handler);

}  // namespace nickelramp::peers
