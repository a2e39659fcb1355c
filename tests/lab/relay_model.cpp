#include "tests/lab/relay_model.h"

#include "core/relay/dispatcher.h"
#include "tests/lab/policy_report.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <toml++/toml.h>
#include <tuple>
#include <utility>

namespace orioletally::lab {

namespace {

using core::engines::EngineSpeed;
using core::relay::AttemptEnd;
using core::relay::CallDemand;
using core::relay::Dispatch;
using core::relay::Dispatcher;
using core::relay::LoadUpdate;

constexpr const char *ServiceName = "engines";
/// Part of an answer's worth that one in time but late is given.
constexpr double LateShare = 0.25;
constexpr double MaxWorthFactor = 4;
/// Three times the usual long prompt, as the users' longest are.
constexpr int64_t LongestPrompt = 680'000;

/// Runs what is due in the order of time.
class Timeline {
public:
  absl::Time now() const { return Now; }

  void at(absl::Time when, std::function<void()> what) {
    Queue.push({when, ++Sequence, std::move(what)});
  }

  void run() {
    while (!Queue.empty()) {
      Item next = Queue.top();
      Queue.pop();
      Now = next.When;
      next.What();
    }
  }

private:
  struct Item {
    absl::Time When;
    uint64_t Sequence;
    std::function<void()> What;
    bool operator<(const Item &other) const {
      return std::tie(other.When, other.Sequence) < std::tie(When, Sequence);
    }
  };

  absl::Time Now = absl::UnixEpoch();
  uint64_t Sequence = 0;
  std::priority_queue<Item> Queue;
};

/// One prompt's reading and writing at one engine.
struct Work {
  int64_t Unread = 0;
  int64_t Prompt = 0;
  /// Events still to be written; 0 for a helper's part.
  int64_t Events = 0;
  /// Whether this engine may begin to write: all parts have been read.
  std::function<bool()> IsRead;
  std::function<void()> PartRead;
  std::function<void()> Event;
  std::function<void()> Done;
};

/// An engine by the published formulas.
class ModelEngine {
public:
  ModelEngine(Timeline &wanted, const EngineSpeed &speed)
      : Time(wanted), Speed(speed) {}

  void submit(std::shared_ptr<Work> work) {
    // Helpers' parts are read ahead of other prompts.
    auto place = Readers.end();
    if (work->Events == 0)
      place = std::find_if(Readers.begin(), Readers.end(),
                           [](const auto &it) { return it->Events > 0; });
    Readers.insert(place, std::move(work));
    if (!std::exchange(IsRunning, true))
      pass();
  }

private:
  void pass() {
    std::vector<std::shared_ptr<Work>> writing = Writers;
    int64_t context = 0;
    for (const std::shared_ptr<Work> &it : writing)
      context += it->Prompt;
    int64_t budget =
        Speed.ChunkTokens * (writing.empty() ? 1 : Speed.StepsPerPass);
    absl::Duration length = core::engines::passTime(
        Speed, static_cast<int64_t>(writing.size()), context);
    auto running = static_cast<int64_t>(writing.size());
    for (const std::shared_ptr<Work> &it : Readers) {
      if (budget <= 0 || (it->Events > 0 && running >= Speed.Slots))
        break;
      if (it->Unread <= 0)
        continue;
      const int64_t read = std::min(budget, it->Unread);
      it->Unread -= read;
      budget -= read;
      ++running;
      length += core::engines::prefillTime(Speed, read, it->Prompt);
    }
    Time.at(Time.now() + length, [this, writing] { endPass(writing); });
  }

  void endPass(const std::vector<std::shared_ptr<Work>> &writing) {
    for (const std::shared_ptr<Work> &it : writing)
      write(it);
    std::vector<std::shared_ptr<Work>> readers = std::exchange(Readers, {});
    for (const std::shared_ptr<Work> &it : readers) {
      if (it->Unread <= 0 && it->PartRead)
        std::exchange(it->PartRead, nullptr)();
      if (it->Unread > 0) {
        Readers.push_back(it);
      } else if (it->Events > 0 && it->IsRead()) {
        Writers.push_back(it);
        write(it);
      } else if (it->Events > 0) {
        Readers.push_back(it);
      }
    }
    IsRunning = !Writers.empty() || !Readers.empty();
    if (IsRunning)
      pass();
  }

  void write(const std::shared_ptr<Work> &work) {
    work->Event();
    if (--work->Events > 0)
      return;
    std::erase(Writers, work);
    work->Done();
  }

  Timeline &Time;
  const EngineSpeed &Speed;
  std::vector<std::shared_ptr<Work>> Readers;
  std::vector<std::shared_ptr<Work>> Writers;
  bool IsRunning = false;
};

/// A prompt on its way.
struct Prompt {
  size_t Kind = 0;
  size_t Node = 0;
  /// Where it goes and which engines help to read it.
  std::string Engine;
  std::vector<std::string> Helpers;
  /// Position of the engine, for a baseline's count.
  size_t Index = 0;
  int64_t Tokens = 0;
  int64_t Answer = 0;
  absl::Time ArrivedAt;
  absl::Time LastEventAt;
  bool IsFirstLate = false;
  bool IsPauseLate = false;
  size_t PartsLeft = 1;
  bool IsFirstSeen = false;
  /// The dispatcher's decision; empty under a baseline.
  std::optional<Dispatch> Sent;
  core::routes::Route Route;
};

class World {
public:
  World(const LoadPattern &wanted, uint64_t seed, PlacementPolicy policy)
      : Pattern(wanted), Policy(policy), Random(seed), Choices(seed),
        Results(wanted.Kinds.size()) {
    core::routes::RoutingConfigBuilder builder;
    builder.version(1).service({ServiceName, Pattern.Speed});
    Config = builder.build();
    for (int n = 0; n < Pattern.Engines; ++n)
      Engines.emplace(fmt::format("engine-{}", n),
                      std::make_unique<ModelEngine>(Time, Pattern.Speed));
    for (int n = 0; n < Pattern.Nodes; ++n)
      addNode(n, seed);
    divide();
  }

  const NewsCount &news() const { return News; }

  std::vector<KindResult> run() {
    absl::Time from = absl::UnixEpoch();
    for (const LoadPhase &phase : Pattern.Phases) {
      for (size_t kind = 0; kind < phase.Rates.size(); ++kind)
        plan(kind, phase.Rates[kind], from, from + phase.Length);
      from += phase.Length;
    }
    Time.run();
    return Results;
  }

private:
  void addNode(int n, uint64_t seed) {
    core::relay::DispatcherSettings settings;
    settings.Zone = zoneOf(n);
    settings.Incarnation = static_cast<uint64_t>(n) + 1;
    settings.Seed = seed + static_cast<uint64_t>(n);
    auto node = std::make_unique<Dispatcher>(settings);
    node->setConfig(Config);
    int engineNumber = 0;
    for (const auto &[id, engine] : Engines) {
      core::fleet::BackendEntry entry;
      entry.Id = id;
      entry.Service = ServiceName;
      entry.Address = "127.0.0.1:1";
      entry.Zone = zoneOf(engineNumber++);
      entry.Slots = Pattern.Speed.Slots;
      node->directory().put(entry, Time.now());
    }
    Baselines.push_back(baselineOf(Policy));
    Loads.emplace_back(static_cast<size_t>(Pattern.Engines), 0);
    const size_t self = Nodes.size();
    if (Policy == PlacementPolicy::Dispatcher)
      shareNews(*node, self);
    Nodes.push_back(std::move(node));
  }

  std::string zoneOf(int n) const {
    return fmt::format("zone-{}", n % Pattern.Zones);
  }

  static std::string nameOf(size_t node) {
    return fmt::format("node-{}", node);
  }

  /// Tells each node of all, and whom to tell its news.
  void divide() {
    std::vector<core::fleet::NodePlace> places;
    std::map<std::string, size_t> byName;
    for (size_t n = 0; n < Nodes.size(); ++n) {
      places.push_back({nameOf(n), zoneOf(static_cast<int>(n)), "region"});
      byName[nameOf(n)] = n;
    }
    Cells.resize(Nodes.size());
    for (size_t n = 0; n < Nodes.size(); ++n) {
      Nodes[n]->directory().setNodes(nameOf(n), places);
      for (const std::string &it : Nodes[n]->directory().cell().members())
        if (byName[it] != n)
          Cells[n].push_back(byName[it]);
    }
  }

  void shareNews(Dispatcher &node, size_t self) {
    node.setLoadUpdateHandler([this, self](const LoadUpdate &update) {
      ++News.Told;
      News.Sent += static_cast<int64_t>(Cells[self].size());
      Time.at(Time.now() + Pattern.NewsLag, [this, self, update] {
        for (const size_t other : Cells[self])
          Nodes[other]->applyLoadUpdate(update, Time.now());
      });
    });
  }

  void plan(size_t kind, double rate, absl::Time from, absl::Time to) {
    if (rate <= 0)
      return;
    std::exponential_distribution<double> pause(rate);
    absl::Time when = from + absl::Seconds(pause(Random));
    while (when < to) {
      Time.at(when, [this, kind] { arrive(kind); });
      when += absl::Seconds(pause(Random));
    }
  }

  int64_t draw(double mean, double spread) {
    std::lognormal_distribution<double> length(
        std::log(mean) - spread * spread / 2, spread);
    return std::max<int64_t>(1, static_cast<int64_t>(length(Random)));
  }

  double worth(const Prompt &prompt) const {
    const PromptKind &kind = Pattern.Kinds[prompt.Kind];
    const double size = static_cast<double>(prompt.Tokens) / kind.MeanTokens;
    return kind.Worth * std::min(MaxWorthFactor, 0.3 + 0.7 * size);
  }

  void arrive(size_t kindIndex) {
    const PromptKind &kind = Pattern.Kinds[kindIndex];
    auto prompt = std::make_shared<Prompt>();
    prompt->Kind = kindIndex;
    prompt->Node = Random() % Nodes.size();
    prompt->Tokens =
        std::min(draw(kind.MeanTokens, kind.Spread), LongestPrompt);
    prompt->Answer = draw(kind.AnswerTokens, 0.5);
    prompt->ArrivedAt = Time.now();
    prompt->Route.Objective = kind.Objective;
    prompt->Route.GapObjective = kind.Gap;
    prompt->Route.Kind = core::routes::RouteKind::Streaming;
    prompt->Route.Targets = {{ServiceName, 1}};
    KindResult &result = Results[kindIndex];
    ++result.Asked;
    result.Owed += worth(*prompt);
    CallDemand demand;
    demand.Route = &prompt->Route;
    demand.Config = Config;
    demand.PromptTokens = prompt->Tokens;
    demand.AnswerTokens = prompt->Answer;
    demand.ArrivedAt = Time.now();
    demand.Deadline = Time.now() + absl::Seconds(15);
    if (std::optional<Baseline> &baseline = Baselines[prompt->Node]) {
      InFlight &load = Loads[prompt->Node];
      const size_t n = std::visit(
          [&](auto &it) { return it.choose(load, Choices); }, *baseline);
      ++load[n];
      prompt->Engine = fmt::format("engine-{}", n);
      prompt->Index = n;
      submit(prompt);
      return;
    }
    auto chosen = Nodes[prompt->Node]->choose(demand, Time.now());
    if (!std::holds_alternative<Dispatch>(chosen)) {
      ++result.Refused;
      return;
    }
    prompt->Sent = std::get<Dispatch>(std::move(chosen));
    Nodes[prompt->Node]->sent(*prompt->Sent, Time.now());
    prompt->Engine = prompt->Sent->Server->Entry.Id;
    for (const auto &it : prompt->Sent->Helpers)
      prompt->Helpers.push_back(it->Entry.Id);
    submit(prompt);
  }

  void submit(const std::shared_ptr<Prompt> &prompt) {
    prompt->PartsLeft = prompt->Helpers.size() + 1;
    const auto parts = static_cast<int64_t>(prompt->PartsLeft);
    const int64_t part = (prompt->Tokens + parts - 1) / parts;
    for (const std::string &it : prompt->Helpers) {
      auto help = std::make_shared<Work>();
      help->Unread = part;
      help->Prompt = prompt->Tokens;
      help->PartRead = [prompt] { --prompt->PartsLeft; };
      Engines.at(it)->submit(help);
    }
    auto work = std::make_shared<Work>();
    work->Unread = part;
    work->Prompt = prompt->Tokens;
    work->Events =
        std::max<int64_t>(1, prompt->Answer / Pattern.Speed.StepsPerPass);
    work->PartRead = [prompt] { --prompt->PartsLeft; };
    work->IsRead = [prompt] { return prompt->PartsLeft == 0; };
    work->Event = [this, prompt] { onEvent(*prompt); };
    work->Done = [this, prompt] { onDone(*prompt); };
    Engines.at(prompt->Engine)->submit(work);
  }

  void onEvent(Prompt &prompt) {
    const absl::Time now = Time.now();
    if (std::exchange(prompt.IsFirstSeen, true)) {
      if (now - prompt.LastEventAt > Pattern.Kinds[prompt.Kind].Gap)
        prompt.IsPauseLate = true;
    } else {
      KindResult &result = Results[prompt.Kind];
      const absl::Duration first = now - prompt.ArrivedAt;
      result.FirstMs.push_back(absl::ToDoubleMilliseconds(first));
      if (prompt.Sent.has_value()) {
        Nodes[prompt.Node]->firstToken(*prompt.Sent, now);
        result.Ratio.push_back(
            absl::FDivDuration(first, prompt.Sent->PredictedFirstToken));
      }
      if (first > Pattern.Kinds[prompt.Kind].Objective) {
        ++result.FirstLate;
        prompt.IsFirstLate = true;
      }
    }
    prompt.LastEventAt = now;
  }

  void onDone(Prompt &prompt) {
    if (prompt.Sent.has_value())
      Nodes[prompt.Node]->ended(*prompt.Sent, AttemptEnd::Answered, Time.now());
    else
      --Loads[prompt.Node][prompt.Index];
    KindResult &result = Results[prompt.Kind];
    if (prompt.IsPauseLate)
      ++result.PauseLate;
    const bool isInTime = !prompt.IsPauseLate && !prompt.IsFirstLate;
    if (isInTime)
      ++result.InTime;
    result.Earned += worth(prompt) * (isInTime ? 1 : LateShare);
  }

  const LoadPattern &Pattern;
  PlacementPolicy Policy;
  /// Draws the load, which is the same for each policy.
  std::mt19937_64 Random;
  std::mt19937_64 Choices;
  Timeline Time;
  std::shared_ptr<const core::routes::RoutingConfig> Config;
  std::map<std::string, std::unique_ptr<ModelEngine>> Engines;
  std::vector<std::unique_ptr<Dispatcher>> Nodes;
  std::vector<std::optional<Baseline>> Baselines;
  std::vector<InFlight> Loads;
  /// By node: the others of its cell.
  std::vector<std::vector<size_t>> Cells;
  NewsCount News;
  std::vector<KindResult> Results;
};

absl::Duration milliseconds(const toml::table &from, const char *key) {
  return absl::Milliseconds(from[key].value_or(0.0));
}

EngineSpeed readSpeed(const toml::table &from) {
  EngineSpeed speed;
  speed.Slots = from["slots"].value_or(speed.Slots);
  speed.MemoryTokens = from["memory_tokens"].value_or(speed.MemoryTokens);
  speed.StepsPerPass = from["steps_per_pass"].value_or(speed.StepsPerPass);
  speed.Step = milliseconds(from, "step_ms");
  speed.StepPerDecodingRequest = milliseconds(from, "step_per_writer_ms");
  speed.StepPerThousandContext =
      milliseconds(from, "step_per_thousand_context_ms");
  speed.PrefillTokensPerSecond =
      from["read_tokens_per_s"].value_or(speed.PrefillTokensPerSecond);
  speed.TimePerMillionPairs = milliseconds(from, "pairs_per_million_ms");
  speed.ChunkTokens = from["chunk_tokens"].value_or(speed.ChunkTokens);
  return speed;
}

void add(KindResult &sum, const KindResult &part) {
  sum.Asked += part.Asked;
  sum.InTime += part.InTime;
  sum.FirstLate += part.FirstLate;
  sum.PauseLate += part.PauseLate;
  sum.Refused += part.Refused;
  sum.FirstMs.insert(sum.FirstMs.end(), part.FirstMs.begin(),
                     part.FirstMs.end());
  sum.Ratio.insert(sum.Ratio.end(), part.Ratio.begin(), part.Ratio.end());
  sum.Earned += part.Earned;
  sum.Owed += part.Owed;
}

double quantile(std::vector<double> &values, double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(static_cast<double>(values.size() - 1) *
                                    share)];
}

/// The sum of \p plays plays with seeds from \p seed on.
std::vector<KindResult> playMany(const LoadPattern &pattern, int plays,
                                 uint64_t seed, PlacementPolicy policy) {
  std::vector<KindResult> sum(pattern.Kinds.size());
  for (int n = 0; n < plays; ++n) {
    const std::vector<KindResult> results =
        playLoad(pattern, seed + static_cast<uint64_t>(n), policy);
    for (size_t kind = 0; kind < sum.size(); ++kind)
      add(sum[kind], results[kind]);
  }
  return sum;
}

/// Worth, share in time, first tokens and refusals, as cells of a table.
std::string summary(std::vector<KindResult> &results) {
  int64_t asked = 0;
  int64_t inTime = 0;
  int64_t refused = 0;
  std::string first;
  for (KindResult &it : results) {
    asked += it.Asked;
    inTime += it.InTime;
    refused += it.Refused;
    first += fmt::format("{}{:.0f}", first.empty() ? "" : " / ",
                         quantile(it.FirstMs, 0.95));
  }
  return fmt::format("{:.3f} | {:.3f} | {} | {}", worthOf(results),
                     static_cast<double>(inTime) / static_cast<double>(asked),
                     first, refused);
}

} // namespace

LoadPattern readLoad(const std::string &file) {
  LoadPattern pattern;
  try {
    const toml::table text = toml::parse_file(file);
    pattern.Engines = text["engines"].value_or(pattern.Engines);
    pattern.Nodes = text["nodes"].value_or(pattern.Nodes);
    pattern.Zones = text["zones"].value_or(pattern.Zones);
    pattern.NewsLag = milliseconds(text, "news_lag_ms");
    pattern.Speed = readSpeed(*text["speed"].as_table());
    for (const toml::node &node : *text["kind"].as_array()) {
      const toml::table &from = *node.as_table();
      PromptKind kind;
      kind.Name = from["name"].value_or(std::string());
      kind.MeanTokens = from["tokens"].value_or(kind.MeanTokens);
      kind.Spread = from["spread"].value_or(kind.Spread);
      kind.AnswerTokens = from["answer_tokens"].value_or(kind.AnswerTokens);
      kind.Objective = milliseconds(from, "objective_ms");
      kind.Gap = milliseconds(from, "gap_ms");
      kind.Worth = from["worth"].value_or(kind.Worth);
      pattern.Kinds.push_back(kind);
    }
    for (const toml::node &node : *text["phase"].as_array()) {
      const toml::table &from = *node.as_table();
      LoadPhase phase;
      phase.Length = absl::Seconds(from["seconds"].value_or(0.0));
      for (const toml::node &rate : *from["per_s"].as_array())
        phase.Rates.push_back(rate.value_or(0.0));
      pattern.Phases.push_back(phase);
    }
  } catch (const toml::parse_error &ec) {
    fmt::print(stderr, "{}: {}\n", file, ec.description());
    std::exit(1);
  }
  return pattern;
}

std::vector<KindResult> playLoad(const LoadPattern &pattern, uint64_t seed,
                                 PlacementPolicy policy, NewsCount *news) {
  World world(pattern, seed, policy);
  std::vector<KindResult> results = world.run();
  if (news != nullptr)
    *news = world.news();
  return results;
}

void comparePlacement(const std::vector<std::string> &files, int plays,
                      uint64_t seed, const std::string &picture) {
  ReportChart worth = {"Earned of what was owed", "share", 0, {}};
  fmt::print("| load | policy | worth | in time | first token p95 by kind, ms "
             "| refused |\n| --- | --- | --- | --- | --- | --- |\n");
  for (const std::string &file : files) {
    const LoadPattern pattern = readLoad(file);
    const std::string label = std::filesystem::path(file).stem();
    ReportGroup group = {label, {}};
    for (const PlacementPolicy policy : AllPolicies) {
      std::vector<KindResult> sum = playMany(pattern, plays, seed, policy);
      group.Bars.push_back(
          {std::string(placementPolicyName(policy)), worthOf(sum)});
      fmt::print("| {} | {} | {} |\n", label, placementPolicyName(policy),
                 summary(sum));
    }
    worth.Groups.push_back(std::move(group));
  }
  if (!picture.empty())
    std::ofstream(picture) << renderReport({worth});
}

void printPlacement(const std::string &file, int plays, uint64_t seed) {
  const LoadPattern pattern = readLoad(file);
  std::vector<KindResult> sum =
      playMany(pattern, plays, seed, PlacementPolicy::Dispatcher);
  fmt::print("{:8} {:>6} {:>8} {:>10} {:>10} {:>8} {:>7} {:>7} {:>6} {:>6}\n",
             "kind", "asked", "in time", "first late", "pause late", "refused",
             "p50 ms", "p95 ms", "ratio", "worth");
  for (size_t kind = 0; kind < sum.size(); ++kind) {
    KindResult &it = sum[kind];
    fmt::print("{:8} {:6} {:8} {:10} {:10} {:8} {:7.0f} {:7.0f} {:6.2f} "
               "{:6.3f}\n",
               pattern.Kinds[kind].Name, it.Asked, it.InTime, it.FirstLate,
               it.PauseLate, it.Refused, quantile(it.FirstMs, 0.5),
               quantile(it.FirstMs, 0.95), quantile(it.Ratio, 0.5),
               it.Earned / it.Owed);
  }
  fmt::print("worth {:.3f}\n", worthOf(sum));
}

double worthOf(const std::vector<KindResult> &results) {
  double earned = 0;
  double owed = 0;
  for (const KindResult &it : results) {
    earned += it.Earned;
    owed += it.Owed;
  }
  return owed > 0 ? earned / owed : 0;
}

} // namespace orioletally::lab
