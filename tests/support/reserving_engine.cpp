#include "tests/support/reserving_engine.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace orioletally::tests {

using nlohmann::json;

ReservingEngine::ReservingEngine(StandInBackend::Script prompts)
    : Server(
          [this, prompts = std::move(prompts)](const lab::RawRequest &request,
                                               const lab::RawConnection &out) {
            return serve(request, out, prompts);
          }) {}

void ReservingEngine::setState(std::string state) {
  const std::lock_guard lock(Guard);
  State = std::move(state);
}

void ReservingEngine::setFirstState(std::string state) {
  const std::lock_guard lock(Guard);
  FirstState = std::move(state);
}

int ReservingEngine::made() const {
  const std::lock_guard lock(Guard);
  return static_cast<int>(Reservations.size());
}

int ReservingEngine::left() const {
  const std::lock_guard lock(Guard);
  return static_cast<int>(
      std::count_if(Reservations.begin(), Reservations.end(),
                    [](const auto &it) { return !it.second.IsReleased; }));
}

std::chrono::milliseconds ReservingEngine::longest() const {
  const std::lock_guard lock(Guard);
  std::chrono::milliseconds longest{0};
  for (const auto &[id, it] : Reservations)
    longest = std::max(
        longest, it.IsReleased
                     ? it.Lasted
                     : std::chrono::duration_cast<std::chrono::milliseconds>(
                           Clock::now() - it.From));
  return longest;
}

bool ReservingEngine::serve(const lab::RawRequest &request,
                            const lab::RawConnection &out,
                            const StandInBackend::Script &prompts) {
  const bool isReport = request.Target.find("report") != std::string::npos;
  if (!isReport && request.Target.find("order") == std::string::npos)
    return prompts(request, out);
  const std::string body = isReport ? report() : command(request.Body);
  out.write(fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}",
                        body.empty() ? 503 : 200, body.size(), body));
  return true;
}

std::string ReservingEngine::command(const std::string &body) {
  const std::lock_guard lock(Guard);
  const json order = json::parse(body);
  const auto now = Clock::now();
  const auto [at, isNew] = Reservations.try_emplace(order["id"]);
  Reservation &it = at->second;
  if (isNew)
    it.From = now;
  if (order["operation"] == "release" && !it.IsReleased) {
    it.IsReleased = true;
    it.Lasted =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - it.From);
  }
  return "{}";
}

std::string ReservingEngine::report() const {
  const std::lock_guard lock(Guard);
  if (State.empty())
    return "";
  json tickets = json::array();
  for (const auto &[id, it] : Reservations)
    if (!it.IsReleased)
      tickets.push_back(
          {{"id", id},
           {"tokens", 1},
           {"state", id.ends_with("-0") ? FirstState.value_or(State) : State},
           {"age_ms", 1}});
  return json{{"stage", "colocated"}, {"tickets", tickets}}.dump();
}

void configureSmallEngines(RelayFixture &fixture, int version, int timeoutMs) {
  json config = json::parse(fixture.Store.value("op", "config"));
  for (json &it : config["services"])
    if (it["name"] == "engine")
      it["engine"]["kv_capacity"] = 40'000;
  for (json &it : config["routes"])
    if (it["kind"] == "streaming")
      it["timeout_ms"] = timeoutMs;
  config["version"] = version;
  fixture.Store.put("op", "config", config.dump());
}

} // namespace orioletally::tests
