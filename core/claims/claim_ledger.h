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

/// The state of a claimed call in its table row.
enum class ClaimState {
  /// The owner may have sent the call.
  Claimed,
  /// The backend server answered; the row contains the answer.
  Answered,
  /// The owner guarantees that it never sent the call and never will.
  Released,
};

/// Returns the stored name of \p state.
std::string_view claimStateName(ClaimState state);

/// The answer to a claimed call, stored to be returned for repeated requests.
struct ClaimAnswer {
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// Identifies a call that may be executed at most once.
struct ClaimName {
  std::string Workspace;
  std::string Key;
  /// Hash of the target and the body of the call. Using a key again for another
  /// call is an error of the caller.
  uint64_t CallDigest = 0;
};

/// The caller of claim() owns the call and may send it once. `Version` is the
/// version of the claim's row.
struct ClaimGranted {
  uint64_t Version = 0;
};
/// The call was answered before.
struct ClaimAnswered {
  ClaimAnswer Answer;
};
/// The call is already claimed and its outcome isn't known.
struct ClaimPending {
  std::string Owner;
};
/// The key was already used for another call.
struct ClaimKeyReused {};

using ClaimResult =
    std::variant<ClaimGranted, ClaimAnswered, ClaimPending, ClaimKeyReused>;

/// Stores claims on calls that must not be repeated in the platform's table,
/// one row per idempotency key. Of all claims on a key, on any node, at most
/// one is ever granted, unless its owner releases it because it never sent the
/// call.
class ClaimLedger {
public:
  explicit ClaimLedger(platform::TableService &service);

  /// Requests the right to send the call. \p token must be unique to this
  /// request; after a lost answer it distinguishes this node's write from
  /// another's.
  boost::leaf::result<ClaimResult> claim(const ClaimName &name,
                                         const std::string &owner,
                                         const std::string &token);

  /// Stores the answer, so that repeated requests get the same one. The claim
  /// stays valid even if this fails.
  boost::leaf::result<void> recordAnswer(const ClaimName &name,
                                         const std::string &owner,
                                         const std::string &token,
                                         const ClaimGranted &granted,
                                         const ClaimAnswer &answer);

  /// Releases the claim of a call that was never sent, so that a repeated
  /// request may execute.
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

/// Returns whether the owner of a claim that was requested at
/// \p claimRequestedAt may still send the call: the claim must be at most
/// \p maxAge old and \p deadline in the future. A node that was frozen after
/// its claim must not use it afterwards.
bool maySend(absl::Time claimRequestedAt, absl::Duration maxAge,
             absl::Time deadline, absl::Time now);

} // namespace orioletally::core::claims

#endif
