#ifndef ORIOLETALLY_CORE_CLAIMS_CLAIM_LEDGER_H
#define ORIOLETALLY_CORE_CLAIMS_CLAIM_LEDGER_H

#include "core/platform/table_service.h"

#include <absl/time/time.h>
#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace orioletally::core::claims {

/// How far a claimed call has come, as its row in the table says.
enum class ClaimState {
  /// Its owner may have sent the call.
  Claimed,
  /// The backend server answered; the answer is in the row.
  Answered,
  /// Its owner states that it never sent the call and never will.
  Released,
};

/// Returns the stored name of \p state.
std::string_view claimStateName(ClaimState state);

/// The answer of a claimed call, kept for repeats.
struct ClaimAnswer {
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Names a call that runs at most once.
struct ClaimName {
  std::string Workspace;
  std::string Key;
  /// Hash of what is called with which body; a key that returns with another
  /// call is a mistake of the caller's.
  uint64_t CallDigest = 0;
};

/// The caller of claim() owns the call and may send it once.
struct ClaimGranted {
  uint64_t Version = 0;
};
/// The call was answered before.
struct ClaimAnswered {
  ClaimAnswer Answer;
};
/// The call was claimed before and its outcome isn't known.
struct ClaimPending {
  std::string Owner;
};
/// The key was used before for another call.
struct ClaimKeyReused {};

using ClaimResult =
    std::variant<ClaimGranted, ClaimAnswered, ClaimPending, ClaimKeyReused>;

/// Keeps the claims of unrepeatable calls in the platform's table, one row a
/// key. Of all that ask for a key, on any node, at most one is ever granted it,
/// unless that one states that it never sent the call.
class ClaimLedger {
public:
  explicit ClaimLedger(platform::TableService &service);

  /// Asks for the right to send. \p token must be unlike that of any other
  /// try; it tells this node's own write from another's after a lost answer.
  boost::leaf::result<ClaimResult> claim(const ClaimName &name,
                                         const std::string &owner,
                                         const std::string &token);

  /// Records the answer so that a repeat gets the same. The claim stands
  /// whether or not this works.
  boost::leaf::result<void> recordAnswer(const ClaimName &name,
                                         const std::string &owner,
                                         const std::string &token,
                                         const ClaimGranted &granted,
                                         const ClaimAnswer &answer);

  /// States that the call was never sent, so that a repeat may run.
  boost::leaf::result<void> release(const ClaimName &name,
                                    const std::string &owner,
                                    const std::string &token,
                                    const ClaimGranted &granted);

private:
  boost::leaf::result<void> replace(const ClaimName &name,
                                    const ClaimGranted &granted,
                                    std::string value);

  platform::TableService &Table;
};

/// Tells whether the owner of a claim may still send. A node that was frozen
/// after it claimed must not act on the claim when it wakes.
bool maySend(absl::Time claimRequestedAt, absl::Duration maxAge,
             absl::Time deadline, absl::Time now);

} // namespace orioletally::core::claims

#endif
