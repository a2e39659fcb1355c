#include "drivers/relay/node_news.h"

#include "proto/generated/relay.pb.h"

#include <algorithm>

namespace orioletally::drivers::relay {

namespace {

using core::fleet::BackendChange;
using core::relay::LoadUpdate;
using core::relay::LoadUpdateKind;

/// Larger spans in messages count as this one: an hour.
constexpr uint64_t MaxSpanMs = 3'600'000;
/// Larger figures of prompts count as this one: above any engine's memory.
constexpr int64_t MaxTokens = int64_t{1} << 32;

int64_t bounded(int64_t n, int64_t most) {
  return std::clamp<int64_t>(n, 0, most);
}

void encode(const LoadUpdate &news, proto::PromptNews &message) {
  message.set_kind(static_cast<uint32_t>(news.Kind));
  message.set_engine_hash(news.EngineHash);
  message.set_load_id(news.LoadId);
  if (news.Kind != LoadUpdateKind::Sent)
    return;
  message.set_read_tokens(news.PrefillTokens);
  message.set_prompt_tokens(news.PromptTokens);
  message.set_answer_tokens(news.AnswerTokens);
  message.set_gap_ms(news.GapObjectiveMs);
  message.set_held_tokens(news.HeldTokens);
}

LoadUpdate decode(const proto::PromptNews &message) {
  LoadUpdate news;
  news.Kind = static_cast<LoadUpdateKind>(std::min<uint32_t>(
      message.kind(), static_cast<uint32_t>(LoadUpdateKind::Ended)));
  news.EngineHash = message.engine_hash();
  news.LoadId = message.load_id();
  news.PrefillTokens = bounded(message.read_tokens(), MaxTokens);
  news.PromptTokens = bounded(message.prompt_tokens(), MaxTokens);
  news.AnswerTokens = bounded(message.answer_tokens(), MaxTokens);
  news.GapObjectiveMs = bounded(message.gap_ms(), MaxSpanMs);
  news.HeldTokens = bounded(message.held_tokens(), MaxTokens);
  return news;
}

void encode(const BackendChange &change, proto::BackendNews &message) {
  message.set_id(change.Entry.Id);
  message.set_row_version(change.Entry.RowVersion);
  message.set_removed(change.Removed);
  if (change.Removed) {
    message.set_gone_in_ms(static_cast<uint64_t>(
        bounded(absl::ToInt64Milliseconds(change.ExpiresIn), MaxSpanMs)));
    return;
  }
  message.set_service(change.Entry.Service);
  message.set_address(change.Entry.Address);
  message.set_zone(change.Entry.Zone);
  message.set_slots(change.Entry.Slots);
  message.set_leaving(change.Entry.Leaving);
  message.set_born_ms(change.Entry.StartedAtMs);
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
  return change;
}

/// Milliseconds since \p at, plus one; 0 for never.
uint64_t encodeAge(absl::Time at, absl::Time now) {
  if (at == absl::InfinitePast())
    return 0;
  return static_cast<uint64_t>(
             bounded(absl::ToInt64Milliseconds(now - at), MaxSpanMs)) +
         1;
}

absl::Time decodeAge(uint64_t age, absl::Time now) {
  return age == 0 ? absl::InfinitePast()
                  : now - absl::Milliseconds(std::min(age - 1, MaxSpanMs));
}

} // namespace

std::string encodeNews(const NodeNews &news, absl::Time now) {
  proto::NodeNews message;
  message.set_node(news.Node);
  message.set_peer_address(news.PeerAddress);
  message.set_incarnation(news.Incarnation);
  message.set_config_version(news.ConfigVersion);
  message.set_config_followed_ago(encodeAge(news.ConfigFollowedAt, now));
  message.set_backends_followed_ago(encodeAge(news.BackendsFollowedAt, now));
  message.set_backends_version(news.BackendsVersion);
  message.set_backends_since(news.BackendsSince);
  for (const LoadUpdate &it : news.Prompts)
    encode(it, *message.add_prompts());
  for (const BackendChange &it : news.Backends)
    encode(it, *message.add_backends());
  for (const std::string &it : news.Leaving)
    message.add_leaving(it);
  message.set_wants_config(news.WantsConfig);
  message.set_config(news.Config);
  return message.SerializeAsString();
}

std::optional<NodeNews> decodeNews(std::string_view bytes, absl::Time now) {
  proto::NodeNews message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      message.node().empty())
    return std::nullopt;
  NodeNews news;
  news.Node = message.node();
  news.PeerAddress = message.peer_address();
  news.Incarnation = message.incarnation();
  news.ConfigVersion = message.config_version();
  news.ConfigFollowedAt = decodeAge(message.config_followed_ago(), now);
  news.BackendsFollowedAt = decodeAge(message.backends_followed_ago(), now);
  news.BackendsVersion = message.backends_version();
  news.BackendsSince = message.backends_since();
  for (const proto::PromptNews &it : message.prompts())
    news.Prompts.push_back(decode(it));
  for (const proto::BackendNews &it : message.backends())
    news.Backends.push_back(decode(it));
  news.Leaving.assign(message.leaving().begin(), message.leaving().end());
  news.WantsConfig = message.wants_config();
  news.Config = message.config();
  return news;
}

} // namespace orioletally::drivers::relay
