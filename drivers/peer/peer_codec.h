#ifndef ORIOLETALLY_DRIVERS_PEER_PEER_CODEC_H
#define ORIOLETALLY_DRIVERS_PEER_PEER_CODEC_H

#include "core/membership/peer_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace orioletally::drivers::peer {

/// Serializes \p message as the Envelope of proto/peer.proto.
std::string encode(const core::membership::PeerMessage &message);

/// Parses a message; empty when it is malformed.
std::optional<core::membership::PeerMessage> decode(std::string_view bytes);

} // namespace orioletally::drivers::peer

#endif
