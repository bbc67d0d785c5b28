#include "filbertspar/base/src/codes.h"

#include <algorithm>
#include <array>

#include "filbertspar/base/src/assert.h"

namespace filbertspar {
namespace {

constexpr auto kTable = std::to_array<CodeInfo>({
    {Code::kOk, "ok", 200, 0, Outcome::kRan, "Success."},

    {Code::kUsage, "usage", 400, 2, Outcome::kNone,
     "The command line is wrong."},
    {Code::kSettingsFileMissing, "settings_file_missing", 500, 3,
     Outcome::kNone, "The settings file cannot be read."},
    {Code::kSettingsSyntax, "settings_syntax", 500, 3, Outcome::kNone,
     "The settings file is not valid INI."},
    {Code::kSettingsUnknownKey, "settings_unknown_key", 500, 3, Outcome::kNone,
     "The settings file has a key that does not exist."},
    {Code::kSettingsBadValue, "settings_bad_value", 500, 3, Outcome::kNone,
     "A setting is out of its range or of the wrong form."},
    {Code::kSettingsKeyMissing, "settings_key_missing", 500, 3, Outcome::kNone,
     "A setting without default is missing."},
    {Code::kListenFailed, "listen_failed", 500, 4, Outcome::kNone,
     "A listening address cannot be bound."},
    {Code::kStopBoundReached, "stop_bound_reached", 500, 5, Outcome::kNone,
     "The stop bound was reached with work still running."},
    {Code::kInternal, "internal", 500, 1, Outcome::kUnknown,
     "An internal error."},
    {Code::kHistoryViolated, "history_violated", 500, 6, Outcome::kNone,
     "A recorded history breaks an invariant."},

    {Code::kBadJson, "bad_json", 400, 10, Outcome::kNotRun,
     "The body is not valid JSON."},
    {Code::kBadField, "bad_field", 400, 10, Outcome::kNotRun,
     "A field is missing, unknown or of the wrong type."},
    {Code::kBodyTooLarge, "body_too_large", 413, 10, Outcome::kNotRun,
     "The body is larger than the limit."},
    {Code::kKeyMissing, "key_missing", 401, 11, Outcome::kNotRun,
     "The entry needs a team's key and none came with the request."},
    {Code::kKeyUnknown, "key_unknown", 401, 11, Outcome::kNotRun,
     "The key is not known."},
    {Code::kKeyRevoked, "key_revoked", 401, 11, Outcome::kNotRun,
     "The key was revoked."},
    {Code::kEntryUnknown, "entry_unknown", 404, 12, Outcome::kNotRun,
     "The catalogue has no such entry."},
    {Code::kEntryNotAllowed, "entry_not_allowed", 403, 11, Outcome::kNotRun,
     "The key's team may not use the entry."},
    {Code::kEntryWithdrawn, "entry_withdrawn", 410, 12, Outcome::kNotRun,
     "The entry was withdrawn."},
    {Code::kQueueFull, "queue_full", 429, 13, Outcome::kNotRun,
     "The team's queue of that class is full."},
    {Code::kDeadlineTooShort, "deadline_too_short", 429, 13, Outcome::kNotRun,
     "The work cannot start before its deadline."},
    {Code::kDeadlinePassed, "deadline_passed", 504, 13, Outcome::kNotRun,
     "The deadline passed while the work waited."},
    {Code::kNeverRunnable, "never_runnable", 422, 12, Outcome::kNotRun,
     "No worker of the pool can ever hold the work."},
    {Code::kCancelled, "cancelled", 409, 14, Outcome::kNotRun,
     "The caller cancelled the work before it started."},
    {Code::kNoWorker, "no_worker", 503, 15, Outcome::kNotRun,
     "No worker of the pool takes work now."},
    {Code::kRetryBudgetSpent, "retry_budget_spent", 503, 15, Outcome::kNotRun,
     "The pool's retry budget is spent and no attempt ran."},
    {Code::kUpstreamRefused, "upstream_refused", 503, 15, Outcome::kNotRun,
     "Every upstream tried refused the work."},
    {Code::kClaimStoreDown, "claim_store_down", 503, 15, Outcome::kNotRun,
     "The claim of a non-repeatable request cannot be written now."},
    {Code::kRequestKeyMissing, "request_key_missing", 400, 10, Outcome::kNotRun,
     "A non-repeatable request needs a request key."},
    {Code::kConfigStale, "config_stale", 503, 15, Outcome::kNotRun,
     "The configuration is older than the workspace's freshness bound."},
    {Code::kNoConfig, "no_config", 503, 15, Outcome::kNotRun,
     "No configuration is known yet."},
    {Code::kStopping, "stopping", 503, 15, Outcome::kNotRun,
     "The entry VM is stopping and takes no new work."},
    {Code::kTooManyRequests, "too_many_requests", 503, 13, Outcome::kNotRun,
     "The entry VM holds as many requests as its bound allows."},
    {Code::kUnknownPath, "unknown_path", 404, 10, Outcome::kNotRun,
     "There is no such path or method."},
    {Code::kJournalStoreDown, "journal_store_down", 503, 15, Outcome::kNotRun,
     "The job cannot be journalled now."},
    {Code::kSlowClient, "slow_client", 408, 10, Outcome::kNotRun,
     "The request did not arrive within the read bound."},
    {Code::kTeamAtCeiling, "team_at_ceiling", 429, 13, Outcome::kNotRun,
     "The team's ceiling allows no work."},
    {Code::kNoOwner, "no_owner", 503, 15, Outcome::kNotRun,
     "No VM owns the queue's jobs right now."},

    {Code::kTaskFailed, "task_failed", 502, 20, Outcome::kRan,
     "The task ran and reported a failure."},
    {Code::kOutcomeUnknown, "outcome_unknown", 502, 21, Outcome::kUnknown,
     "The work may have run; query the request later."},
    {Code::kRequestUnknown, "request_unknown", 404, 12, Outcome::kNone,
     "No request of that id is known here."},
    {Code::kStillRunning, "still_running", 202, 0, Outcome::kNone,
     "The work is running."},
    {Code::kWaiting, "waiting", 202, 0, Outcome::kNone, "The work waits."},
    {Code::kAlreadyClaimed, "already_claimed", 409, 21, Outcome::kUnknown,
     "The request key was used before and its answer is not known yet."},
    {Code::kStoppedByCancel, "stopped_by_cancel", 409, 14, Outcome::kRan,
     "The caller cancelled the work after it started and it was stopped."},

    {Code::kOperatorKeyMissing, "operator_key_missing", 401, 30, Outcome::kNone,
     "The call needs an operator's key."},
    {Code::kOperatorForbidden, "operator_forbidden", 403, 30, Outcome::kNone,
     "The operator's role does not allow the call."},
    {Code::kConfigConflict, "config_conflict", 409, 31, Outcome::kNone,
     "A newer configuration version is in force."},
    {Code::kConfigInvalid, "config_invalid", 422, 32, Outcome::kNone,
     "The configuration as changed is not valid."},
    {Code::kNotFound, "not_found", 404, 33, Outcome::kNone,
     "There is no such thing."},
    {Code::kChangeUnconfirmed, "change_unconfirmed", 503, 34, Outcome::kNone,
     "It is not known whether the change was committed."},
    {Code::kEntryUnreachable, "entry_unreachable", 503, 35, Outcome::kNone,
     "No entry process answers at the addresses given."},

    {Code::kPlatformDown, "platform_down", 503, 40, Outcome::kNone,
     "The platform cannot be reached."},
    {Code::kPlatformTimeout, "platform_timeout", 503, 40, Outcome::kNone,
     "The platform did not answer in time."},
    {Code::kPlatformConflict, "platform_conflict", 409, 41, Outcome::kNone,
     "A row has another version than expected."},
    {Code::kPlatformBadAnswer, "platform_bad_answer", 502, 40, Outcome::kNone,
     "The platform's answer cannot be read."},
    {Code::kPlatformUnsettled, "platform_unsettled", 503, 40, Outcome::kNone,
     "It is not known whether a write took effect."},
    {Code::kBreakerOpen, "breaker_open", 503, 40, Outcome::kNone,
     "The platform failed lately and is not asked now."},
    {Code::kRateBudgetSpent, "rate_budget_spent", 503, 40, Outcome::kNone,
     "The node's table rate budget is spent."},

    {Code::kFrameTooLarge, "frame_too_large", 400, 50, Outcome::kNone,
     "A frame is larger than the limit."},
    {Code::kFrameBadMac, "frame_bad_mac", 400, 50, Outcome::kNone,
     "A frame's authentication code does not match."},
    {Code::kFrameBadPayload, "frame_bad_payload", 400, 50, Outcome::kNone,
     "A frame's payload cannot be verified."},
    {Code::kPeerSilent, "peer_silent", 504, 50, Outcome::kNone,
     "A peer is silent on every connection."},
    {Code::kPeerUnknown, "peer_unknown", 404, 50, Outcome::kNone,
     "No such peer is known."},

    {Code::kBudgetWouldBreak, "budget_would_break", 409, 60, Outcome::kNone,
     "An availability budget does not allow the change now."},
    {Code::kVmUnknown, "vm_unknown", 404, 61, Outcome::kNone,
     "The fleet has no such VM."},
    {Code::kVmWrongState, "vm_wrong_state", 409, 62, Outcome::kNone,
     "The VM's state does not allow the change."},
    {Code::kNotLeaseHolder, "not_lease_holder", 409, 63, Outcome::kNone,
     "The actor does not hold the duty's lease."},
    {Code::kDrainTimedOut, "drain_timed_out", 504, 64, Outcome::kNone,
     "Work was still running when the drain bound was reached."},
    {Code::kWaveBlocked, "wave_blocked", 409, 60, Outcome::kNone,
     "The wave cannot proceed within its budgets."},
    {Code::kMoveRefused, "move_refused", 409, 60, Outcome::kNone,
     "The move would break a budget or undo a recent move."},
    {Code::kVerifyFailed, "verify_failed", 500, 65, Outcome::kNone,
     "The VM did not pass verification after its reboot."},
});

static_assert(std::is_sorted(kTable.begin(), kTable.end(),
                             [](const CodeInfo& a, const CodeInfo& b) {
                               return a.m_code < b.m_code;
                             }));

const CodeInfo* Find(int number) {
  const auto* found =
      std::lower_bound(kTable.begin(), kTable.end(), number,
                       [](const CodeInfo& info, int wanted) {
                         return static_cast<int>(info.m_code) < wanted;
                       });
  if (found == kTable.end() || static_cast<int>(found->m_code) != number) {
    return nullptr;
  }
  return found;
}

}  // namespace

std::span<const CodeInfo> CodeTable() { return kTable; }

const CodeInfo& Describe(Code code) {
  const CodeInfo* info = Find(static_cast<int>(code));
  FS_ASSERT(info != nullptr, "every result code has a line in the table");
  return *info;
}

std::optional<Code> CodeFromNumber(int number) {
  const CodeInfo* info = Find(number);
  if (info == nullptr) {
    return std::nullopt;
  }
  return info->m_code;
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      return "ran";
    case Outcome::kNotRun:
      return "not run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kNone:
      return "none";
  }
  return "none";
}

}  // namespace filbertspar
