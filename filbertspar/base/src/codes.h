#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace filbertspar {

/// \brief Numbered result codes; docs/codes.md lists them, checked by a test.
/// 100-199 settings and command line, 200-299 refused and not run, 300-399 ran
/// and failed or unknown, 400-499 administration, 500-599 platform, 600-699
/// peers, 700-799 fleet.
enum class Code : std::uint16_t {
  kOk = 0,

  kUsage = 100,
  kSettingsFileMissing = 101,
  kSettingsSyntax = 102,
  kSettingsUnknownKey = 103,
  kSettingsBadValue = 104,
  kSettingsKeyMissing = 105,
  kListenFailed = 106,
  kStopBoundReached = 107,
  kInternal = 108,
  kHistoryViolated = 109,

  kBadJson = 200,
  kBadField = 201,
  kBodyTooLarge = 202,
  kKeyMissing = 203,
  kKeyUnknown = 204,
  kKeyRevoked = 205,
  kEntryUnknown = 206,
  kEntryNotAllowed = 207,
  kEntryWithdrawn = 208,
  kQueueFull = 209,
  kDeadlineTooShort = 210,
  kDeadlinePassed = 211,
  kNeverRunnable = 212,
  kCancelled = 213,
  kNoWorker = 214,
  kRetryBudgetSpent = 215,
  kUpstreamRefused = 216,
  kClaimStoreDown = 217,
  kRequestKeyMissing = 218,
  kConfigStale = 219,
  kNoConfig = 220,
  kStopping = 221,
  kTooManyRequests = 222,
  kUnknownPath = 223,
  kJournalStoreDown = 224,
  kSlowClient = 225,
  kTeamAtCeiling = 226,
  kNoOwner = 227,

  kTaskFailed = 300,
  kOutcomeUnknown = 301,
  kRequestUnknown = 302,
  kStillRunning = 303,
  kWaiting = 304,
  kAlreadyClaimed = 305,
  kStoppedByCancel = 306,

  kOperatorKeyMissing = 400,
  kOperatorForbidden = 401,
  kConfigConflict = 402,
  kConfigInvalid = 403,
  kNotFound = 404,
  kChangeUnconfirmed = 405,
  kEntryUnreachable = 406,

  kPlatformDown = 500,
  kPlatformTimeout = 501,
  kPlatformConflict = 502,
  kPlatformBadAnswer = 503,
  kPlatformUnsettled = 504,
  kBreakerOpen = 505,
  kRateBudgetSpent = 506,

  kFrameTooLarge = 600,
  kFrameBadMac = 601,
  kFrameBadPayload = 602,
  kPeerSilent = 603,
  kPeerUnknown = 604,

  kBudgetWouldBreak = 700,
  kVmUnknown = 701,
  kVmWrongState = 702,
  kNotLeaseHolder = 703,
  kDrainTimedOut = 704,
  kWaveBlocked = 705,
  kMoveRefused = 706,
  kVerifyFailed = 707,
};

/// \brief What a code means for the request it answers.
enum class Outcome : std::uint8_t { kRan, kNotRun, kUnknown, kNone };

/// \brief One line of the result code table.
struct CodeInfo {
  Code m_code;
  std::string_view m_name;
  /// HTTP status of an answer that carries the code.
  int m_http_status;
  /// Exit code of a program that ends with the code.
  int m_exit_code;
  Outcome m_outcome;
  std::string_view m_text;
};

/// \brief All codes in ascending order.
std::span<const CodeInfo> CodeTable();

/// \brief The table line of a code.
const CodeInfo& Describe(Code code);

/// \brief The code of a number, if there is one.
std::optional<Code> CodeFromNumber(int number);

/// \brief "ran", "not run", "unknown" or "none".
std::string_view OutcomeName(Outcome outcome);

}  // namespace filbertspar
