#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "filbertspar/platform/platform.h"

namespace filbertspar {
namespace {

// Guards against a key whose characters change the path of the request.
TEST_CASE("any key survives the target of a request") {
  CHECK(rc::check([](const std::string& key) {
    const PlatformRequest request =
        EncodeCall(RowQuery{{"claim", "team:" + key}});
    const absl::StatusOr<PlatformCall> call = DecodeCall(request);
    RC_ASSERT(call.ok());
    RC_ASSERT(std::get<RowQuery>(*call).m_row ==
              (RowKey{"claim", "team:" + key}));
  }));
  CHECK(EncodeCall(RowQuery{{"config", "version/7"}}).m_target ==
        "/table/config/version/7");
  CHECK(EncodeCall(ChangesQuery{"vm", 7, 100}).m_target ==
        "/table/vm?since=7&limit=100");
}

// Guards against a field lost between our form of a write and the platform's.
TEST_CASE("writes and answers survive a round trip") {
  const WriteBody write{
      "n#1/4",
      {{{"config", "head"}, RowVersion(3), Json(JsonObject{{"version", 4}})},
       {{"claim", "a:b"}, RowVersion(), std::nullopt}}};
  const PlatformRequest request = EncodeWrite(write);
  CHECK(request.m_body ==
        R"({"attempt":"n#1/4","rows":[{"table":"config","key":"head",)"
        R"("expect":3,"value":{"version":4}},{"table":"claim","key":"a:b",)"
        R"("expect":0,"value":null}]})");
  const absl::StatusOr<WriteBody> copy = DecodeWrite(request.m_body);
  REQUIRE(copy.ok());
  CHECK(EncodeWrite(*copy).m_body == request.m_body);
  CHECK(DecodeVersions(EncodeVersions({RowVersion(4), RowVersion(1)}))
            .value()[1] == RowVersion(1));
  const auto conflicts = DecodeConflicts(
      EncodeConflicts({{{"config", "head"}, RowVersion(9), "m#2/1"}}));
  REQUIRE(conflicts.ok());
  CHECK(conflicts->at(0).m_attempt == "m#2/1");
  const ChangesQuery query{"vm", 0, 10};
  ChangeList changes{.m_table = "vm"};
  changes.m_rows.push_back({{"vm", "a"}, RowVersion(2), "", 8, std::nullopt});
  changes.m_sequence = 8;
  const auto answer = DecodeAnswer(query, 200, EncodeChanges(changes));
  REQUIRE(answer.ok());
  CHECK(EncodeChanges(std::get<ChangeList>(*answer)) == EncodeChanges(changes));
}

// Guards against a cut or foreign answer being taken for a row.
TEST_CASE("answers that cannot be read are named as such") {
  const RowQuery query{{"config", "head"}};
  const std::string whole =
      R"({"version":3,"attempt":"a","value":{"version":3}})";
  CHECK(DecodeAnswer(query, 200, whole).ok());
  for (std::size_t length = 0; length < whole.size(); ++length) {
    CHECK(CodeOf(DecodeAnswer(query, 200, whole.substr(0, length)).status()) ==
          Code::kPlatformBadAnswer);
  }
  CHECK(CodeOf(DecodeAnswer(query, 500, whole).status()) ==
        Code::kPlatformBadAnswer);
  CHECK(std::get<Row>(*DecodeAnswer(query, 404, "")).m_version.IsNone());
}

}  // namespace
}  // namespace filbertspar
