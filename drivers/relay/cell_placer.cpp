#include "drivers/relay/cell_placer.h"

#include "drivers/clock/clock.h"
#include "drivers/log/log.h"

#include <algorithm>
#include <utility>

namespace orioletally::drivers::relay {

using core::relay::AskOutcome;
using core::relay::AskResult;
using core::relay::CellNode;
using core::relay::Dispatch;
using core::relay::OfferEvent;
using core::relay::PlacementReply;
using core::relay::PlacementRequest;
using core::relay::RemotePlacement;

CellPlacer::CellPlacer(RelayContext &context, uint64_t seed)
    : Context(context), Asking(seed), Offers(context.Dispatcher),
      ExpiryTimer(context.Loop) {
  Context.Dispatcher.setOfferProgressHandler(
      [this](const auto &offer, OfferEvent event) {
        progressed(offer, event);
      });
}

void CellPlacer::setNodes(const std::vector<core::platform::NodeEntry> &nodes) {
  std::map<std::string, std::string> addresses;
  for (const core::platform::NodeEntry &it : nodes)
    addresses.emplace(it.Name, it.PeerAddress);
  std::vector<std::vector<CellNode>> cells;
  for (const auto &names : Context.Dispatcher.directory().cell().otherCells()) {
    std::vector<CellNode> &cell = cells.emplace_back();
    for (const std::string &it : names)
      cell.push_back({it, addresses[it]});
  }
  Asking.setCells(std::move(cells));
}

bool CellPlacer::shouldAsk(const core::relay::CallDemand &demand,
                           const Placement &own, absl::Time now) const {
  return IsEnabled && core::relay::shouldAskOtherCells(demand, own, now) &&
         Context.Dispatcher.partitionedService(demand) != nullptr;
}

asio::awaitable<CellPlacer::Placement>
CellPlacer::ask(const Question &question) {
  const absl::Time since = clock::steadyNow();
  const std::string service =
      *Context.Dispatcher.partitionedService(question.Demand);
  const auto id =
      Asking.begin(RemotePlacement::waitUntil(question.Demand, since), since);
  if (!id.has_value()) {
    Context.Metrics.placementAcrossCells("limited");
    co_return question.Own;
  }
  question.Number = *id;
  Context.Metrics.placementAcrossCells("asked");
  const auto pending =
      Questions
          .emplace(*id, Pending{question.Demand, service,
                                asio::steady_timer(Context.Loop)})
          .first;
  absl::Time now = since;
  while (!question.IsEnded() && !Asking.isDecided(*id, now)) {
    sendRequests(question, service, now);
    pending->second.Timer.expires_at(
        clock::waitDeadline(Asking.nextCheck(*id, now), now));
    co_await pending->second.Timer.async_wait(loop::AsTuple);
    now = clock::steadyNow();
  }
  Questions.erase(pending);
  co_return decide(question, service, since);
}

void CellPlacer::sendRequests(const Question &question,
                              const std::string &service, absl::Time now) {
  const std::vector<CellNode> nodes = Asking.takeNodes(question.Number, now);
  if (nodes.empty())
    return;
  PlacementRequest request = core::relay::makePlacementRequest(
      question.Demand, service, question.Own, now);
  request.Id = question.Number;
  for (const CellNode &it : nodes)
    OnSend(it.Address, {{request}, {}, {}});
}

CellPlacer::Placement CellPlacer::decide(const Question &question,
                                         const std::string &service,
                                         absl::Time since) {
  const absl::Time now = clock::steadyNow();
  const AskResult result =
      Asking.finish(std::exchange(question.Number, 0), now);
  for (const auto &[address, progress] : result.Unused)
    OnSend(address, {{}, {}, {progress}});
  // A refusal stands: admission control decides once on a call.
  Placement placement = std::holds_alternative<Dispatch>(question.Own)
                            ? question.ChooseOwn()
                            : question.Own;
  AskOutcome outcome = std::holds_alternative<Dispatch>(placement)
                           ? AskOutcome::Own
                           : AskOutcome::Refused;
  if (outcome == AskOutcome::Refused && result.Answered == 0)
    outcome = AskOutcome::NoAnswer;
  if (question.IsEnded())
    outcome = AskOutcome::Cancelled;
  if (result.Best.has_value()) {
    // The engines may have changed since the offer arrived.
    std::optional<Dispatch> offered = Context.Dispatcher.acceptOffer(
        question.Demand, service, *result.Best, result.Address, now);
    const bool isTaken = outcome != AskOutcome::Cancelled &&
                         offered.has_value() &&
                         core::relay::isBetterThanOwn(*result.Best, placement);
    if (isTaken) {
      placement = std::move(*offered);
      outcome = AskOutcome::Taken;
    } else {
      endOffer(result.Address, result.Best->Id);
    }
  }
  Context.Metrics.placementAcrossCells(core::relay::askOutcomeName(outcome));
  nlohmann::json line = {{"id", question.CallId},
                         {"prompt", question.Demand.PromptTokens},
                         {"cells", result.Asked},
                         {"answers", result.Answered},
                         {"waited_ms", absl::ToInt64Milliseconds(now - since)},
                         {"outcome", core::relay::askOutcomeName(outcome)}};
  if (const auto *chosen = std::get_if<Dispatch>(&placement)) {
    line["backend"] = chosen->Server->Entry.Id;
    line["predicted_ms"] =
        absl::ToInt64Milliseconds(chosen->PredictedFirstToken);
  }
  log::write(log::Level::Info, "placement_asked", line);
  return placement;
}

void CellPlacer::endOffer(const std::string &address, uint64_t offer) {
  Asking.offerEnded(offer);
  OnSend(address, {{}, {}, {{offer, OfferEvent::Ended}}});
}

void CellPlacer::progressed(const core::relay::OfferedPlacement &offer,
                            OfferEvent event) {
  if (event == OfferEvent::Ended)
    Asking.offerEnded(offer.OfferId);
  OnSend(offer.Address, {{}, {}, {{offer.OfferId, event}}});
}

void CellPlacer::cancel(uint64_t number) {
  const auto found = Questions.find(number);
  if (found != Questions.end())
    found->second.Timer.cancel();
}

void CellPlacer::receive(const NodeUpdate &update) {
  const absl::Time now = clock::steadyNow();
  for (const core::relay::OfferProgress &it : update.Placement.Progress)
    Offers.apply(update.Node, it, now);
  answer(update, now);
  applyReplies(update, now);
}

void CellPlacer::answer(const NodeUpdate &update, absl::Time now) {
  for (const PlacementRequest &it : update.Placement.Requests) {
    std::optional<PlacementReply> reply;
    if (IsEnabled && !Context.isDraining())
      reply = Offers.reply(update.Node, it, now);
    else
      reply = PlacementReply{it.Id, std::nullopt};
    if (!reply.has_value())
      continue;
    Context.Metrics.placementAcrossCells(
        reply->Offer.has_value() ? "offer_made" : "offer_refused");
    OnSend(update.PeerAddress, {{}, {std::move(*reply)}, {}});
  }
  scheduleExpiry();
}

void CellPlacer::applyReplies(const NodeUpdate &update, absl::Time now) {
  for (const PlacementReply &it : update.Placement.Replies) {
    const auto pending = Questions.find(it.RequestId);
    const bool isUsable =
        pending != Questions.end() && it.Offer.has_value() &&
        Context.Dispatcher
            .acceptOffer(pending->second.Demand, pending->second.Service,
                         *it.Offer, update.PeerAddress, now)
            .has_value();
    if (!Asking.replied(update.Node, it, isUsable, now))
      OnSend(update.PeerAddress, {{}, {}, {{it.Offer->Id, OfferEvent::Ended}}});
    cancel(it.RequestId);
  }
}

void CellPlacer::scheduleExpiry() {
  const absl::Time at = Offers.nextExpiry();
  if (at >= ExpiresAt)
    return;
  ExpiresAt = at;
  ExpiryTimer.expires_at(clock::waitDeadline(at, clock::steadyNow()));
  ExpiryTimer.async_wait([this](boost::system::error_code ec) {
    if (ec)
      return;
    ExpiresAt = absl::InfiniteFuture();
    const size_t expired = Offers.expire(clock::steadyNow());
    if (expired > 0)
      Context.Metrics.placementAcrossCells("offer_expired", expired);
    scheduleExpiry();
  });
}

} // namespace orioletally::drivers::relay
