#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <string>

#include "filbertspar/sizing/sizing.h"

namespace filbertspar {
namespace {

/// \brief Raises a common level per weight in small steps.
std::vector<double> NaiveShares(double capacity,
                                const std::vector<TeamUse>& teams) {
  std::vector<double> shares(teams.size(), 0.0);
  constexpr double kStep = 1e-3;
  for (double left = capacity; left > 0;) {
    double given = 0;
    for (std::size_t team = 0; team < teams.size(); ++team) {
      const double demand = teams[team].m_running + teams[team].m_waiting;
      const double more =
          std::min({kStep * teams[team].m_weight, demand - shares[team], left});
      shares[team] += more;
      left -= more;
      given += more;
    }
    if (given <= 0) {
      break;
    }
  }
  return shares;
}

std::vector<TeamUse> RandomTeams() {
  const auto count = *rc::gen::inRange(1, 7);
  std::vector<TeamUse> teams;
  teams.reserve(static_cast<std::size_t>(count));
  for (int team = 0; team < count; ++team) {
    teams.push_back({TeamName("t" + std::to_string(team)),
                     static_cast<double>(*rc::gen::inRange(1, 6)),
                     static_cast<double>(*rc::gen::inRange(0, 12)),
                     static_cast<double>(*rc::gen::inRange(0, 12))});
  }
  return teams;
}

// Guards against a share that exceeds the demand or leaves others short.
TEST_CASE("shares equal a naive rise of the level") {
  CHECK(rc::check([] {
    const std::vector<TeamUse> teams = RandomTeams();
    const double capacity = *rc::gen::inRange(0, 40);
    const std::vector<double> shares = MaxMinShares(capacity, teams);
    const std::vector<double> naive = NaiveShares(capacity, teams);
    for (std::size_t team = 0; team < teams.size(); ++team) {
      RC_ASSERT(std::abs(shares[team] - naive[team]) < 0.05);
    }
  }));
}

// Guards against small weights that vanish beside large ones.
TEST_CASE("a tiny weight does not yield more than the capacity") {
  const std::vector<double> shares = MaxMinShares(
      10, {{TeamName("a"), 1e6, 5, 0}, {TeamName("b"), 1e-6, 9, 0}});
  CHECK(shares[0] == Approx(5));
  CHECK(shares[1] == Approx(5));
}

// Guards against an account in which more is borrowed than was lent, and
// against increments lost or doubled over a write that had no effect.
TEST_CASE("the account balances and survives a failed write") {
  CHECK(rc::check([] {
    Account account;
    const std::vector<TeamUse> teams = RandomTeams();
    double running = 0;
    for (const TeamUse& team : teams) {
      running += team.m_running;
    }
    // Everything that runs fits the capacity, so all borrowed work was lent.
    Accrue(account, TimePoint(Seconds(7200)), Seconds(2), running, teams);
    RecordTouch(account, TimePoint(Seconds(7201)), teams[0].m_team,
                {VmName("v"), "drain", 3});
    const std::vector<AccountRow> first = TakeIncrements(account);
    RC_ASSERT(account.m_rows.empty());
    PutBack(account, first);
    const std::vector<AccountRow> rows = TakeIncrements(account);
    RC_ASSERT(rows == first);
    double lent = 0;
    double borrowed = 0;
    double got = 0;
    for (const AccountRow& row : rows) {
      lent += row.m_lent;
      borrowed += row.m_borrowed;
      got += row.m_got;
      AccountRow copy;
      RC_ASSERT(FromJson(ToJson(row), copy).ok());
      RC_ASSERT(copy == row);
    }
    RC_ASSERT(std::abs(lent - borrowed) < 1e-6);
    RC_ASSERT(std::abs(got - 2 * running) < 1e-6);
    RC_ASSERT(KeyOf(rows[0]) == "2:t0");
  }));
}

}  // namespace
}  // namespace filbertspar
