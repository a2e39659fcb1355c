#ifndef ORIOLETALLY_DRIVERS_GATEWAY_COMPLETION_EXCHANGE_H
#define ORIOLETALLY_DRIVERS_GATEWAY_COMPLETION_EXCHANGE_H

#include "drivers/gateway/answer_format.h"
#include "drivers/gateway/completion_runner.h"
#include "drivers/gateway/request_journal.h"
#include "drivers/http/http_reply.h"

#include <memory>
#include <optional>
#include <string>

namespace orioletally::drivers::gateway {

/// Carries the outputs of one CompletionRunner to the caller, whole or as a
/// stream of events, and leaves the explanation in the journal.
class CompletionExchange {
public:
  CompletionExchange(std::shared_ptr<AdmissionPermit> permit,
                     std::unique_ptr<CompletionRunner> runner,
                     AnswerFormat format, RequestJournal &journal);

  /// Writes the explanation, whatever way the request ended.
  ~CompletionExchange();
  CompletionExchange(const CompletionExchange &) = delete;
  CompletionExchange &operator=(const CompletionExchange &) = delete;

  /// Sends the answer as events, as they come. A request that fails before its
  /// first token is answered by an error.
  asio::awaitable<void> replyStream(http::HttpReply &reply);

  /// Waits for the whole answer.
  asio::awaitable<void> replyWhole(http::HttpReply &reply);

private:
  /// The events of \p output and of all that came with it.
  std::string eventsFrom(const RunnerOutput &output);
  std::string eventsFor(const core::requests::DeliverToken &output);
  std::string eventsFor(const core::requests::RestartAnswer &output);
  std::string eventsFor(const core::requests::CompleteAnswer &output);
  std::string eventsFor(const core::requests::FailAnswer &output);
  AnswerUsage usage(uint64_t completionTokens) const;
  nlohmann::json explanation() const;

  std::shared_ptr<AdmissionPermit> Permit;
  std::unique_ptr<CompletionRunner> Runner;
  AnswerFormat Format;
  RequestJournal &Journal;
  std::optional<core::errors::RequestError> Error;
  bool Ended = false;
};

} // namespace orioletally::drivers::gateway

#endif
