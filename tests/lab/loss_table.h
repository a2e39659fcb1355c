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

/// Why a call wasn't served in time, as derived from the nodes' logs.
enum class LossCause {
  None,
  /// The first token was late, as predicted when the call was dispatched.
  LateAsPredicted,
  /// The first token was late without a prediction that it would be.
  LateUnforeseen,
  /// The stream paused for too long while its engine prefilled a long prompt.
  PauseBesideLongPrompt,
  /// The stream paused for too long, with no long prompt at its engine.
  PauseElsewhere,
  /// No backend server could answer the call in time.
  Overload,
  NoBackendServer,
  /// The node was draining, or didn't know its fleet yet.
  NodeNotReady,
  BackendFailure,
  OutOfTime,
  CallerLeft,
  /// The call was sent to a backend server, and no log line reports its end.
  NodeEnded,
};

/// One call and why it was lost, if it was.
struct CallLoss {
  std::string Route;
  absl::Time ArrivedAt;
  LossCause Cause = LossCause::None;
  /// Whether it is an urgent prompt whose answer was streamed.
  bool IsUrgentStream = false;
  /// Whether its engine prefilled a long prompt while its answer was streamed.
  bool IsBesideLongPrompt = false;
};

/// Number of urgent streams, and of those whose engine prefilled a long prompt
/// meanwhile.
struct UrgentStreamCount {
  int64_t Streams = 0;
  int64_t BesideLongPrompt = 0;
};

/// Derives which calls were lost, when and why, from the `dispatch` and `call`
/// log lines of any number of nodes. Ignores other lines, and text before a
/// line's JSON.
class LossTable {
public:
  void read(std::istream &log);

  /// Returns all calls in order of arrival.
  std::vector<CallLoss> calls() const;

  /// Counts the urgent streams that were in time or, with \p isPaused, those
  /// that were late only by a pause.
  UrgentStreamCount countUrgentStreams(bool isPaused) const;

  /// Returns Markdown tables of the causes by route, and by arrival time in
  /// steps of \p step.
  std::string markdown(absl::Duration step) const;

private:
  struct Attempt {
    std::string Backend;
    std::vector<std::string> Helpers;
    int64_t PromptTokens = 0;
    absl::Time SentAt;
    absl::Duration PredictedFirstToken;
  };
  struct Call {
    std::string Route;
    int Status = 0;
    std::string Code;
    std::string Aborted;
    absl::Time ArrivedAt;
    /// Time from the arrival to the first event; zero for answers that aren't
    /// streams.
    absl::Duration FirstEvent;
    /// Longest pause between two events.
    absl::Duration MaxGap;
    absl::Duration TotalTime;
    absl::Duration Objective;
    absl::Duration GapObjective;
  };
  /// A time interval in which an engine prefilled a long prompt.
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
                          const PrefillIntervals &prefills) const;

  /// Both are keyed by the caller's attempt id.
  std::map<std::string, std::vector<Attempt>> Attempts;
  std::map<std::string, Call> Calls;
};

/// Prints the tables for \p files, the logs of a fleet's nodes. Prints an error
/// and returns false if one can't be read.
bool printLosses(const std::vector<std::string> &files);

} // namespace orioletally::lab

#endif
