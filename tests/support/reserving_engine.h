#ifndef ORIOLETALLY_TESTS_SUPPORT_RESERVING_ENGINE_H
#define ORIOLETALLY_TESTS_SUPPORT_RESERVING_ENGINE_H

#include "tests/support/relay_fixture.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace orioletally::tests {

/// A stand-in engine that reserves memory and reports its reservations.
class ReservingEngine {
public:
  /// Passes prompts to \p prompts, also those of the engines that it helps.
  explicit ReservingEngine(StandInBackend::Script prompts);

  const std::string &address() const { return Server.address(); }

  /// What reports say about the reservations that there are; "" for no report.
  void setState(std::string state);
  /// What reports say about the first reservation of each prompt instead.
  void setFirstState(std::string state);

  /// Number of reservations that were made, and of those that are left.
  int made() const;
  int left() const;
  /// For how long the longest reservation has lasted, or lasts so far.
  std::chrono::milliseconds longest() const;

private:
  using Clock = std::chrono::steady_clock;
  struct Reservation {
    Clock::time_point From;
    std::chrono::milliseconds Lasted{0};
    bool IsReleased = false;
  };

  bool serve(const lab::RawRequest &request, const lab::RawConnection &out,
             const StandInBackend::Script &prompts);
  std::string command(const std::string &body);
  std::string report() const;

  mutable std::mutex Guard;
  std::string State = "held";
  std::optional<std::string> FirstState;
  std::map<std::string, Reservation> Reservations;
  StandInBackend Server;
};

/// Gives the engines of \p fixture so little memory that a prompt of 60,000
/// tokens needs helpers, and the streaming routes \p timeoutMs.
void configureSmallEngines(RelayFixture &fixture, int version, int timeoutMs);

} // namespace orioletally::tests

#endif
