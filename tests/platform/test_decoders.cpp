#include "core/relay/event_stream.h"
#include "drivers/relay/node_update.h"
#include "platform/backend_entry_codec.h"
#include "platform/config_codec.h"
#include "platform/header_codec.h"
#include "platform/json_reader.h"
#include "platform/row_codec.h"
#include "tests/support/request_fixture.h"
#include "tests/support/wire_samples.h"

#include <array>
#include <random>

// Last: it defines a macro called new.
#include <CppUTest/TestHarness.h>

using namespace orioletally;
using orioletally::tests::at;
using orioletally::tests::SampleConfig;
namespace leaf = boost::leaf;

namespace {

constexpr int Mutations = 20'000;
constexpr uint64_t Seed = 15;

/// Texts that are likely to break a decoder.
constexpr std::array<std::string_view, 14> EdgeCaseTexts = {
    "",
    "null",
    "-1",
    "18446744073709551616",
    "1e999",
    "{}",
    "[]",
    "\"",
    "\\",
    "\xff\xfe",
    "\x00",
    "true",
    "9223372036854775807",
    "[[[[[["};

/// Returns \p text after one to four random changes: a byte replaced, bytes
/// removed, duplicated or inserted, or the text truncated.
std::string mutated(std::string text, std::mt19937_64 &random) {
  const auto below = [&](size_t n) { return n == 0 ? 0 : random() % n; };
  for (size_t n = 1 + below(4); n > 0; --n) {
    const size_t from = below(text.size());
    const size_t length = below(std::min<size_t>(32, text.size() - from));
    switch (below(5)) {
    case 0:
      if (!text.empty())
        text[from] = static_cast<char>(random());
      break;
    case 1:
      text.erase(from, length);
      break;
    case 2:
      text.insert(from, text.substr(from, length));
      break;
    case 3:
      text.insert(from, EdgeCaseTexts[below(EdgeCaseTexts.size())]);
      break;
    default:
      text.resize(from);
      break;
    }
  }
  return text;
}

/// Decodes mutations of \p text and returns how many succeed. The others must
/// fail with a CodecError; another error fails the test.
template <typename Decode>
int countDecoded(const std::string &text, Decode decode) {
  std::mt19937_64 random(Seed);
  int count = 0;
  for (int n = 0; n < Mutations; ++n) {
    const std::string bytes = mutated(text, random);
    count += leaf::try_handle_all(
        [&]() -> leaf::result<int> {
          BOOST_LEAF_CHECK(decode(bytes));
          return 1;
        },
        [](const platform::CodecError &) { return 0; },
        [] {
          FAIL("decoding failed with an error other than CodecError");
          return 0;
        });
  }
  return count;
}

constexpr const char *BackendSample =
    R"({"service":"x","address":"10.0.0.1:80","zone":"z","slots":16,)"
    R"("state":"ready","born":1764800000000,"cold_remaining_ms":0})";

constexpr const char *RowsSample =
    R"({"rows":[{"table":"t","part":"","key":"k","value":"e30=",)"
    R"("schema_version":3},{"table":"t","part":"","key":"l",)"
    R"("schema_version":4,"removed":true}],"schema_version":5,)"
    R"("has_more":false,"now_ms":1})";

core::relay::PlacementMessages samplePlacement() {
  core::relay::PlacementMessages result;
  result.Requests.resize(2);
  core::relay::PlacementRequest &request = result.Requests[0];
  request.Id = 11;
  request.Service = "engines";
  request.PromptTokens = 300'000;
  request.AnswerTokens = 1'541;
  request.Objective = absl::Seconds(4);
  request.MaxPredictedFirstToken = absl::Milliseconds(4'800);
  request.GapObjective = absl::Milliseconds(800);
  request.Tried = {"e-1"};
  request.Rank = 2;
  core::relay::PlacementOffer offer;
  offer.Id = 77;
  offer.Server = "e-2";
  offer.Helpers = {"e-3", "e-4"};
  offer.Reserved = {0, 90'000};
  offer.PredictedFirstToken = absl::Microseconds(1'234'567);
  result.Replies = {{12, std::nullopt}, {13, offer}};
  result.Progress = {{78, core::relay::OfferEvent::FirstToken}};
  return result;
}

} // namespace

TEST_GROUP(Decoders){};

TEST(Decoders, MutatedConfigurationDecodesOrFailsWithCodecError) {
  const int count = countDecoded(SampleConfig, [](const std::string &it) {
    return platform::decodeConfig(it);
  });
  CHECK(count > 0 && count < Mutations);
}

TEST(Decoders, DecodedConfigurationsAreValidJson) {
  countDecoded(SampleConfig, [](const std::string &it) {
    auto decoded = platform::decodeConfig(it);
    if (decoded)
      CHECK(nlohmann::json::accept(it));
    return decoded;
  });
}

TEST(Decoders, MutatedBackendEntryDecodesOrFailsWithCodecError) {
  const int count = countDecoded(BackendSample, [](const std::string &it) {
    return platform::decodeBackendEntry("i-1", it, 3);
  });
  CHECK(count > 0 && count < Mutations);
}

TEST(Decoders, MutatedRowsDecodeOrFailWithCodecError) {
  const int count = countDecoded(RowsSample, [](const std::string &it) {
    return platform::decodeRows(it);
  });
  CHECK(count > 0 && count < Mutations);
}

TEST(Decoders, MutatedHeadersDecodeToValidValues) {
  const std::array<const char *, 10> names = {
      "X-Orioletally-Attempt-Id",
      "X-Orioletally-Deadline-Ms",
      "X-Orioletally-Token-Counts",
      "X-Orioletally-Length-Hint",
      "Last-Event-Id",
      "Authorization",
      "Retry-After",
      "Server-Leaving",
      "At-Server",
      "X-Orioletally-Response-Signature"};
  const platform::HeaderCodec codec;
  std::mt19937_64 random(Seed);
  for (int n = 0; n < Mutations; ++n) {
    std::vector<std::string> values;
    std::vector<core::relay::HeaderView> lines;
    for (size_t it = 0; it < names.size(); ++it)
      values.push_back(mutated("Token 12,34.5", random));
    for (size_t it = 0; it < names.size(); ++it)
      lines.push_back({names[it], values[it]});
    const core::relay::CallHead call = codec.decodeCall(lines);
    CHECK(call.PromptTokens >= 0 && call.AnswerTokens >= 0);
    const core::relay::AnswerHead answer = codec.decodeAnswer(lines);
    if (answer.PauseFor.has_value())
      CHECK(*answer.PauseFor >= absl::ZeroDuration());
  }
}

TEST(Decoders, MutatedNodeUpdateDecodesWithinBoundsOrFails) {
  drivers::relay::NodeUpdate update;
  update.Node = "n1";
  update.PeerAddress = "10.0.0.1:7340";
  update.Incarnation = 5;
  update.ConfigAnsweredAt = at(9'000);
  update.LoadUpdates.resize(3);
  update.LoadUpdates[1].Kind = core::relay::LoadUpdateKind::Refused;
  update.LoadUpdates[1].Admission = core::relay::AdmissionUpdate{};
  update.LoadUpdates[1].Admission->Call.Route = 7;
  update.LoadUpdates[1].Admission->Call.Parts = {1, 2};
  update.Backends.resize(2);
  update.Backends[1].Removed = true;
  update.Leaving = {"i-1", "i-2"};
  update.Config = "{}";
  update.Crashes = {{"i-1", "own", {"a", "b"}}, {"i-2", "other", {"c"}}};
  update.SoundParts = {"d", "e"};
  update.Quarantined = {{"f", absl::Seconds(9)}};
  update.Placement = samplePlacement();
  update.Evacuations = {{"z", 7, false}, {"y", 9, true}};
  update.EvacuationsVersion = 9;
  const std::string bytes =
      drivers::relay::encodeNodeUpdate(update, at(10'000));
  std::mt19937_64 random(Seed);
  int count = 0;
  for (int n = 0; n < Mutations; ++n) {
    const auto decoded =
        drivers::relay::decodeNodeUpdate(mutated(bytes, random), at(10'000));
    if (!decoded.has_value())
      continue;
    ++count;
    CHECK_FALSE(decoded->Node.empty());
    CHECK(decoded->ConfigAnsweredAt <= at(10'000));
    for (const core::relay::LoadUpdate &it : decoded->LoadUpdates) {
      CHECK(it.PrefillTokens >= 0 && it.HeldTokens >= 0 &&
            it.GapObjectiveMs >= 0 &&
            it.Kind <= core::relay::LoadUpdateKind::Refused);
      if (!it.Admission.has_value())
        continue;
      const core::relay::AdmissionCall &call = it.Admission->Call;
      CHECK(call.Rank >= 0 &&
            call.Rank < int64_t{core::relay::MaxAdmissionRanks} &&
            call.Parts.size() <= core::relay::MaxAdmissionParts &&
            call.Work >= absl::ZeroDuration() && call.Work <= absl::Hours(1) &&
            it.Admission->RetryAfter <= absl::Hours(1));
    }
    for (const core::fleet::BackendChange &it : decoded->Backends)
      CHECK(it.ExpiresIn <= absl::Hours(1));
    for (const core::relay::QuarantinedPart &it : decoded->Quarantined)
      CHECK(it.TimeLeft >= absl::ZeroDuration() &&
            it.TimeLeft <= absl::Hours(1));
    for (const core::relay::PlacementRequest &it : decoded->Placement.Requests)
      CHECK(it.PromptTokens >= 0 && it.AnswerTokens >= 0 && it.Rank >= 0 &&
            it.Objective >= absl::ZeroDuration() &&
            it.MaxPredictedFirstToken <= absl::Hours(1) &&
            it.GapObjective > absl::ZeroDuration());
    for (const core::relay::PlacementReply &it : decoded->Placement.Replies)
      if (it.Offer.has_value())
        CHECK(it.Offer->PredictedFirstToken >= absl::ZeroDuration() &&
              it.Offer->PredictedFirstToken <= absl::Hours(1));
    for (const core::relay::OfferProgress &it : decoded->Placement.Progress)
      CHECK(it.Event <= core::relay::OfferEvent::Ended);
  }
  CHECK(count > 0 && count < Mutations);
}

TEST(Decoders, NodeUpdateRoundTrips) {
  drivers::relay::NodeUpdate update;
  update.Node = "n1";
  update.BackendsAnsweredAt = at(8'500);
  update.BackendsVersion = 40;
  update.BackendsSince = 38;
  core::fleet::BackendChange change;
  change.Entry.Id = "i-1";
  change.Entry.RowVersion = 40;
  change.Removed = true;
  change.ExpiresIn = absl::Milliseconds(700);
  update.Backends.push_back(change);
  change = {};
  change.Entry.Id = "i-2";
  update.Backends.push_back(change);
  change.Entry.ColdRemaining = absl::ZeroDuration();
  update.Backends.push_back(change);
  change.Entry.ColdRemaining = absl::Milliseconds(1'200);
  update.Backends.push_back(change);
  update.Crashes = {{"i-1", "own", {"a", "b"}}};
  update.SoundParts = {"c"};
  update.Quarantined = {{"d", absl::Milliseconds(1'500)}};
  update.Evacuations = {{"z\xff", 7, false}, {"y", uint64_t{1} << 41, true}};
  update.EvacuationsVersion = uint64_t{1} << 41;
  update.IsFleetWide = true;
  core::relay::LoadUpdate refused;
  refused.Kind = core::relay::LoadUpdateKind::Refused;
  refused.PromptTokens = 5'000;
  refused.Admission = core::relay::AdmissionUpdate{};
  refused.Admission->Call.Rank = 2;
  refused.Admission->Call.Workspace = 6;
  refused.Admission->Call.Route = 7;
  refused.Admission->Call.Parts = {8, 9};
  refused.Admission->Call.Key = 10;
  refused.Admission->Call.Work = absl::Microseconds(70);
  refused.Admission->RetryAfter = absl::Milliseconds(300);
  update.LoadUpdates = {refused};
  const auto decoded = drivers::relay::decodeNodeUpdate(
      drivers::relay::encodeNodeUpdate(update, at(10'000)), at(20'000));
  CHECK(decoded.has_value());
  CHECK_EQUAL(1, decoded->LoadUpdates.size());
  const core::relay::LoadUpdate &load = decoded->LoadUpdates[0];
  CHECK(load.Kind == core::relay::LoadUpdateKind::Refused);
  CHECK(load.Admission.has_value());
  CHECK_EQUAL(2, load.Admission->Call.Rank);
  CHECK_EQUAL(6, load.Admission->Call.Workspace);
  CHECK_EQUAL(7, load.Admission->Call.Route);
  CHECK_EQUAL(10, load.Admission->Call.Key);
  CHECK_EQUAL(5'000, load.Admission->Call.PromptTokens);
  CHECK(load.Admission->Call.Parts == std::vector<uint32_t>({8, 9}));
  CHECK(load.Admission->Call.Work == absl::Microseconds(70));
  CHECK(load.Admission->RetryAfter == absl::Milliseconds(300));
  // The message carries the age, because the clocks of nodes may differ.
  CHECK(decoded->BackendsAnsweredAt == at(18'500));
  CHECK(decoded->ConfigAnsweredAt == absl::InfinitePast());
  LONGS_EQUAL(38, decoded->BackendsSince);
  CHECK(decoded->Backends[0].Removed);
  CHECK(decoded->Backends[0].ExpiresIn == absl::Milliseconds(700));
  // An unknown cold phase isn't one that has ended.
  CHECK_FALSE(decoded->Backends[1].Entry.ColdRemaining.has_value());
  CHECK(decoded->Backends[2].Entry.ColdRemaining == absl::ZeroDuration());
  CHECK(decoded->Backends[3].Entry.ColdRemaining == absl::Milliseconds(1'200));
  LONGS_EQUAL(1, decoded->Crashes.size());
  STRCMP_EQUAL("i-1", decoded->Crashes[0].Backend.c_str());
  STRCMP_EQUAL("own", decoded->Crashes[0].Prompt.c_str());
  CHECK(decoded->Crashes[0].Parts == std::vector<std::string>({"a", "b"}));
  CHECK(decoded->SoundParts == std::vector<std::string>({"c"}));
  STRCMP_EQUAL("d", decoded->Quarantined[0].Part.c_str());
  CHECK(decoded->Quarantined[0].TimeLeft == absl::Milliseconds(1'500));
  LONGS_EQUAL(2, decoded->Evacuations.size());
  STRCMP_EQUAL("z\xff", decoded->Evacuations[0].Zone.c_str());
  LONGS_EQUAL(7, decoded->Evacuations[0].RowVersion);
  CHECK(!decoded->Evacuations[0].Removed && decoded->Evacuations[1].Removed);
  CHECK(decoded->Evacuations[1].RowVersion == uint64_t{1} << 41);
  CHECK(decoded->EvacuationsVersion == uint64_t{1} << 41);
  CHECK(decoded->IsFleetWide);
}

// A field that is lost on the way would make a node place another prompt than
// the one it was asked about.
TEST(Decoders, PlacementMessagesRoundTrip) {
  drivers::relay::NodeUpdate update;
  update.Node = "n1";
  update.IsFleetWide = true;
  update.Placement = samplePlacement();
  const auto decoded = drivers::relay::decodeNodeUpdate(
      drivers::relay::encodeNodeUpdate(update, at(10'000)), at(20'000));
  CHECK(decoded.has_value());
  const core::relay::PlacementMessages &messages = decoded->Placement;
  LONGS_EQUAL(2, messages.Requests.size());
  const core::relay::PlacementRequest &request = messages.Requests[0];
  LONGS_EQUAL(11, request.Id);
  STRCMP_EQUAL("engines", request.Service.c_str());
  LONGS_EQUAL(300'000, request.PromptTokens);
  LONGS_EQUAL(1'541, request.AnswerTokens);
  CHECK(request.Objective == absl::Milliseconds(4'000));
  CHECK(request.MaxPredictedFirstToken == absl::Milliseconds(4'800));
  CHECK(request.GapObjective == absl::Milliseconds(800));
  CHECK(request.Tried == std::vector<std::string>({"e-1"}));
  LONGS_EQUAL(2, request.Rank);
  CHECK(messages.Requests[1].GapObjective == absl::InfiniteDuration());
  LONGS_EQUAL(2, messages.Replies.size());
  CHECK_FALSE(messages.Replies[0].Offer.has_value());
  const core::relay::PlacementOffer &offer = *messages.Replies[1].Offer;
  LONGS_EQUAL(77, offer.Id);
  STRCMP_EQUAL("e-2", offer.Server.c_str());
  CHECK(offer.Helpers == std::vector<std::string>({"e-3", "e-4"}));
  CHECK(offer.Reserved == std::vector<int64_t>({0, 90'000}));
  CHECK(offer.PredictedFirstToken == absl::Microseconds(1'234'567));
  LONGS_EQUAL(1, messages.Progress.size());
  LONGS_EQUAL(78, messages.Progress[0].OfferId);
  CHECK(messages.Progress[0].Event == core::relay::OfferEvent::FirstToken);
}

// Guards against larger messages where no operator uses evacuations.
TEST(Decoders, NodeUpdateWithoutEvacuationsHasNoFieldsForThem) {
  drivers::relay::NodeUpdate update;
  update.Node = "n1";
  const std::string bytes =
      drivers::relay::encodeNodeUpdate(update, at(10'000));
  // The name: a tag, a length and two bytes. When it was sent: a tag of two
  // bytes and a number of three.
  LONGS_EQUAL(4 + 5, bytes.size());
}

TEST(Decoders, EventStreamNeverEmitsMoreThanItReceives) {
  std::mt19937_64 random(Seed);
  std::string whole;
  for (int id = 1; id <= 20; ++id)
    whole += "id: " + std::to_string(id) + "\ndata: x\r\n\r\n";
  for (int n = 0; n < Mutations / 10; ++n) {
    core::relay::EventStream stream(std::nullopt, 64);
    const std::string bytes = mutated(whole, random);
    size_t out = 0;
    for (size_t from = 0; from < bytes.size(); from += 7)
      out += stream.push(std::string_view(bytes).substr(from, 7)).size();
    out += stream.takeRest().size();
    CHECK(out <= bytes.size());
  }
}
