#ifndef ORIOLETALLY_CORE_MEMBERSHIP_MEMBER_H
#define ORIOLETALLY_CORE_MEMBERSHIP_MEMBER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace orioletally::core::membership {

/// What is believed of an entry node.
enum class MemberStatus {
  Alive,
  /// It missed a probe; it may still refute that.
  Suspect,
  /// It missed its time to refute.
  Dead,
  /// It said itself that it leaves.
  Left,
};

/// Returns the name of \p status in status pages and logs.
std::string_view memberStatusName(MemberStatus status);

/// What an entry node says of itself.
struct Member {
  std::string Name;
  std::string Zone;
  std::string Region;
  /// "ip:port" for traffic between nodes.
  std::string PeerAddress;
  /// "ip:port" for callers and operators.
  std::string HttpAddress;
  /// Grows with each start of the process.
  uint64_t Incarnation = 0;
  /// Grows each time the node refutes a suspicion or changes what it says.
  uint64_t StateVersion = 0;
  /// Revision of the profiles that the node has in force.
  uint64_t ProfileRevision = 0;
  /// Hash of those profiles, equal on nodes that agree.
  uint64_t ProfileHash = 0;
  /// Hash of the profile fields that the node's version can read.
  uint64_t FieldsHash = 0;
  bool Draining = false;

  bool operator==(const Member &) const = default;
};

/// Whether \p one was said after \p two by the same node.
bool isNewer(const Member &one, const Member &two);

/// A member as one node believes it to be.
struct MemberView {
  Member Info;
  MemberStatus Status = MemberStatus::Alive;

  bool operator==(const MemberView &) const = default;
};

} // namespace orioletally::core::membership

#endif
