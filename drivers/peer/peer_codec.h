#ifndef ORIOLETALLY_DRIVERS_PEER_PEER_CODEC_H
#define ORIOLETALLY_DRIVERS_PEER_PEER_CODEC_H

#include "core/membership/peer_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace orioletally::drivers::peer {

/// Writes \p message in the protobuf form of proto/peer.proto.
std::string encode(const core::membership::PeerMessage &message);

/// Reads a message; empty when it can't be read.
std::optional<core::membership::PeerMessage> decode(std::string_view bytes);

} // namespace orioletally::drivers::peer

#endif
