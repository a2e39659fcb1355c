#ifndef ORIOLETALLY_DRIVERS_GATEWAY_COMPLETION_EXCHANGE_H
#define ORIOLETALLY_DRIVERS_GATEWAY_COMPLETION_EXCHANGE_H

#include "drivers/gateway/answer_format.h"
#include "drivers/gateway/completion_runner.h"
#include "drivers/gateway/request_journal.h"

#include <httplib.h>
#include <memory>
#include <optional>
#include <string>

namespace orioletally::drivers::gateway {

/// Carries the outputs of one CompletionRunner to the caller, whole or as a
/// stream of events, and leaves the explanation in the journal.
class CompletionExchange
    : public std::enable_shared_from_this<CompletionExchange> {
public:
  CompletionExchange(std::shared_ptr<GateTicket> held,
                     std::unique_ptr<CompletionRunner> started,
                     AnswerFormat shape, RequestJournal &target);

  /// Writes the explanation, whatever way the request ended.
  ~CompletionExchange();
  CompletionExchange(const CompletionExchange &) = delete;
  CompletionExchange &operator=(const CompletionExchange &) = delete;

  /// Waits for the first output and sets up \p response to send the rest.
  void replyStream(httplib::Response &response);

  /// Waits for the whole answer.
  void replyWhole(httplib::Response &response);

private:
  bool writeSome(httplib::DataSink &sink);
  std::string take(const core::requests::DeliverToken &output);
  std::string take(const core::requests::RestartAnswer &output);
  std::string take(const core::requests::CompleteAnswer &output);
  std::string take(const core::requests::FailAnswer &output);
  AnswerUsage usage(uint64_t completionTokens) const;
  nlohmann::json explanation() const;

  std::shared_ptr<GateTicket> Ticket;
  std::unique_ptr<CompletionRunner> Runner;
  AnswerFormat Format;
  RequestJournal &Journal;
  std::optional<RunnerOutput> First;
  std::optional<core::errors::RequestError> Error;
  bool Ended = false;
};

} // namespace orioletally::drivers::gateway

#endif
