#include "filbertspar/sizing/src/account.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

constexpr double kMostSlotSeconds = 1e12;
constexpr std::int64_t kMostTasks = 1'000'000;

std::int64_t HourOf(TimePoint now) {
  return ToMilliseconds(now.time_since_epoch()) / 3'600'000;
}

AccountRow& RowOf(Account& account, TimePoint now, const TeamName& team) {
  const std::int64_t hour = HourOf(now);
  AccountRow& row = account.m_rows[{hour, team}];
  row.m_hour = hour;
  row.m_team = team;
  return row;
}

void AddTouch(AccountRow& row, const WorkTouch& touch) {
  for (WorkTouch& known : row.m_touches) {
    if (known.m_vm == touch.m_vm && known.m_what == touch.m_what) {
      known.m_tasks += touch.m_tasks;
      return;
    }
  }
  if (row.m_touches.size() < kMaxTouches) {
    row.m_touches.push_back(touch);
  } else {
    ++row.m_more_touches;
  }
}

absl::Status TouchFromJson(const Json& json, WorkTouch& out) {
  if (!json.is_object()) {
    return Error(Code::kBadField, "account: expected a list of objects");
  }
  FieldReader reader(json.as_object(), "touch");
  reader.Read("vm", out.m_vm);
  reader.Read("what", out.m_what);
  reader.Read("tasks", out.m_tasks, IntRange{0, kMostTasks});
  return reader.Finish();
}

}  // namespace

std::string KeyOf(const AccountRow& row) {
  return absl::StrCat(row.m_hour, ":", row.m_team.Value());
}

JsonObject ToJson(const AccountRow& row) {
  JsonArray touches;
  for (const WorkTouch& touch : row.m_touches) {
    touches.push_back(JsonObject{{"vm", touch.m_vm.Value()},
                                 {"what", touch.m_what},
                                 {"tasks", touch.m_tasks}});
  }
  return {{"hour", row.m_hour},
          {"team", row.m_team.Value()},
          {"owed", row.m_owed},
          {"got", row.m_got},
          {"lent", row.m_lent},
          {"borrowed", row.m_borrowed},
          {"touches", std::move(touches)},
          {"more_touches", row.m_more_touches}};
}

absl::Status FromJson(const JsonObject& object, AccountRow& out) {
  FieldReader reader(object, "account");
  reader.Read("hour", out.m_hour, IntRange{});
  reader.Read("team", out.m_team);
  reader.Read("owed", out.m_owed, 0.0, kMostSlotSeconds);
  reader.Read("got", out.m_got, 0.0, kMostSlotSeconds);
  reader.Read("lent", out.m_lent, 0.0, kMostSlotSeconds);
  reader.Read("borrowed", out.m_borrowed, 0.0, kMostSlotSeconds);
  reader.ReadOptional("more_touches", out.m_more_touches, IntRange{});
  const Json* touches = reader.Find("touches");
  if (touches != nullptr && !touches->is_array()) {
    reader.Fail("touches", "a list of objects");
  } else if (touches != nullptr) {
    for (const Json& json : touches->as_array()) {
      WorkTouch touch;
      FS_RETURN_IF_ERROR(TouchFromJson(json, touch));
      out.m_touches.push_back(std::move(touch));
    }
  }
  return reader.Finish();
}

std::vector<double> MaxMinShares(double capacity,
                                 const std::vector<TeamUse>& teams) {
  std::vector<double> shares(teams.size(), 0.0);
  const auto demand = [&teams](std::size_t team) {
    return teams[team].m_running + teams[team].m_waiting;
  };
  // Teams in the order in which a rising level per weight satisfies them.
  std::vector<std::size_t> order;
  for (std::size_t team = 0; team < teams.size(); ++team) {
    if (teams[team].m_weight > 0 && demand(team) > 0) {
      order.push_back(team);
    }
  }
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return demand(a) * teams[b].m_weight < demand(b) * teams[a].m_weight;
  });
  // Summed from the end, because subtracting large weights loses small ones.
  std::vector<double> weight_from(order.size() + 1, 0.0);
  for (std::size_t at = order.size(); at-- > 0;) {
    weight_from[at] = weight_from[at + 1] + teams[order[at]].m_weight;
  }
  double left = capacity;
  for (std::size_t at = 0; at < order.size(); ++at) {
    const std::size_t team = order[at];
    const double fair = left * teams[team].m_weight / weight_from[at];
    shares[team] = std::min(demand(team), fair);
    left -= shares[team];
  }
  return shares;
}

void Accrue(Account& account, TimePoint now, Duration elapsed, double capacity,
            const std::vector<TeamUse>& teams) {
  const std::vector<double> owed = MaxMinShares(capacity, teams);
  const double weights = std::accumulate(
      teams.begin(), teams.end(), 0.0,
      [](double sum, const TeamUse& team) { return sum + team.m_weight; });
  std::vector<double> own(teams.size(), 0.0);
  double borrowed = 0;
  double left_over = 0;
  for (std::size_t team = 0; team < teams.size(); ++team) {
    own[team] = weights > 0 ? capacity * teams[team].m_weight / weights : 0.0;
    const double over = teams[team].m_running - own[team];
    borrowed += std::max(over, 0.0);
    left_over += std::max(-over, 0.0);
  }
  // More can be running than the shares hold just after VMs went out; only
  // what others left was lent.
  const double lent_share =
      left_over > 0 ? std::min(1.0, borrowed / left_over) : 0.0;
  const double seconds = ToSeconds(elapsed);
  for (std::size_t team = 0; team < teams.size(); ++team) {
    const double over = teams[team].m_running - own[team];
    AccountRow& row = RowOf(account, now, teams[team].m_team);
    row.m_owed += owed[team] * seconds;
    row.m_got += teams[team].m_running * seconds;
    row.m_borrowed += std::max(over, 0.0) * seconds;
    row.m_lent += std::max(-over, 0.0) * lent_share * seconds;
  }
}

void RecordTouch(Account& account, TimePoint now, const TeamName& team,
                 WorkTouch touch) {
  AddTouch(RowOf(account, now, team), touch);
}

std::vector<AccountRow> TakeIncrements(Account& account) {
  std::vector<AccountRow> rows;
  for (auto& [key, row] : account.m_rows) {
    rows.push_back(std::move(row));
  }
  account.m_rows.clear();
  return rows;
}

void Merge(AccountRow& row, const AccountRow& increment) {
  FS_ASSERT(row.m_hour == increment.m_hour && row.m_team == increment.m_team,
            "an increment belongs to its hour and team");
  row.m_owed += increment.m_owed;
  row.m_got += increment.m_got;
  row.m_lent += increment.m_lent;
  row.m_borrowed += increment.m_borrowed;
  for (const WorkTouch& touch : increment.m_touches) {
    AddTouch(row, touch);
  }
  row.m_more_touches += increment.m_more_touches;
}

void PutBack(Account& account, const std::vector<AccountRow>& increments) {
  for (const AccountRow& increment : increments) {
    AccountRow& row = account.m_rows[{increment.m_hour, increment.m_team}];
    row.m_hour = increment.m_hour;
    row.m_team = increment.m_team;
    Merge(row, increment);
  }
}

}  // namespace filbertspar
