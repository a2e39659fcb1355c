#ifndef ORIOLETALLY_DRIVERS_RELAY_CELL_PLACER_H
#define ORIOLETALLY_DRIVERS_RELAY_CELL_PLACER_H

#include "core/platform/fleet_source.h"
#include "core/relay/remote_placement.h"
#include "drivers/loop/asio_use.h"
#include "drivers/relay/node_update.h"
#include "drivers/relay/relay_context.h"

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace orioletally::drivers::relay {

/// Places prompts that this node's cell can't serve in time on engines of other
/// cells: asks nodes there, and answers those that ask this node. Passes what
/// arrives to core/relay/remote_placement and sends what that decides.
class CellPlacer {
public:
  using Placement =
      std::variant<core::relay::Dispatch, core::errors::RequestError>;
  using SendHandler = std::function<void(const std::string &address,
                                         core::relay::PlacementMessages)>;

  /// A call that asks other cells. What it refers to outlives the question.
  struct Question {
    const std::string &CallId;
    const core::relay::CallDemand &Demand;
    /// The own cell's placement before the question.
    const Placement &Own;
    /// Set to the number of the question while it is asked, for cancel(), and
    /// to 0 afterwards.
    uint64_t &Number;
    /// Returns the own cell's placement now.
    std::function<Placement()> ChooseOwn;
    /// Whether the call has ended.
    std::function<bool()> IsEnded;
  };

  CellPlacer(RelayContext &context, uint64_t seed);

  /// \p handler sends messages to nodes of other cells.
  void setSendHandler(SendHandler handler) { OnSend = std::move(handler); }

  /// A node that isn't enabled neither asks nor makes offers.
  void setEnabled(bool isEnabled) { IsEnabled = isEnabled; }

  /// Sets all registered nodes, after the directory's.
  void setNodes(const std::vector<core::platform::NodeEntry> &nodes);

  /// Whether a call should ask other cells, given its own cell's placement.
  bool shouldAsk(const core::relay::CallDemand &demand, const Placement &own,
                 absl::Time now) const;

  /// Asks other cells and returns the best placement, which may be the own
  /// cell's.
  asio::awaitable<Placement> ask(const Question &question);

  /// Ends the waiting of a question.
  void cancel(uint64_t number);

  /// Applies the placement messages of another node.
  void receive(const NodeUpdate &update);

private:
  void sendRequests(const Question &question, const std::string &service,
                    absl::Time now);
  void answer(const NodeUpdate &update, absl::Time now);
  void applyReplies(const NodeUpdate &update, absl::Time now);
  Placement decide(const Question &question, const std::string &service,
                   absl::Time since);
  void endOffer(const std::string &address, uint64_t offer);
  void progressed(const core::relay::OfferedPlacement &offer,
                  core::relay::OfferEvent event);
  void scheduleExpiry();

  /// A question and what is needed to judge the replies to it.
  struct Pending {
    const core::relay::CallDemand &Demand;
    const std::string &Service;
    asio::steady_timer Timer;
  };

  RelayContext &Context;
  core::relay::RemotePlacement Asking;
  core::relay::PlacementOffers Offers;
  SendHandler OnSend;
  std::map<uint64_t, Pending> Questions;
  asio::steady_timer ExpiryTimer;
  absl::Time ExpiresAt = absl::InfiniteFuture();
  bool IsEnabled = false;
};

} // namespace orioletally::drivers::relay

#endif
