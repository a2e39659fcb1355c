#include "core/relay/remote_placement.h"

#include <absl/random/distributions.h>
#include <algorithm>
#include <array>
#include <numeric>

namespace orioletally::core::relay {

namespace {

using errors::ErrorCode;
using errors::RequestError;

/// An offer isn't worth its messages unless it is earlier than the own cell's
/// placement by a tenth, the usual error of a prediction.
constexpr double MaxShareOfOwnPrediction = 0.9;

constexpr std::array<std::string_view, 5> OutcomeNames = {
    "taken", "own", "refused", "no_answer", "cancelled"};

absl::Duration objectiveLeft(const CallDemand &demand, absl::Time now) {
  return demand.Route->Objective - (now - demand.ArrivedAt);
}

/// Whether the own cell's placement should be compared with those of others.
struct AskVisitor {
  absl::Duration Objective;

  bool operator()(const Dispatch &own) const {
    // Nodes don't know the load of other cells' engines, which a cell without
    // any of its own uses.
    return own.Speed != nullptr &&
           (own.PredictedFirstToken > Objective || !own.Server->InCell);
  }
  bool operator()(const RequestError &error) const {
    // A caller that returns early gains nothing at other cells either.
    return error.Rule != EarlyReturnRule &&
           (error.Code == ErrorCode::Overloaded ||
            error.Code == ErrorCode::NoBackend ||
            error.Code == ErrorCode::PayloadTooLarge);
  }
};

struct BetterVisitor {
  absl::Duration Offered;

  bool operator()(const Dispatch &own) const {
    return !own.Server->InCell || Offered < own.PredictedFirstToken;
  }
  /// Not for a call that has been quarantined meanwhile.
  bool operator()(const RequestError &error) const {
    return AskVisitor{Offered}(error);
  }
};

} // namespace

std::string_view askOutcomeName(AskOutcome outcome) {
  return OutcomeNames[static_cast<size_t>(outcome)];
}

bool shouldAskOtherCells(const CallDemand &demand,
                         const std::variant<Dispatch, RequestError> &own,
                         absl::Time now) {
  return demand.Only.empty() &&
         std::visit(AskVisitor{objectiveLeft(demand, now)}, own);
}

PlacementRequest
makePlacementRequest(const CallDemand &demand, const std::string &service,
                     const std::variant<Dispatch, RequestError> &own,
                     absl::Time now) {
  PlacementRequest result;
  result.Service = service;
  result.PromptTokens = demand.PromptTokens;
  result.AnswerTokens = demand.AnswerTokens;
  result.Objective = objectiveLeft(demand, now);
  result.MaxPredictedFirstToken =
      Dispatcher::maxPredictedFirstToken(demand, now);
  const auto *dispatch = std::get_if<Dispatch>(&own);
  if (dispatch != nullptr && dispatch->Server->InCell)
    result.MaxPredictedFirstToken =
        std::min(result.MaxPredictedFirstToken,
                 MaxShareOfOwnPrediction * dispatch->PredictedFirstToken);
  if (demand.Route->GapObjective > absl::ZeroDuration())
    result.GapObjective = demand.Route->GapObjective;
  result.Tried = demand.Tried;
  result.Rank = demand.Route->Priority;
  return result;
}

bool isBetterThanOwn(const PlacementOffer &offer,
                     const std::variant<Dispatch, RequestError> &own) {
  return std::visit(BetterVisitor{offer.PredictedFirstToken}, own);
}

bool MessageBucket::tryTake(absl::Time now) {
  if (now > RefilledAt) {
    Tokens = RefilledAt == absl::InfinitePast()
                 ? Burst
                 : std::min(Burst, Tokens + PerSecond * absl::ToDoubleSeconds(
                                                            now - RefilledAt));
    RefilledAt = now;
  }
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void RemotePlacement::setCells(std::vector<std::vector<CellNode>> cells) {
  // Cells keep their place in the plan unless it changes; Partners that aren't
  // in their cell any more are drawn again when they are needed.
  Cells = std::move(cells);
  Partners.resize(Cells.size());
}

absl::Time RemotePlacement::waitUntil(const CallDemand &demand,
                                      absl::Time now) {
  return std::min({now + MaxWait, demand.Deadline,
                   demand.ArrivedAt + demand.Route->Objective});
}

std::optional<uint64_t> RemotePlacement::begin(absl::Time until,
                                               absl::Time now) {
  if (Cells.empty() || until <= now)
    return std::nullopt;
  Question question;
  question.Until = until;
  question.Cells.resize(Cells.size());
  std::iota(question.Cells.begin(), question.Cells.end(), size_t{0});
  std::shuffle(question.Cells.begin(), question.Cells.end(), Random);
  if (!askAnotherCell(question, now))
    return std::nullopt;
  const uint64_t id = ++NextId;
  Questions.emplace(id, std::move(question));
  return id;
}

bool RemotePlacement::askAnotherCell(Question &question, absl::Time now) {
  while (question.Asked.size() < question.Cells.size()) {
    const auto cell = question.Cells.begin() +
                      static_cast<std::ptrdiff_t>(question.Asked.size());
    const CellNode *node = pickNode(*cell, now);
    if (node == nullptr) {
      question.Cells.erase(cell);
      continue;
    }
    if (!Bucket.tryTake(now))
      break;
    question.Asked.push_back({*node, now, false, {}});
    return true;
  }
  question.Cells.resize(question.Asked.size());
  return false;
}

bool RemotePlacement::needsAnotherCell(const Question &it, absl::Time now) {
  if (it.Asked.size() >= std::min(it.Cells.size(), MaxCells))
    return false;
  if (it.Asked.size() < FirstCells)
    return true;
  return std::all_of(
      it.Asked.begin(), it.Asked.end(), [now](const AskedCell &asked) {
        return !asked.Offer.has_value() &&
               (asked.HasAnswered || now >= asked.AskedAt + AnswerPatience);
      });
}

std::vector<CellNode> RemotePlacement::takeNodes(uint64_t id, absl::Time now) {
  std::vector<CellNode> result;
  const auto found = Questions.find(id);
  if (found == Questions.end())
    return result;
  Question &question = found->second;
  while (now < question.Until && needsAnotherCell(question, now))
    askAnotherCell(question, now);
  for (; question.Taken < question.Asked.size(); ++question.Taken)
    result.push_back(question.Asked[question.Taken].Node);
  return result;
}

bool RemotePlacement::isSilent(const std::string &node, absl::Time now) const {
  const auto found = SilentUntil.find(node);
  return found != SilentUntil.end() && now < found->second;
}

const CellNode *RemotePlacement::pickNode(size_t cell, absl::Time now) {
  // The plan may have changed since the question began.
  if (cell >= Cells.size())
    return nullptr;
  const std::vector<CellNode> &nodes = Cells[cell];
  std::vector<std::string> &partners = Partners[cell];
  const auto find = [&](const std::string &name) {
    return std::find_if(nodes.begin(), nodes.end(),
                        [&](const CellNode &it) { return it.Name == name; });
  };
  std::erase_if(partners, [&](const std::string &it) {
    return find(it) == nodes.end() || isSilent(it, now);
  });
  std::vector<const CellNode *> others;
  for (const CellNode &it : nodes)
    if (!isSilent(it.Name, now) &&
        std::find(partners.begin(), partners.end(), it.Name) == partners.end())
      others.push_back(&it);
  std::shuffle(others.begin(), others.end(), Random);
  while (partners.size() < PartnersPerCell && !others.empty()) {
    partners.push_back(others.back()->Name);
    others.pop_back();
  }
  if (partners.empty())
    return nullptr;
  const size_t n = absl::Uniform<size_t>(Random, 0, partners.size());
  return &*find(partners[n]);
}

bool RemotePlacement::isDecided(uint64_t id, absl::Time now) const {
  const auto found = Questions.find(id);
  if (found == Questions.end())
    return true;
  const Question &question = found->second;
  if (now >= question.Until || now >= question.FirstOfferAt + FurtherOfferWait)
    return true;
  return !needsAnotherCell(question, now) &&
         std::all_of(question.Asked.begin(), question.Asked.end(),
                     [](const AskedCell &it) { return it.HasAnswered; });
}

absl::Time RemotePlacement::nextCheck(uint64_t id, absl::Time now) const {
  const auto found = Questions.find(id);
  if (found == Questions.end())
    return now;
  const Question &question = found->second;
  absl::Time next =
      std::min(question.Until, question.FirstOfferAt + FurtherOfferWait);
  for (const AskedCell &it : question.Asked)
    if (!it.HasAnswered && it.AskedAt + AnswerPatience > now)
      next = std::min(next, it.AskedAt + AnswerPatience);
  return next;
}

bool RemotePlacement::replied(const std::string &node,
                              const PlacementReply &reply, bool isUsable,
                              absl::Time now) {
  SilentUntil.erase(node);
  const uint64_t offer = reply.Offer.has_value() ? reply.Offer->Id : 0;
  const auto found = Questions.find(reply.RequestId);
  if (found == Questions.end())
    return offer == 0 || InUse.contains(offer);
  Question &question = found->second;
  const auto asked =
      std::find_if(question.Asked.begin(), question.Asked.end(),
                   [&](const AskedCell &it) { return it.Node.Name == node; });
  if (asked == question.Asked.end())
    return offer == 0;
  if (asked->HasAnswered)
    // A repeated message, or a second offer.
    return offer == 0 ||
           (asked->Offer.has_value() && asked->Offer->Id == offer);
  asked->HasAnswered = true;
  if (offer == 0 || !isUsable)
    return offer == 0;
  asked->Offer = reply.Offer;
  question.FirstOfferAt = std::min(question.FirstOfferAt, now);
  return true;
}

AskResult RemotePlacement::finish(uint64_t id, absl::Time now) {
  AskResult result;
  const auto found = Questions.find(id);
  if (found == Questions.end())
    return result;
  const Question question = std::move(found->second);
  Questions.erase(found);
  result.Asked = question.Asked.size();
  for (const AskedCell &it : question.Asked) {
    result.Answered += it.HasAnswered ? 1 : 0;
    if (!it.HasAnswered && now >= it.AskedAt + AnswerPatience)
      SilentUntil[it.Node.Name] = now + SilentNodeTime;
    if (!it.Offer.has_value())
      continue;
    std::optional<PlacementOffer> unused = it.Offer;
    std::string address = it.Node.Address;
    if (!result.Best.has_value() ||
        it.Offer->PredictedFirstToken < result.Best->PredictedFirstToken) {
      std::swap(result.Best, unused);
      std::swap(result.Address, address);
    }
    if (unused.has_value())
      result.Unused.push_back({address, {unused->Id, OfferEvent::Ended}});
  }
  if (result.Best.has_value())
    InUse.emplace(result.Best->Id, result.Address);
  std::erase_if(SilentUntil,
                [now](const auto &it) { return now >= it.second; });
  return result;
}

PlacementReply PlacementOffers::describe(const Record &record) {
  PlacementOffer offer;
  offer.Id = record.Placed.LoadId;
  offer.Server = record.Placed.Server->Entry.Id;
  for (const auto &it : record.Placed.Helpers)
    offer.Helpers.push_back(it->Entry.Id);
  offer.Reserved = record.Placed.Reserved;
  offer.PredictedFirstToken = record.Placed.PredictedFirstToken;
  return {record.RequestId, std::move(offer)};
}

std::optional<PlacementReply>
PlacementOffers::reply(const std::string &node, const PlacementRequest &request,
                       absl::Time now) {
  if (!Bucket.tryTake(now))
    return std::nullopt;
  // A repeated message must not reserve twice.
  for (const auto &[id, record] : Offers)
    if (record.RequestId == request.Id && record.Node == node)
      return describe(record);
  PlacementReply refusal;
  refusal.RequestId = request.Id;
  if (Offers.size() >= MaxOffers)
    return refusal;
  std::optional<Dispatch> placed = Calls.chooseForOtherCell(request, now);
  if (!placed.has_value())
    return refusal;
  Calls.recordOffer(*placed, now);
  const uint64_t id = placed->LoadId;
  const auto [it, isNew] = Offers.emplace(
      id, Record{node, request.Id, std::move(*placed), OfferState::Open, now});
  return describe(it->second);
}

void PlacementOffers::apply(const std::string &node,
                            const OfferProgress &progress, absl::Time now) {
  const auto found = Offers.find(progress.OfferId);
  if (found == Offers.end() || found->second.Node != node)
    return;
  Record &record = found->second;
  if (progress.Event == OfferEvent::Ended) {
    if (record.State != OfferState::Expired)
      Calls.endOffer(record.Placed, now);
    Offers.erase(found);
    return;
  }
  if (record.State == OfferState::Expired)
    Calls.recordOffer(record.Placed, now);
  if (record.State != OfferState::Taken) {
    record.State = OfferState::Taken;
    record.Since = now;
  }
  if (progress.Event == OfferEvent::FirstToken)
    Calls.firstToken(record.Placed, now);
}

absl::Time PlacementOffers::expiryOf(const Record &record) {
  switch (record.State) {
  case OfferState::Open:
    return record.Since + OfferLifetime;
  case OfferState::Taken:
    return record.Since + TakenMemory;
  case OfferState::Expired:
    return record.Since + ExpiredMemory;
  }
  return record.Since;
}

size_t PlacementOffers::expire(absl::Time now) {
  size_t expired = 0;
  for (auto it = Offers.begin(); it != Offers.end();) {
    Record &record = it->second;
    if (now < expiryOf(record)) {
      ++it;
      continue;
    }
    if (record.State != OfferState::Open) {
      it = Offers.erase(it);
      continue;
    }
    Calls.endOffer(record.Placed, now);
    record.State = OfferState::Expired;
    record.Since = now;
    ++expired;
    ++it;
  }
  return expired;
}

absl::Time PlacementOffers::nextExpiry() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto &[id, record] : Offers)
    next = std::min(next, expiryOf(record));
  return next;
}

} // namespace orioletally::core::relay
