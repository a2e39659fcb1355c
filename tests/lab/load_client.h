#ifndef ORIOLETALLY_TESTS_LAB_LOAD_CLIENT_H
#define ORIOLETALLY_TESTS_LAB_LOAD_CLIENT_H

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace orioletally::lab {

/// Parameters of a load run.
struct LoadPlan {
  /// Entry nodes, or engines if `Direct` is set; used in turn.
  std::vector<std::string> Targets;
  bool Direct = false;
  std::string Token;
  std::string Profile = "gate-questions";
  int Requests = 100;
  /// Open-loop arrivals per second, with exponentially distributed interarrival
  /// times.
  double Rate = 50;
  int PromptTokens = 1000;
  int MaxTokens = 64;
  uint64_t Seed = 1;
  absl::Duration Timeout = absl::Seconds(60);
};

/// How one request ended.
struct LoadSample {
  bool Complete = false;
  /// Whether every token received is that of answerToken().
  bool Correct = true;
  int Status = 0;
  /// The error's `code` and `run` (the run state); empty for a complete answer.
  std::string ErrorCode;
  std::string Run;
  std::string RequestId;
  absl::Duration FirstToken;
  absl::Duration Total;
  uint64_t Tokens = 0;
};

/// Sends request \p n and waits for its end on the calling thread.
LoadSample runRequest(const LoadPlan &plan, int n);

/// Returns the prompt of request \p n.
std::string promptOf(const LoadPlan &plan, int n);

/// Sends all requests of \p plan and waits for their ends.
std::vector<LoadSample> runLoad(const LoadPlan &plan);

/// Prints a table to standard error and one JSON object to standard output.
void printLoad(const LoadPlan &plan, const std::vector<LoadSample> &samples,
               absl::Duration elapsed);

} // namespace orioletally::lab

#endif
