#ifndef ORIOLETALLY_CORE_LIMITS_READ_OVERRUNS_H
#define ORIOLETALLY_CORE_LIMITS_READ_OVERRUNS_H

#include <absl/time/time.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

namespace orioletally::core::limits {

/// Whose message went over a bound of its reader.
enum class ReadSource { Caller, StatusPage, BackendServer };
constexpr size_t ReadSourceCount = 3;

/// Which bound a message went over.
enum class ReadOverrun { Head, ChunkHeader, Trailers, Body, Time };
constexpr size_t ReadOverrunCount = 5;

/// Return the names in logs and metrics.
std::string_view readSourceName(ReadSource source);
std::string_view readOverrunName(ReadOverrun overrun);

/// Counts the messages that ended because they went over a bound of their
/// reader.
class ReadOverruns {
public:
  /// At most one overrun is reported in this time.
  static constexpr absl::Duration ReportInterval = absl::Seconds(10);

  /// Called with the overrun that is reported and with the number of all
  /// overruns so far.
  using Handler =
      std::function<void(ReadSource source, ReadOverrun overrun, uint64_t sum)>;

  void setHandler(Handler handler) { OnReport = std::move(handler); }

  /// Counts an overrun at \p now.
  void record(ReadSource source, ReadOverrun overrun, absl::Time now);

  uint64_t count(ReadSource source, ReadOverrun overrun) const {
    return Counts[static_cast<size_t>(source)][static_cast<size_t>(overrun)];
  }

private:
  std::array<std::array<uint64_t, ReadOverrunCount>, ReadSourceCount> Counts{};
  uint64_t Sum = 0;
  absl::Time ReportedAt = absl::InfinitePast();
  Handler OnReport;
};

} // namespace orioletally::core::limits

#endif
