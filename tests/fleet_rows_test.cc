#include <catch2/catch.hpp>
#include <string>

#include "filbertspar/fleet/fleet.h"

namespace filbertspar {
namespace {

template <typename Row>
void CheckRoundTrip(const Row& row) {
  const absl::StatusOr<JsonObject> json =
      ParseJsonObject(ToText(Json(ToJson(row))));
  REQUIRE(json.ok());
  Row copy;
  REQUIRE(FromJson(*json, copy).ok());
  CHECK(copy == row);
}

VmRow Sample() {
  VmRow row;
  row.m_name = VmName("vm-7");
  row.m_address = "127.0.0.1:7007";
  row.m_pool = PoolName("quotes");
  row.m_rack = RackName("r1");
  row.m_zone = ZoneName("z2");
  row.m_capacity = {Slots(8), Megabytes(32768), Accelerators(1)};
  row.m_connections = 32;
  row.m_state = VmState::kDraining;
  row.m_epoch = 12;
  row.m_last_maintained_ms = 5;
  row.m_since_ms = 6;
  row.m_purpose = Purpose::kMove;
  row.m_target_pool = PoolName("lists");
  row.m_wave = "w1";
  row.m_moved_from = PoolName("stock");
  row.m_moved_ms = 7;
  row.m_boot = "b1";
  return row;
}

// Guards against a field that the codec drops.
TEST_CASE("fleet rows survive a round trip") {
  CheckRoundTrip(Sample());
  CheckRoundTrip(BudgetRow{.m_kind = BudgetKind::kEntry,
                           .m_name = "price-quote",
                           .m_max_out = 3,
                           .m_min_available = 6,
                           .m_min_size = 2,
                           .m_size = 9,
                           .m_out = 2,
                           .m_failed = 1,
                           .m_guards = {"a", "b"}});
  CheckRoundTrip(WaveRow{.m_name = "w1",
                         .m_pool = PoolName("quotes"),
                         .m_operator = OperatorName("op"),
                         .m_started_ms = 9,
                         .m_state = WaveState::kPaused});
}

// Guards against a misspelt state that is taken for "in service".
TEST_CASE("a vm row with an unknown state or field is refused") {
  JsonObject json = ToJson(Sample());
  json["state"] = "in-service";
  VmRow copy;
  CHECK(CodeOf(FromJson(json, copy)) == Code::kBadField);
  json["state"] = "failed";
  CHECK(FromJson(json, copy).ok());
  json["pools"] = "two";
  CHECK(CodeOf(FromJson(json, copy)) == Code::kBadField);
}

}  // namespace
}  // namespace filbertspar
