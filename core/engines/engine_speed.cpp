#include "core/engines/engine_speed.h"

#include <algorithm>

namespace orioletally::core::engines {

namespace {
constexpr double PairsInMillion = 1e6;
constexpr double TokensInThousand = 1e3;
} // namespace

absl::Duration prefillTime(const EngineSpeed &speed, int64_t tokens,
                           int64_t prompt) {
  const auto n = static_cast<double>(tokens);
  // A prompt of N tokens has N*N/2 pairs; a part has a proportional share.
  const double pairs = n * static_cast<double>(prompt) / 2;
  return absl::Seconds(n / speed.PrefillTokensPerSecond) +
         pairs / PairsInMillion * speed.TimePerMillionPairs;
}

absl::Duration passTime(const EngineSpeed &speed, int64_t decoding,
                        int64_t contextTokens) {
  if (decoding == 0)
    return speed.Step;
  const absl::Duration step =
      speed.Step +
      static_cast<double>(decoding) * speed.StepPerDecodingRequest +
      static_cast<double>(contextTokens) / TokensInThousand *
          speed.StepPerThousandContext;
  return static_cast<double>(speed.StepsPerPass) * step;
}

int64_t partTokens(int64_t promptTokens, size_t helpers) {
  const auto parts = static_cast<int64_t>(helpers) + 1;
  return (promptTokens + parts - 1) / parts;
}

int64_t passTokens(const EngineSpeed &speed) {
  return speed.ChunkTokens * speed.StepsPerPass;
}

absl::Duration prefillPause(const EngineSpeed &speed, int64_t tokens,
                            int64_t prompt) {
  return passTime(speed, 1, 0) +
         prefillTime(speed, std::min(tokens, passTokens(speed)), prompt);
}

} // namespace orioletally::core::engines
