#include "drivers/relay/message_parts.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace orioletally::drivers::relay {

namespace {

using boost::algorithm::iequals;

constexpr double MillisecondsPerSecond = 1000.0;
constexpr int StatusBadGateway = 502;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;

constexpr std::array<std::string_view, 10> HopByHopNames = {
    "Connection",       "Keep-Alive",
    "Proxy-Connection", "Transfer-Encoding",
    "Content-Length",   "TE",
    "Trailer",          "Upgrade",
    "Expect",           "Proxy-Authorization"};

} // namespace

std::vector<core::relay::HeaderView> headerViews(const bhttp::fields &fields) {
  std::vector<core::relay::HeaderView> result;
  for (const auto &it : fields)
    result.push_back({view(it.name_string()), view(it.value())});
  return result;
}

bool isHopByHop(std::string_view name, std::string_view connection) {
  for (const std::string_view it : HopByHopNames)
    if (iequals(name, it))
      return true;
  if (connection.empty())
    return false;
  const bhttp::token_list listed({connection.data(), connection.size()});
  return std::any_of(listed.begin(), listed.end(), [&](beast::string_view it) {
    return iequals(view(it), name);
  });
}

bool impliesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

int answerStatus(const core::errors::RequestError &error) {
  const int status = core::errors::httpStatus(error.Code);
  if (impliesNotExecuted(status) && error.Run != core::errors::RunState::NotRun)
    return StatusBadGateway;
  return status;
}

bhttp::response<bhttp::string_body>
errorResponse(const core::errors::RequestError &error,
              std::string_view attemptId, const core::relay::CallCodec &codec) {
  bhttp::response<bhttp::string_body> response;
  response.version(11);
  response.result(static_cast<unsigned>(answerStatus(error)));
  response.set(bhttp::field::content_type, "application/json");
  for (const auto &[name, value] : codec.encodeOwnAnswer(attemptId))
    response.set(name, value);
  if (error.RetryAfterMs > 0)
    response.set(bhttp::field::retry_after,
                 fmt::format("{:.3f}", static_cast<double>(error.RetryAfterMs) /
                                           MillisecondsPerSecond));
  response.body() =
      nlohmann::json{{"error",
                      {{"code", core::errors::errorCodeName(error.Code)},
                       {"message", error.Message},
                       {"run", core::errors::runStateName(error.Run)},
                       {"rule", error.Rule},
                       {"request_id", attemptId}}}}
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  response.prepare_payload();
  return response;
}

void omitBodyForHead(bhttp::response<bhttp::string_body> &answer,
                     bhttp::verb method) {
  if (method == bhttp::verb::head)
    answer.body().clear();
}

bool isBodiless(bhttp::verb method, int status) {
  return method == bhttp::verb::head || status == StatusNoContent ||
         status == StatusNotModified;
}

absl::Duration keepAliveTime(const bhttp::fields &answer) {
  constexpr std::string_view Key = "timeout=";
  const std::string_view value = view(answer[bhttp::field::keep_alive]);
  const size_t n = value.find(Key);
  if (n == std::string_view::npos)
    return absl::ZeroDuration();
  const std::string_view digits = value.substr(n + Key.size());
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return absl::Seconds(seconds);
}

bool isEventStream(const bhttp::fields &answer) {
  const auto type = answer.find(bhttp::field::content_type);
  return type == answer.end() || boost::algorithm::istarts_with(
                                     view(type->value()), "text/event-stream");
}

bool canContinueStream(const bhttp::response_header<> &answer) {
  return answer.result() == bhttp::status::ok && isEventStream(answer);
}

bool isProtocolError(const boost::system::error_code &ec) {
  return ec.category() ==
             make_error_code(bhttp::error::bad_version).category() &&
         ec != bhttp::error::end_of_stream &&
         ec != bhttp::error::partial_message;
}

} // namespace orioletally::drivers::relay
