#include "main/operator_client.h"

#include "drivers/http/http_exchange.h"

#include <fmt/format.h>
#include <utility>

namespace leaf = boost::leaf;

namespace orioletally::main {

namespace {
constexpr absl::Duration ConnectTimeout = absl::Seconds(2);
} // namespace

OperatorClient::OperatorClient(std::string address, std::string token,
                               absl::Duration timeout)
    : Address(std::move(address)), Token(std::move(token)), Timeout(timeout) {}

leaf::result<OperatorAnswer>
OperatorClient::call(OperatorRequest request) const {
  drivers::http::ExchangeRequest exchange;
  exchange.Address = Address;
  exchange.Method = std::move(request.Method);
  exchange.Path = std::move(request.Path);
  exchange.Body = std::move(request.Body);
  exchange.Headers = std::move(request.Headers);
  exchange.Headers.emplace("Authorization", fmt::format("Bearer {}", Token));
  exchange.ConnectTimeout = ConnectTimeout;
  std::string body;
  const drivers::http::ExchangeResult result =
      drivers::http::runExchange(std::move(exchange), Timeout, body);
  if (!result.Complete)
    return leaf::new_error(ClientError{
        fmt::format("{}: {}", Address, result.Error), result.Written});
  OperatorAnswer answer;
  answer.Status = result.Status;
  answer.Body = nlohmann::json::parse(body, nullptr, false);
  const auto tag = result.Headers.find("ETag");
  if (tag != result.Headers.end())
    answer.EntityTag = tag->second;
  return answer;
}

} // namespace orioletally::main
