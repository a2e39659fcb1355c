#ifndef ORIOLETALLY_TESTS_LAB_LOAD_CLIENT_H
#define ORIOLETALLY_TESTS_LAB_LOAD_CLIENT_H

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace orioletally::lab {

/// What a load run does.
struct LoadPlan {
  /// Entry nodes, or engines when `Direct` is set; taken in turn.
  std::vector<std::string> Targets;
  bool Direct = false;
  std::string Token;
  std::string Profile = "gate-questions";
  int Requests = 100;
  /// Open-loop arrivals a second, exponentially spaced.
  double Rate = 50;
  int PromptTokens = 1000;
  int MaxTokens = 64;
  uint64_t Seed = 1;
  absl::Duration Timeout = absl::Seconds(60);
};

/// How one request ended.
struct LoadSample {
  bool Whole = false;
  /// Every byte was the one that the prompt calls for.
  bool Correct = true;
  int Status = 0;
  /// Code and run of the error, empty for a whole answer.
  std::string ErrorCode;
  std::string Run;
  std::string RequestId;
  absl::Duration FirstToken;
  absl::Duration Total;
  uint64_t Tokens = 0;
};

/// One request, sent and waited for on the calling thread.
LoadSample runRequest(const LoadPlan &plan, int n);

/// The prompt of request \p n.
std::string promptOf(const LoadPlan &plan, int n);

/// Runs the whole plan.
std::vector<LoadSample> runLoad(const LoadPlan &plan);

/// Prints a table to standard error and one JSON object to standard output.
void printLoad(const LoadPlan &plan, const std::vector<LoadSample> &samples,
               absl::Duration elapsed);

} // namespace orioletally::lab

#endif
