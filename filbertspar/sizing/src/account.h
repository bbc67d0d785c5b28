#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "filbertspar/base/base.h"
#include "filbertspar/json/json.h"

namespace filbertspar {

inline constexpr std::string_view kAccountTable = "account";

/// \brief A drain or move that reached a team's running work.
struct WorkTouch {
  VmName m_vm;
  /// "drain", "move", "checkpoint" or "stop".
  std::string m_what = {};
  std::int64_t m_tasks = 0;

  friend bool operator==(const WorkTouch&, const WorkTouch&) = default;
};

/// \brief Row `account/HOUR:TEAM`, HOUR in hours of UTC since 1970; amounts in
/// slot-seconds.
struct AccountRow {
  std::int64_t m_hour = 0;
  TeamName m_team;
  /// Weighted max-min share of what the team asked for.
  double m_owed = 0;
  double m_got = 0;
  /// Share by weight that the team left and others used, and what the team
  /// used above its own share by weight.
  double m_lent = 0;
  double m_borrowed = 0;
  std::vector<WorkTouch> m_touches = {};
  /// Touches beyond the bound of the list.
  std::int64_t m_more_touches = 0;

  friend bool operator==(const AccountRow&, const AccountRow&) = default;
};

/// \brief Touches that one row lists; more are only counted, so that a row
/// stays small.
inline constexpr std::size_t kMaxTouches = 64;

std::string KeyOf(const AccountRow& row);
JsonObject ToJson(const AccountRow& row);
absl::Status FromJson(const JsonObject& object, AccountRow& out);

/// \brief Use of one team at one moment, in slots.
struct TeamUse {
  TeamName m_team;
  double m_weight = 1;
  double m_running = 0;
  double m_waiting = 0;
};

/// \brief Weighted max-min shares of `capacity` for what each team asks.
/// No share exceeds its demand; what a team leaves goes to the others by
/// weight.
std::vector<double> MaxMinShares(double capacity,
                                 const std::vector<TeamUse>& teams);

/// \brief Increments of the account that are not written yet.
struct Account {
  std::map<std::pair<std::int64_t, TeamName>, AccountRow> m_rows;
};

/// \brief Adds what each team was owed and got during `elapsed` before `now`,
/// which is UTC.
void Accrue(Account& account, TimePoint now, Duration elapsed, double capacity,
            const std::vector<TeamUse>& teams);

void RecordTouch(Account& account, TimePoint now, const TeamName& team,
                 WorkTouch touch);

/// \brief Increments to add to the table's rows; the account is empty after.
/// Put them back with Merge when the write certainly had no effect.
std::vector<AccountRow> TakeIncrements(Account& account);

/// \brief Adds an increment of the same hour and team to a row.
void Merge(AccountRow& row, const AccountRow& increment);
void PutBack(Account& account, const std::vector<AccountRow>& increments);

}  // namespace filbertspar
