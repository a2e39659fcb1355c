#ifndef ORIOLETALLY_CORE_MEMBERSHIP_MEMBER_H
#define ORIOLETALLY_CORE_MEMBERSHIP_MEMBER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace orioletally::core::membership {

/// The status of an entry node as another one sees it.
enum class MemberStatus {
  Alive,
  /// It didn't answer a probe; it can still refute the suspicion.
  Suspect,
  /// It didn't refute the suspicion in time.
  Dead,
  /// It announced its departure.
  Left,
};

/// Returns the name of \p status in status pages and logs.
std::string_view memberStatusName(MemberStatus status);

/// What an entry node publishes about itself.
struct Member {
  std::string Name;
  std::string Zone;
  std::string Region;
  /// "ip:port" for traffic between nodes.
  std::string PeerAddress;
  /// "ip:port" for requests of callers and operators.
  std::string HttpAddress;
  /// Grows with each start of the process.
  uint64_t Incarnation = 0;
  /// Grows each time the node refutes a suspicion or changes another field.
  uint64_t StateVersion = 0;
  /// Revision of the profiles that the node currently uses.
  uint64_t ProfileRevision = 0;
  /// Hash of those profiles, the same on all nodes that have the same ones.
  uint64_t ProfileHash = 0;
  /// Hash of the profile fields that the node's software version supports.
  uint64_t FieldsHash = 0;
  bool Draining = false;

  bool operator==(const Member &) const = default;
};

/// Returns whether \p one is newer than \p two; both must be of the same node.
bool isNewer(const Member &one, const Member &two);

/// A member and its status as one node sees it.
struct MemberView {
  Member Info;
  MemberStatus Status = MemberStatus::Alive;

  bool operator==(const MemberView &) const = default;
};

} // namespace orioletally::core::membership

#endif
