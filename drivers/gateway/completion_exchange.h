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

/// Sends the outputs of one CompletionRunner to the caller, as one answer or as
/// a stream of events, and records the request's explanation in the journal.
class CompletionExchange {
public:
  CompletionExchange(std::shared_ptr<AdmissionPermit> permit,
                     std::unique_ptr<CompletionRunner> runner,
                     AnswerFormat format, RequestJournal &journal);

  /// Records the explanation, however the request ended.
  ~CompletionExchange();
  CompletionExchange(const CompletionExchange &) = delete;
  CompletionExchange &operator=(const CompletionExchange &) = delete;

  /// Streams the answer as server-sent events. A request that fails before its
  /// first token gets an error response instead of a stream.
  asio::awaitable<void> replyStream(http::HttpReply &reply);

  /// Waits for the end of the answer and sends it in one response.
  asio::awaitable<void> replyWhole(http::HttpReply &reply);

private:
  /// Formats \p first and all further outputs that are already available, so
  /// that they go out in one write.
  std::string batchedEvents(const RunnerOutput &first);
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
