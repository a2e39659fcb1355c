#ifndef ORIOLETALLY_DRIVERS_PLATFORM_HTTP_VM_LIST_H
#define ORIOLETALLY_DRIVERS_PLATFORM_HTTP_VM_LIST_H

#include "core/platform/vm_list.h"

#include <absl/time/time.h>
#include <string>

namespace orioletally::drivers::platform {

/// Reads the platform's VM list over HTTP.
class HttpVmList : public core::platform::VmList {
public:
  /// \p address is "ip:port" or "name:port". Each call ends within \p timeout.
  HttpVmList(std::string address, absl::Duration timeout);

  boost::leaf::result<std::vector<core::platform::Vm>> fetch() override;

private:
  std::string Address;
  absl::Duration Timeout;
};

} // namespace orioletally::drivers::platform

#endif
