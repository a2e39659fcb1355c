#include "drivers/relay/node_update.h"

#include "proto/generated/relay.pb.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace orioletally::drivers::relay {

namespace {

using core::fleet::BackendChange;
using core::fleet::BackendLimit;
using core::relay::AdmissionUpdate;
using core::relay::CrashReport;
using core::relay::LoadUpdate;
using core::relay::LoadUpdateKind;
using core::relay::QuarantinedPart;

/// Longer times in messages are clamped to this, an hour.
constexpr uint64_t MaxSpanMs = 3'600'000;
constexpr uint64_t MaxSentAtMs = uint64_t{1} << 62;
/// Larger token counts are clamped to this, which exceeds any engine's memory.
constexpr int64_t MaxTokens = int64_t{1} << 32;
/// Least urgent rank of a call.
constexpr int64_t MaxRank = 1000;
constexpr int64_t MaxSpanUs = 3'600'000'000;
constexpr uint64_t UsPerMs = 1000;

int64_t clampTo(int64_t n, int64_t max) {
  return std::clamp<int64_t>(n, 0, max);
}

void encode(const AdmissionUpdate &update, proto::PromptNews &message) {
  message.set_rank(static_cast<uint32_t>(update.Call.Rank + 1));
  message.set_late(update.IsLate);
  message.set_call_hash(update.Call.Key);
  message.set_retry_after_ms(static_cast<uint32_t>(
      clampTo(absl::ToInt64Milliseconds(update.RetryAfter), MaxSpanMs)));
  // Late first events and early returns aren't calls of their own.
  if (update.Call.Route == 0)
    return;
  message.set_work_us(static_cast<uint64_t>(
      std::max<int64_t>(0, absl::ToInt64Microseconds(update.Call.Work))));
  message.set_workspace_hash(update.Call.Workspace);
  message.set_route_hash(update.Call.Route);
  message.mutable_part_hashes()->Add(update.Call.Parts.begin(),
                                     update.Call.Parts.end());
  message.set_objective_ms(static_cast<uint32_t>(
      clampTo(absl::ToInt64Milliseconds(update.Call.Objective), MaxSpanMs)));
}

AdmissionUpdate decodeAdmission(const proto::PromptNews &message) {
  AdmissionUpdate update;
  update.Call.Rank =
      clampTo(int64_t{message.rank()} - 1, core::relay::MaxAdmissionRanks - 1);
  update.IsLate = message.late();
  update.Call.Work = absl::Microseconds(
      std::min<uint64_t>(message.work_us(), MaxSpanMs * UsPerMs));
  update.Call.Workspace = message.workspace_hash();
  update.Call.Route = message.route_hash();
  const auto &parts = message.part_hashes();
  update.Call.Parts.assign(
      parts.begin(),
      parts.begin() +
          std::min<int>(parts.size(), core::relay::MaxAdmissionParts));
  update.Call.Key = message.call_hash();
  update.Call.PromptTokens = clampTo(message.prompt_tokens(), MaxTokens);
  update.RetryAfter = absl::Milliseconds(
      std::min<uint64_t>(message.retry_after_ms(), MaxSpanMs));
  update.Call.Objective =
      absl::Milliseconds(std::min<uint64_t>(message.objective_ms(), MaxSpanMs));
  return update;
}

void encode(const LoadUpdate &update, proto::PromptNews &message) {
  message.set_kind(static_cast<uint32_t>(update.Kind));
  message.set_engine_hash(update.EngineHash);
  message.set_load_id(update.LoadId);
  if (update.Admission.has_value())
    encode(*update.Admission, message);
  if (update.Kind != LoadUpdateKind::Sent &&
      update.Kind != LoadUpdateKind::Refused)
    return;
  message.set_read_tokens(update.PrefillTokens);
  message.set_prompt_tokens(update.PromptTokens);
  message.set_answer_tokens(update.AnswerTokens);
  message.set_gap_ms(update.GapObjectiveMs);
  message.set_held_tokens(update.HeldTokens);
  message.set_first_token_due_ms(update.ObjectiveMs);
}

LoadUpdate decode(const proto::PromptNews &message) {
  LoadUpdate update;
  update.Kind = static_cast<LoadUpdateKind>(std::min<uint32_t>(
      message.kind(), static_cast<uint32_t>(LoadUpdateKind::Refused)));
  update.EngineHash = message.engine_hash();
  update.LoadId = message.load_id();
  update.PrefillTokens = clampTo(message.read_tokens(), MaxTokens);
  update.PromptTokens = clampTo(message.prompt_tokens(), MaxTokens);
  update.AnswerTokens = clampTo(message.answer_tokens(), MaxTokens);
  update.GapObjectiveMs = clampTo(message.gap_ms(), MaxSpanMs);
  update.HeldTokens = clampTo(message.held_tokens(), MaxTokens);
  update.ObjectiveMs = clampTo(message.first_token_due_ms(), MaxSpanMs);
  if (message.rank() > 0)
    update.Admission = decodeAdmission(message);
  return update;
}

void encode(const BackendChange &change, proto::BackendNews &message) {
  message.set_id(change.Entry.Id);
  message.set_row_version(change.Entry.RowVersion);
  message.set_removed(change.Removed);
  if (change.Removed) {
    message.set_gone_in_ms(static_cast<uint64_t>(
        clampTo(absl::ToInt64Milliseconds(change.ExpiresIn), MaxSpanMs)));
    return;
  }
  message.set_service(change.Entry.Service);
  message.set_address(change.Entry.Address);
  message.set_zone(change.Entry.Zone);
  message.set_slots(change.Entry.Slots);
  message.set_leaving(change.Entry.Leaving);
  message.set_born_ms(change.Entry.StartedAtMs);
  if (change.Entry.ColdRemaining.has_value())
    message.set_cold_ms(static_cast<uint64_t>(clampTo(
        absl::ToInt64Milliseconds(*change.Entry.ColdRemaining), MaxSpanMs)));
}

BackendChange decode(const proto::BackendNews &message) {
  BackendChange change;
  change.Entry.Id = message.id();
  change.Entry.RowVersion = message.row_version();
  change.Removed = message.removed();
  change.ExpiresIn =
      absl::Milliseconds(std::min(message.gone_in_ms(), MaxSpanMs));
  change.Entry.Service = message.service();
  change.Entry.Address = message.address();
  change.Entry.Zone = message.zone();
  change.Entry.Slots = message.slots();
  change.Entry.Leaving = message.leaving();
  change.Entry.StartedAtMs = message.born_ms();
  if (message.has_cold_ms())
    change.Entry.ColdRemaining =
        absl::Milliseconds(std::min(message.cold_ms(), MaxSpanMs));
  return change;
}

void encode(const CrashReport &report, proto::CrashNews &message) {
  message.set_backend(report.Backend);
  message.set_prompt(report.Prompt);
  for (const std::string &it : report.Parts)
    message.add_parts(it);
}

CrashReport decode(const proto::CrashNews &message) {
  return {message.backend(),
          message.prompt(),
          {message.parts().begin(), message.parts().end()}};
}

void encode(const QuarantinedPart &part, proto::QuarantineNews &message) {
  message.set_part(part.Part);
  message.set_left_ms(static_cast<uint64_t>(
      clampTo(absl::ToInt64Milliseconds(part.TimeLeft), MaxSpanMs)));
}

QuarantinedPart decode(const proto::QuarantineNews &message) {
  return {message.part(),
          absl::Milliseconds(std::min(message.left_ms(), MaxSpanMs))};
}

/// Returns the milliseconds since \p at, plus one; 0 for never.
uint64_t encodeAge(absl::Time at, absl::Time now) {
  if (at == absl::InfinitePast())
    return 0;
  return static_cast<uint64_t>(
             clampTo(absl::ToInt64Milliseconds(now - at), MaxSpanMs)) +
         1;
}

absl::Time decodeAge(uint64_t age, absl::Time now) {
  return age == 0 ? absl::InfinitePast()
                  : now - absl::Milliseconds(std::min(age - 1, MaxSpanMs));
}

void encode(const BackendLimit &limit, absl::Time now,
            proto::LimitNews &message) {
  message.set_backend(limit.Backend);
  message.set_born_ms(limit.StartedAtMs);
  message.set_lifted(!limit.Statement.PerSecond.has_value());
  message.set_per_second(limit.Statement.PerSecond.value_or(0));
  message.set_stated_ago(encodeAge(limit.Statement.StatedAt, now));
}

BackendLimit decode(const proto::LimitNews &message, absl::Time now) {
  BackendLimit limit;
  limit.Backend = message.backend();
  limit.StartedAtMs = message.born_ms();
  if (!message.lifted())
    limit.Statement.PerSecond = message.per_second();
  limit.Statement.StatedAt = decodeAge(message.stated_ago(), now);
  return limit;
}

using core::relay::OfferEvent;
using core::relay::OfferProgress;
using core::relay::PlacementMessages;
using core::relay::PlacementOffer;
using core::relay::PlacementReply;
using core::relay::PlacementRequest;

int64_t encodeSpan(absl::Duration span) {
  return clampTo(absl::ToInt64Milliseconds(span), MaxSpanMs);
}

absl::Duration decodeSpan(int64_t ms) {
  return absl::Milliseconds(clampTo(ms, MaxSpanMs));
}

void encode(const PlacementRequest &request,
            proto::PlacementRequestNews &message) {
  message.set_id(request.Id);
  message.set_service(request.Service);
  message.set_prompt_tokens(request.PromptTokens);
  message.set_answer_tokens(request.AnswerTokens);
  message.set_objective_ms(encodeSpan(request.Objective));
  message.set_max_first_token_ms(encodeSpan(request.MaxPredictedFirstToken));
  if (request.GapObjective != absl::InfiniteDuration())
    message.set_gap_ms(encodeSpan(request.GapObjective));
  for (const std::string &it : request.Tried)
    message.add_tried(it);
  message.set_rank(request.Rank);
}

PlacementRequest decode(const proto::PlacementRequestNews &message) {
  PlacementRequest request;
  request.Id = message.id();
  request.Service = message.service();
  request.PromptTokens = clampTo(message.prompt_tokens(), MaxTokens);
  request.AnswerTokens = clampTo(message.answer_tokens(), MaxTokens);
  request.Objective = decodeSpan(message.objective_ms());
  request.MaxPredictedFirstToken = decodeSpan(message.max_first_token_ms());
  if (message.gap_ms() > 0)
    request.GapObjective = decodeSpan(message.gap_ms());
  request.Tried.assign(message.tried().begin(), message.tried().end());
  request.Rank = clampTo(message.rank(), MaxRank);
  return request;
}

void encode(const PlacementReply &reply, proto::PlacementOfferNews &message) {
  message.set_request_id(reply.RequestId);
  if (!reply.Offer.has_value())
    return;
  message.set_offer_id(reply.Offer->Id);
  message.set_backend(reply.Offer->Server);
  for (const std::string &it : reply.Offer->Helpers)
    message.add_helpers(it);
  for (const int64_t it : reply.Offer->Reserved)
    message.add_reserved_tokens(it);
  message.set_first_token_us(
      absl::ToInt64Microseconds(reply.Offer->PredictedFirstToken));
}

PlacementReply decode(const proto::PlacementOfferNews &message) {
  PlacementReply reply;
  reply.RequestId = message.request_id();
  if (message.offer_id() == 0)
    return reply;
  PlacementOffer offer;
  offer.Id = message.offer_id();
  offer.Server = message.backend();
  offer.Helpers.assign(message.helpers().begin(), message.helpers().end());
  for (const int64_t it : message.reserved_tokens())
    offer.Reserved.push_back(clampTo(it, MaxTokens));
  offer.PredictedFirstToken =
      absl::Microseconds(clampTo(message.first_token_us(), MaxSpanUs));
  reply.Offer = std::move(offer);
  return reply;
}

void encode(const PlacementMessages &messages, proto::NodeNews &message) {
  for (const PlacementRequest &it : messages.Requests)
    encode(it, *message.add_placement_requests());
  for (const PlacementReply &it : messages.Replies)
    encode(it, *message.add_placement_offers());
  for (const OfferProgress &it : messages.Progress) {
    proto::PlacementProgressNews &progress = *message.add_placement_progress();
    progress.set_offer_id(it.OfferId);
    progress.set_event(static_cast<uint32_t>(it.Event));
  }
}

PlacementMessages decodePlacement(const proto::NodeNews &message) {
  PlacementMessages messages;
  for (const proto::PlacementRequestNews &it : message.placement_requests())
    messages.Requests.push_back(decode(it));
  for (const proto::PlacementOfferNews &it : message.placement_offers())
    messages.Replies.push_back(decode(it));
  for (const proto::PlacementProgressNews &it : message.placement_progress())
    messages.Progress.push_back(
        {it.offer_id(),
         static_cast<OfferEvent>(std::min<uint32_t>(
             it.event(), static_cast<uint32_t>(OfferEvent::Ended)))});
  return messages;
}

void encode(const core::fleet::EvacuationChange &change,
            proto::EvacuationNews &message) {
  message.set_zone(change.Zone);
  message.set_row_version(change.RowVersion);
  message.set_removed(change.Removed);
}

core::fleet::EvacuationChange decode(const proto::EvacuationNews &message) {
  return {message.zone(), message.row_version(), message.removed()};
}

bool isValid(const proto::LimitNews &message) {
  return std::isfinite(message.per_second()) && message.per_second() >= 0;
}

} // namespace

std::string encodeNodeUpdate(NodeUpdate update, absl::Time now) {
  proto::NodeNews message;
  message.set_node(update.Node);
  message.set_peer_address(update.PeerAddress);
  message.set_incarnation(update.Incarnation);
  message.set_sent_at_ms(static_cast<uint64_t>(absl::ToUnixMillis(now)));
  message.set_config_version(update.ConfigVersion);
  message.set_config_followed_ago(encodeAge(update.ConfigAnsweredAt, now));
  message.set_backends_followed_ago(encodeAge(update.BackendsAnsweredAt, now));
  message.set_config_store_version(update.ConfigStoreVersion);
  message.set_backends_store_version(update.BackendsStoreVersion);
  message.set_backends_version(update.BackendsVersion);
  message.set_backends_since(update.BackendsSince);
  for (const LoadUpdate &it : update.LoadUpdates)
    encode(it, *message.add_prompts());
  for (const BackendChange &it : update.Backends)
    encode(it, *message.add_backends());
  for (const std::string &it : update.Leaving)
    message.add_leaving(it);
  message.set_wants_config(update.WantsConfig);
  message.set_config(std::move(update.Config));
  for (const CrashReport &it : update.Crashes)
    encode(it, *message.add_crashes());
  for (const std::string &it : update.SoundParts)
    message.add_sound_parts(it);
  for (const QuarantinedPart &it : update.Quarantined)
    encode(it, *message.add_quarantined());
  message.set_fleet_wide(update.IsFleetWide);
  for (const BackendLimit &it : update.Limits)
    encode(it, now, *message.add_limits());
  encode(update.Placement, message);
  for (const core::fleet::EvacuationChange &it : update.Evacuations)
    encode(it, *message.add_evacuations());
  message.set_evacuations_version(update.EvacuationsVersion);
  return message.SerializeAsString();
}

std::optional<NodeUpdate> decodeNodeUpdate(std::string_view bytes,
                                           absl::Time now) {
  proto::NodeNews message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      message.node().empty())
    return std::nullopt;
  NodeUpdate update;
  update.Node = message.node();
  update.PeerAddress = message.peer_address();
  update.Incarnation = message.incarnation();
  if (message.sent_at_ms() > 0)
    update.SentAt = absl::FromUnixMillis(static_cast<int64_t>(
        std::min<uint64_t>(message.sent_at_ms(), MaxSentAtMs)));
  update.ConfigVersion = message.config_version();
  update.ConfigAnsweredAt = decodeAge(message.config_followed_ago(), now);
  update.BackendsAnsweredAt = decodeAge(message.backends_followed_ago(), now);
  update.ConfigStoreVersion = message.config_store_version();
  update.BackendsStoreVersion = message.backends_store_version();
  update.BackendsVersion = message.backends_version();
  update.BackendsSince = message.backends_since();
  for (const proto::PromptNews &it : message.prompts())
    update.LoadUpdates.push_back(decode(it));
  for (const proto::BackendNews &it : message.backends())
    update.Backends.push_back(decode(it));
  update.Leaving.assign(message.leaving().begin(), message.leaving().end());
  update.WantsConfig = message.wants_config();
  update.Config = std::move(*message.mutable_config());
  for (const proto::CrashNews &it : message.crashes())
    update.Crashes.push_back(decode(it));
  update.SoundParts.assign(message.sound_parts().begin(),
                           message.sound_parts().end());
  for (const proto::QuarantineNews &it : message.quarantined())
    update.Quarantined.push_back(decode(it));
  update.IsFleetWide = message.fleet_wide();
  for (const proto::LimitNews &it : message.limits())
    if (isValid(it))
      update.Limits.push_back(decode(it, now));
  update.Placement = decodePlacement(message);
  for (const proto::EvacuationNews &it : message.evacuations())
    update.Evacuations.push_back(decode(it));
  update.EvacuationsVersion = message.evacuations_version();
  return update;
}

} // namespace orioletally::drivers::relay
