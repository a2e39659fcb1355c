#ifndef ORIOLETALLY_CORE_FLEET_COLD_RETURNS_H
#define ORIOLETALLY_CORE_FLEET_COLD_RETURNS_H

#include <absl/time/time.h>
#include <map>
#include <string>

namespace orioletally::core::fleet {

/// Tells callers that were refused because of cold backend servers when to
/// return: one after the other, as fast as the limits allow.
class ColdReturns {
public:
  /// Returns the delay of the next refused caller of \p service.
  ///
  /// \p rate is the number of requests a second that this node may send to the
  /// service's cold backend servers, \p first when the next one may be sent,
  /// \p warmAt when the first backend server is no longer cold, and \p random a
  /// number from 0 to 1.
  absl::Duration next(const std::string &service, double rate, absl::Time first,
                      absl::Time warmAt, double random, absl::Time now);

private:
  /// By service, the end of the time that earlier callers will use.
  std::map<std::string, absl::Time> TakenUntil;
};

} // namespace orioletally::core::fleet

#endif
