#ifndef ORIOLETALLY_CORE_RELAY_REMOTE_PLACEMENT_H
#define ORIOLETALLY_CORE_RELAY_REMOTE_PLACEMENT_H

#include "core/errors/request_error.h"
#include "core/relay/dispatcher.h"
#include "core/relay/placement_message.h"

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace orioletally::core::relay {

/// Limits the messages of one kind that a node sends: a token bucket.
class MessageBucket {
public:
  MessageBucket(double perSecond, double burst)
      : PerSecond(perSecond), Burst(burst), Tokens(burst) {}

  /// Takes one message; returns false when none is allowed now.
  bool tryTake(absl::Time now);

private:
  double PerSecond;
  double Burst;
  double Tokens;
  absl::Time RefilledAt = absl::InfinitePast();
};

/// A node of another cell.
struct CellNode {
  std::string Name;
  /// "ip:port" for messages between nodes.
  std::string Address;
};

/// What asking other cells about a call resulted in.
enum class AskOutcome {
  /// An offer is used.
  Taken,
  /// The own cell's placement is used.
  Own,
  /// All cells that answered refused.
  Refused,
  /// No cell answered.
  NoAnswer,
  /// The call ended meanwhile.
  Cancelled,
};

/// Returns the name of \p outcome in logs and metrics.
std::string_view askOutcomeName(AskOutcome outcome);

/// The answers that a call got from other cells.
struct AskResult {
  /// The one with the earliest predicted first token; empty if there is none.
  std::optional<PlacementOffer> Best;
  /// Address of the node that made it.
  std::string Address;
  /// The other offers and the addresses of the nodes that made them.
  std::vector<std::pair<std::string, OfferProgress>> Unused;
  size_t Asked = 0;
  size_t Answered = 0;
};

/// Whether a call whose own cell's placement is \p own should ask other cells:
/// its cell refused it for lack of time, memory or engines, or its first token
/// is predicted to be late. Not for calls that may only be sent to certain
/// backend servers.
bool shouldAskOtherCells(
    const CallDemand &demand,
    const std::variant<Dispatch, errors::RequestError> &own, absl::Time now);

/// Returns the request for a call of \p service whose own cell's placement is
/// \p own: an offer must be clearly better than that.
PlacementRequest
makePlacementRequest(const CallDemand &demand, const std::string &service,
                     const std::variant<Dispatch, errors::RequestError> &own,
                     absl::Time now);

/// Whether \p offer is to be used instead of the own cell's placement \p own.
bool isBetterThanOwn(const PlacementOffer &offer,
                     const std::variant<Dispatch, errors::RequestError> &own);

/// Decides which nodes of other cells a call asks for a placement, how long it
/// waits and which offer it takes. Asking instead of comparing summaries avoids
/// that many nodes choose the same idle cell at once: the asked node records
/// each offer in its cell's load before it replies.
class RemotePlacement {
public:
  /// Longest time that a call waits for offers, about six round trips between
  /// availability zones, which includes the set-up of two connections.
  static constexpr absl::Duration MaxWait = absl::Milliseconds(60);
  /// A cell that hasn't answered for this long doesn't keep the call from
  /// asking a third one. Its offer is still used.
  static constexpr absl::Duration AnswerPatience = absl::Milliseconds(25);
  /// How long a call waits for a better offer after the first one. Answers of
  /// cells asked at the same time differ by less than a round trip between
  /// availability zones.
  static constexpr absl::Duration FurtherOfferWait = absl::Milliseconds(10);
  /// Cells that a call asks at once, and at most.
  static constexpr size_t FirstCells = 2;
  static constexpr size_t MaxCells = 3;
  /// Requests a second that a node sends, and at once.
  static constexpr double RequestRate = 20;
  static constexpr double RequestBurst = 20;
  /// Nodes of each cell that a node asks. A small set keeps the connections to
  /// them open; their set-up takes several round trips.
  static constexpr size_t PartnersPerCell = 4;
  /// How long a node that didn't answer isn't asked again.
  static constexpr absl::Duration SilentNodeTime = absl::Seconds(5);

  explicit RemotePlacement(uint64_t seed)
      : Random(seed), NextId(Random()), Bucket(RequestRate, RequestBurst) {}

  /// Sets the registered nodes of the other cells of this node's region.
  void setCells(std::vector<std::vector<CellNode>> cells);

  /// Begins to ask about a call that may wait until \p until; returns the
  /// number of the question. Empty if there is no cell to ask or no time, or if
  /// the node has asked too often.
  std::optional<uint64_t> begin(absl::Time until, absl::Time now);

  /// Returns the time until which a call may wait for offers.
  static absl::Time waitUntil(const CallDemand &demand, absl::Time now);

  /// Returns the nodes to send the request of question \p id to now, each
  /// once.
  std::vector<CellNode> takeNodes(uint64_t id, absl::Time now);

  /// Whether the waiting is over.
  bool isDecided(uint64_t id, absl::Time now) const;

  /// Returns when takeNodes() and isDecided() change if no reply arrives.
  absl::Time nextCheck(uint64_t id, absl::Time now) const;

  /// Records a reply of the node \p node, whose offer \p isUsable if this node
  /// may send the call to the engines. Returns false if it must be ended,
  /// because nothing waits for it.
  bool replied(const std::string &node, const PlacementReply &reply,
               bool isUsable, absl::Time now);

  /// Ends question \p id and returns its result. The best offer counts as in
  /// use until offerEnded().
  AskResult finish(uint64_t id, absl::Time now);

  /// Records that this node no longer uses the offer \p id.
  void offerEnded(uint64_t id) { InUse.erase(id); }

private:
  struct AskedCell {
    CellNode Node;
    absl::Time AskedAt;
    bool HasAnswered = false;
    std::optional<PlacementOffer> Offer;
  };
  struct Question {
    absl::Time Until;
    /// Numbers of the cells in the order in which they are asked.
    std::vector<size_t> Cells;
    std::vector<AskedCell> Asked;
    /// How many of them takeNodes() has returned.
    size_t Taken = 0;
    absl::Time FirstOfferAt = absl::InfiniteFuture();
  };

  /// Whether question \p it may ask one more cell: none has made an offer, and
  /// those asked have refused or are slow.
  static bool needsAnotherCell(const Question &it, absl::Time now);
  /// Adds the next cell of \p question; returns false if there is none to ask
  /// or the node has asked too often.
  bool askAnotherCell(Question &question, absl::Time now);
  /// Returns a node of \p cell; null if none is known to answer.
  const CellNode *pickNode(size_t cell, absl::Time now);
  bool isSilent(const std::string &node, absl::Time now) const;

  std::mt19937_64 Random;
  uint64_t NextId;
  MessageBucket Bucket;
  std::vector<std::vector<CellNode>> Cells;
  /// Names of the nodes asked, by cell.
  std::vector<std::vector<std::string>> Partners;
  std::map<std::string, absl::Time, std::less<>> SilentUntil;
  std::map<uint64_t, Question> Questions;
  /// Ids of the offers in use, and the addresses of the nodes that made them.
  std::map<uint64_t, std::string> InUse;
};

/// The offers that this node made to nodes of other cells. Each is part of the
/// load of its engines from the moment it is made.
class PlacementOffers {
public:
  /// An offer without progress ends after this time: its request's sender gave
  /// up or died.
  static constexpr absl::Duration OfferLifetime = absl::Milliseconds(500);
  /// How long an expired offer is remembered. After a standstill of this node
  /// it may expire before the news that it was taken is read.
  static constexpr absl::Duration ExpiredMemory = absl::Seconds(10);
  /// An offer in use without an end is forgotten after this time, longer than
  /// any stream; EngineLoad removes its prompt earlier.
  static constexpr absl::Duration TakenMemory = absl::Minutes(2);
  /// Requests answered a second, and at once: twice as many as a node sends,
  /// because they are spread at random.
  static constexpr double AnswerRate = 40;
  static constexpr double AnswerBurst = 40;
  static constexpr size_t MaxOffers = 4096;

  explicit PlacementOffers(Dispatcher &dispatcher)
      : Calls(dispatcher), Bucket(AnswerRate, AnswerBurst) {}

  /// Returns the reply to a request of the node \p node; empty if more requests
  /// arrive than are answered.
  std::optional<PlacementReply> reply(const std::string &node,
                                      const PlacementRequest &request,
                                      absl::Time now);

  /// Applies what the node \p node reports about an offer made to it.
  void apply(const std::string &node, const OfferProgress &progress,
             absl::Time now);

  /// Ends the offers that have expired; returns their number.
  size_t expire(absl::Time now);

  /// Returns when the next offer expires; infinite future if none does.
  absl::Time nextExpiry() const;

  size_t size() const { return Offers.size(); }

private:
  enum class OfferState { Open, Taken, Expired };
  struct Record {
    std::string Node;
    uint64_t RequestId = 0;
    Dispatch Placed;
    OfferState State = OfferState::Open;
    absl::Time Since;
  };

  static PlacementReply describe(const Record &record);
  static absl::Time expiryOf(const Record &record);

  Dispatcher &Calls;
  MessageBucket Bucket;
  /// By id.
  std::map<uint64_t, Record> Offers;
};

} // namespace orioletally::core::relay

#endif
