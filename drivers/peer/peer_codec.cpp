#include "drivers/peer/peer_codec.h"

#include "proto/generated/peer.pb.h"

#include <algorithm>

namespace orioletally::drivers::peer {

namespace {

using namespace core::membership;

void write(const Member &member, proto::Member &out) {
  out.set_name(member.Name);
  out.set_zone(member.Zone);
  out.set_region(member.Region);
  out.set_peer_address(member.PeerAddress);
  out.set_http_address(member.HttpAddress);
  out.set_incarnation(member.Incarnation);
  out.set_beat(member.StateVersion);
  out.set_profile_revision(member.ProfileRevision);
  out.set_profile_hash(member.ProfileHash);
  out.set_fields_hash(member.FieldsHash);
  out.set_draining(member.Draining);
}

Member read(const proto::Member &in) {
  Member member;
  member.Name = in.name();
  member.Zone = in.zone();
  member.Region = in.region();
  member.PeerAddress = in.peer_address();
  member.HttpAddress = in.http_address();
  member.Incarnation = in.incarnation();
  member.StateVersion = in.beat();
  member.ProfileRevision = in.profile_revision();
  member.ProfileHash = in.profile_hash();
  member.FieldsHash = in.fields_hash();
  member.Draining = in.draining();
  return member;
}

void write(const Ping &body, proto::Envelope &out) {
  out.mutable_ping()->set_sequence(body.Sequence);
  out.mutable_ping()->set_want_all(body.WantAll);
}

void write(const Ack &body, proto::Envelope &out) {
  out.mutable_ack()->set_sequence(body.Sequence);
  out.mutable_ack()->set_member(body.Member);
}

void write(const IndirectPing &body, proto::Envelope &out) {
  proto::IndirectPing &to = *out.mutable_indirect_ping();
  to.set_sequence(body.Sequence);
  to.set_target_name(body.TargetName);
  to.set_target_address(body.TargetAddress);
}

void write(const ProfileRequest &body, proto::Envelope &out) {
  out.mutable_profile_request()->set_after(body.After);
}

void write(const ProfileRecords &body, proto::Envelope &out) {
  proto::ProfileRecords &to = *out.mutable_profile_records();
  to.set_after(body.After);
  to.set_complete_to(body.CompleteTo);
  to.set_confirm_to(body.ConfirmTo);
  for (const std::string &it : body.Profiles)
    to.add_profiles(it);
}

void write(const ProfileConfirm &body, proto::Envelope &out) {
  out.mutable_profile_confirm()->set_revision(body.Revision);
}

void write(const LeavingBackends &body, proto::Envelope &out) {
  // Also set when there are no ids, so that the envelope has a body.
  proto::LeavingBackends &to = *out.mutable_leaving_backends();
  for (const std::string &it : body.Ids)
    to.add_ids(it);
}

void write(const EngineLoads &body, proto::Envelope &out) {
  proto::EngineLoads &to = *out.mutable_engine_loads();
  for (const EngineLoad &it : body.Loads) {
    proto::EngineLoad &load = *to.add_loads();
    load.set_id(it.Id);
    for (const int64_t tokens : it.Load.QueuedPrefill)
      load.add_queued_prefill(tokens);
    load.set_streams(it.Load.Streams);
    load.set_free_tokens(it.Load.FreeTokens);
  }
}

EngineLoads read(const proto::EngineLoads &in) {
  EngineLoads body;
  for (const proto::EngineLoad &it : in.loads()) {
    EngineLoad load;
    load.Id = it.id();
    load.Load.Streams = it.streams();
    load.Load.FreeTokens = it.free_tokens();
    const auto n = std::min(load.Load.QueuedPrefill.size(),
                            static_cast<size_t>(it.queued_prefill_size()));
    std::copy_n(it.queued_prefill().begin(), n,
                load.Load.QueuedPrefill.begin());
    body.Loads.push_back(std::move(load));
  }
  return body;
}

void write(const Dispatch &body, proto::Envelope &out) {
  proto::Dispatch &to = *out.mutable_dispatch();
  to.set_id(body.Id);
  to.set_prefill_tokens(body.PrefillTokens);
  to.set_priority(body.Priority);
}

ProfileRecords read(const proto::ProfileRecords &in) {
  ProfileRecords body;
  body.After = in.after();
  body.CompleteTo = in.complete_to();
  body.ConfirmTo = in.confirm_to();
  body.Profiles.assign(in.profiles().begin(), in.profiles().end());
  return body;
}

std::optional<PeerBody> readBody(const proto::Envelope &in) {
  switch (in.body_case()) {
  case proto::Envelope::kPing:
    return Ping{in.ping().sequence(), in.ping().want_all()};
  case proto::Envelope::kAck:
    return Ack{in.ack().sequence(), in.ack().member()};
  case proto::Envelope::kIndirectPing:
    return IndirectPing{in.indirect_ping().sequence(),
                        in.indirect_ping().target_name(),
                        in.indirect_ping().target_address()};
  case proto::Envelope::kProfileRequest:
    return ProfileRequest{in.profile_request().after()};
  case proto::Envelope::kProfileRecords:
    return read(in.profile_records());
  case proto::Envelope::kProfileConfirm:
    return ProfileConfirm{in.profile_confirm().revision()};
  case proto::Envelope::kLeavingBackends:
    return LeavingBackends{{in.leaving_backends().ids().begin(),
                            in.leaving_backends().ids().end()}};
  case proto::Envelope::kEngineLoads:
    return read(in.engine_loads());
  case proto::Envelope::kDispatch:
    return Dispatch{in.dispatch().id(), in.dispatch().prefill_tokens(),
                    in.dispatch().priority()};
  case proto::Envelope::BODY_NOT_SET:
    break;
  }
  return std::nullopt;
}

} // namespace

std::string encode(const PeerMessage &message) {
  proto::Envelope envelope;
  write(message.From, *envelope.mutable_from());
  for (const MemberView &it : message.Updates) {
    proto::MemberView &view = *envelope.add_news();
    write(it.Info, *view.mutable_self());
    view.set_status(static_cast<uint32_t>(it.Status));
  }
  std::visit([&](const auto &it) { write(it, envelope); }, message.Body);
  return envelope.SerializeAsString();
}

std::optional<PeerMessage> decode(std::string_view bytes) {
  proto::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  if (envelope.from().name().empty())
    return std::nullopt;
  PeerMessage message;
  message.From = read(envelope.from());
  for (const proto::MemberView &it : envelope.news()) {
    if (it.status() > static_cast<uint32_t>(MemberStatus::Left))
      return std::nullopt;
    message.Updates.push_back(
        {read(it.self()), static_cast<MemberStatus>(it.status())});
  }
  auto body = readBody(envelope);
  if (!body.has_value())
    return std::nullopt;
  message.Body = *std::move(body);
  return message;
}

} // namespace orioletally::drivers::peer
