#ifndef ORIOLETALLY_CORE_RELAY_PLACEMENT_MESSAGE_H
#define ORIOLETALLY_CORE_RELAY_PLACEMENT_MESSAGE_H

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orioletally::core::relay {

/// Asks a node of another cell to place a prompt on the engines of its cell.
struct PlacementRequest {
  /// Unique among the requests of the sender.
  uint64_t Id = 0;
  std::string Service;
  int64_t PromptTokens = 0;
  /// Expected tokens of the answer; 0 if the caller states none.
  int64_t AnswerTokens = 0;
  /// Time left until the first token is late.
  absl::Duration Objective;
  /// A placement with a later predicted first token is of no use.
  absl::Duration MaxPredictedFirstToken;
  /// The longest pause between two events that meets the caller's objective.
  absl::Duration GapObjective = absl::InfiniteDuration();
  /// Ids of the backend servers that earlier attempts were sent to.
  std::vector<std::string> Tried;
  /// 0 is the most urgent.
  int64_t Rank = 0;
};

/// A placement on engines of the sender's cell. The sender counts it as part of
/// their load until it ends.
struct PlacementOffer {
  /// Unique across all nodes.
  uint64_t Id = 0;
  std::string Server;
  std::vector<std::string> Helpers;
  /// Tokens of memory to reserve at each helper; 0 for none.
  std::vector<int64_t> Reserved;
  absl::Duration PredictedFirstToken;
};

/// The reply to a PlacementRequest.
struct PlacementReply {
  uint64_t RequestId = 0;
  /// Empty for a refusal.
  std::optional<PlacementOffer> Offer;
};

/// What became of an offer.
enum class OfferEvent {
  /// The call is about to be sent.
  Taken,
  FirstToken,
  /// The attempt has ended, or the offer isn't used.
  Ended
};

/// Tells the node that made an offer what became of it.
struct OfferProgress {
  uint64_t OfferId = 0;
  OfferEvent Event = OfferEvent::Ended;
};

/// The messages about placement across cells that one node sends another.
struct PlacementMessages {
  std::vector<PlacementRequest> Requests;
  std::vector<PlacementReply> Replies;
  std::vector<OfferProgress> Progress;

  bool isEmpty() const {
    return Requests.empty() && Replies.empty() && Progress.empty();
  }
};

} // namespace orioletally::core::relay

#endif
