#ifndef ORIOLETALLY_CORE_PLATFORM_VM_LIST_H
#define ORIOLETALLY_CORE_PLATFORM_VM_LIST_H

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace orioletally::core::platform {

/// The kind of program that runs on a VM.
enum class VmRole { Engine, Service, Entry };

/// An entry of the platform's VM list, which can be out of date.
struct Vm {
  std::string Id;
  VmRole Role = VmRole::Engine;
  std::string Zone;
  /// "ip:port" of the program on the VM.
  std::string Address;
  bool Leaving = false;
  /// Name of the plain service; empty for other roles.
  std::string Service;
  /// Model that the engine has loaded.
  std::string Model;
  /// Capacity of the engine's KV cache, in tokens.
  int64_t MemoryTokens = 0;
  /// Prefill speed of the engine, in tokens per second.
  int64_t PrefillTokensPerSecond = 0;
  /// Whether the engine rejects commands with an outdated fencing token.
  bool ChecksFencing = false;
};

/// A call to the VM list failed.
struct VmListError {
  std::string Detail;
};

/// The platform's list of VMs that are running or leaving.
class VmList {
public:
  virtual ~VmList() = default;

  virtual boost::leaf::result<std::vector<Vm>> fetch() = 0;
};

} // namespace orioletally::core::platform

#endif
