#ifndef ORIOLETALLY_TESTS_LAB_LOSS_TABLE_H
#define ORIOLETALLY_TESTS_LAB_LOSS_TABLE_H

#include <absl/time/time.h>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace orioletally::lab {

/// Why a call wasn't served in time, as far as the nodes' logs tell.
enum class LossCause {
  None,
  /// Its first token was predicted late, and it was taken all the same.
  LateAsPredicted,
  /// Its first token came late against the prediction.
  LateUnforeseen,
  /// It paused while its engine read a long prompt.
  PauseBesideLongPrompt,
  PauseElsewhere,
  /// No backend server could answer it in time.
  Overload,
  NoBackendServer,
  /// The node was about to end, or didn't know its fleet yet.
  NodeNotReady,
  BackendFailure,
  OutOfTime,
  CallerLeft,
  /// It was sent to a backend server, and no line tells of its end.
  NodeEnded,
};

/// One call and what became of it.
struct CallLoss {
  std::string Route;
  absl::Time ArrivedAt;
  LossCause Cause = LossCause::None;
  /// Whether it is an urgent prompt whose answer came as a stream.
  bool IsUrgentStream = false;
  /// Whether its engine read a long prompt while it wrote.
  bool IsBesideLongPrompt = false;
};

/// How many urgent streams wrote on an engine that read a long prompt
/// meanwhile.
struct UrgentStreamCount {
  int64_t Streams = 0;
  int64_t BesideLongPrompt = 0;
};

/// Joins the `dispatch` and `call` lines of any number of nodes to what was
/// lost, when and why. Lines of other kinds, and text before a line's JSON, are
/// passed over.
class LossTable {
public:
  void read(std::istream &log);

  /// Every call, in the order of arrival.
  std::vector<CallLoss> calls() const;

  /// Of the urgent streams that were in time, or late by a pause only.
  UrgentStreamCount countUrgentStreams(bool isPaused) const;

  /// Markdown tables of causes by route and by time in steps of \p step.
  std::string markdown(absl::Duration step) const;

private:
  struct Attempt {
    std::string Backend;
    std::vector<std::string> Helpers;
    int64_t PromptTokens = 0;
    absl::Time SentAt;
    absl::Duration Predicted;
  };
  struct Call {
    std::string Route;
    int Status = 0;
    std::string Code;
    std::string Aborted;
    absl::Time ArrivedAt;
    /// Zero for answers that aren't streams.
    absl::Duration FirstEvent;
    absl::Duration MaxGap;
    absl::Duration TotalTime;
    absl::Duration Objective;
    absl::Duration GapObjective;
  };
  /// A time in which an engine read a long prompt.
  struct PrefillInterval {
    absl::Time From;
    absl::Time Until;
  };
  using PrefillIntervals =
      std::map<std::string, std::vector<PrefillInterval>, std::less<>>;

  void readLine(std::string_view line);
  PrefillIntervals longPromptPrefills() const;
  LossCause causeOf(const std::string &id, const Call &call,
                    bool isBesideLongPrompt) const;
  LossCause latenessCause(const std::string &id, const Call &call,
                          bool isBesideLongPrompt) const;
  bool isUrgent(const std::string &id) const;
  bool isBesideLongPrompt(const std::string &id, const Call &call,
                          const PrefillIntervals &readings) const;

  /// By the caller's attempt id.
  std::map<std::string, std::vector<Attempt>> Attempts;
  std::map<std::string, Call> Calls;
};

/// Reads \p files, the logs of a fleet, and prints the tables. Returns false,
/// and says so, if one can't be read.
bool printLosses(const std::vector<std::string> &files);

} // namespace orioletally::lab

#endif
