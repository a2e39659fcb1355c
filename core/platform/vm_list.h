#ifndef ORIOLETALLY_CORE_PLATFORM_VM_LIST_H
#define ORIOLETALLY_CORE_PLATFORM_VM_LIST_H

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace orioletally::core::platform {

/// What runs on a VM.
enum class VmRole { Engine, Service, Entry };

/// One line of the platform's list, which lags behind the truth.
struct Vm {
  std::string Id;
  VmRole Role = VmRole::Engine;
  std::string Zone;
  /// "ip:port" of the program on the VM.
  std::string Address;
  bool Leaving = false;
  /// Plain service that runs there; empty for other roles.
  std::string Service;
  /// Model that an engine has loaded.
  std::string Model;
  /// KV memory of an engine, in tokens.
  int64_t MemoryTokens = 0;
  /// Prefill speed of an engine, in tokens per second.
  int64_t PrefillRate = 0;
  /// Whether an engine refuses orders with an old fencing number.
  bool ChecksFencing = false;
};

/// A call to the VM list failed.
struct VmListError {
  std::string Detail;
};

/// The platform's list of live and leaving VMs.
class VmList {
public:
  virtual ~VmList() = default;

  virtual boost::leaf::result<std::vector<Vm>> fetch() = 0;
};

} // namespace orioletally::core::platform

#endif
