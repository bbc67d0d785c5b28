#include "filbertspar/entry/src/claims.h"

#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"

namespace filbertspar {
namespace {

constexpr Duration kClaimDeadline = Seconds(2);
constexpr Duration kRetryPause = Seconds(1);
/// Recording an answer is tried as long as a claim could be asked about.
constexpr int kFinishTries = 600;
constexpr std::size_t kMaxBodyInRow = 8192;

RowKey KeyOf(const TeamName& team, const std::string& request_key) {
  return {"claim", absl::StrCat(team.Value(), ":", request_key)};
}

std::int64_t WallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Text(const JsonObject& object, const char* field) {
  const Json* value = object.if_contains(field);
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return {value->as_string().data(), value->as_string().size()};
}

ClaimReport ReportOf(const JsonObject& claim) {
  ClaimReport report;
  report.m_result = ClaimResult::kHeldByOther;
  if (Text(claim, "state") != "finished") {
    return report;
  }
  const Json* code = claim.if_contains("code");
  const int number = code != nullptr && code->is_int64()
                         ? static_cast<int>(code->as_int64())
                         : static_cast<int>(Code::kOutcomeUnknown);
  report.m_result = ClaimResult::kFinishedBefore;
  report.m_code = CodeFromNumber(number).value_or(Code::kOutcomeUnknown);
  report.m_body = std::make_shared<const std::string>(Text(claim, "body"));
  return report;
}

}  // namespace

void Claims::Insert(const WriteClaim& claim, Handler handler) {
  const RowKey key = KeyOf(claim.m_team, claim.m_request_key);
  const RequestId request = claim.m_request;
  RowWrite row{key, RowVersion(0),
               JsonObject{{"node", m_node.Value()},
                          {"request", std::to_string(request.Value())},
                          {"state", "claimed"},
                          {"time_ms", WallMilliseconds()}}};
  m_store.AddRow(std::move(row), kClaimDeadline,
                 [this, key, request, handler](const ItemReport& item) {
                   ClaimReport report;
                   report.m_request = request;
                   switch (item.m_outcome) {
                     case WriteOutcome::kCommitted:
                       m_versions[request] = item.m_version;
                       report.m_result = ClaimResult::kClaimed;
                       break;
                     case WriteOutcome::kConflict:
                       asio::co_spawn(m_context,
                                      ReadExisting(request, key, handler),
                                      asio::detached);
                       return;
                     case WriteOutcome::kNotWritten:
                       report.m_result = ClaimResult::kStoreDown;
                       break;
                     case WriteOutcome::kUnsettled:
                       report.m_result = ClaimResult::kUnsettled;
                       break;
                   }
                   handler(report);
                 });
}

asio::awaitable<void> Claims::ReadExisting(RequestId request, RowKey key,
                                           Handler handler) {
  absl::StatusOr<Row> row = co_await m_store.Read(key, kClaimDeadline);
  ClaimReport report;
  if (row.ok() && row->m_value && row->m_value->is_object()) {
    report = ReportOf(row->m_value->as_object());
  } else {
    // The claim is held by another request, whose answer cannot be read now.
    report.m_result = ClaimResult::kHeldByOther;
  }
  report.m_request = request;
  handler(report);
}

void Claims::Finish(const FinishClaim& claim) {
  const auto found = m_versions.find(claim.m_request);
  if (found == m_versions.end()) {
    return;
  }
  // A body too large for a row is not kept; a repeat then learns that the
  // request has run, without the answer.
  const bool keep =
      claim.m_body != nullptr && claim.m_body->size() <= kMaxBodyInRow;
  JsonObject value{{"node", m_node.Value()},
                   {"request", std::to_string(claim.m_request.Value())},
                   {"state", "finished"},
                   {"code", static_cast<int>(claim.m_code)},
                   {"body", keep ? *claim.m_body : std::string()},
                   {"time_ms", WallMilliseconds()}};
  const RowVersion version = found->second;
  m_versions.erase(found);
  Replace(KeyOf(claim.m_team, claim.m_request_key), version, std::move(value),
          kFinishTries);
}

void Claims::Release(const ReleaseClaim& claim) {
  const auto found = m_versions.find(claim.m_request);
  if (found == m_versions.end()) {
    return;
  }
  const RowVersion version = found->second;
  m_versions.erase(found);
  Replace(KeyOf(claim.m_team, claim.m_request_key), version, std::nullopt,
          kFinishTries);
}

void Claims::Replace(RowKey key, RowVersion expect, std::optional<Json> value,
                     int tries) {
  RowWrite row{key, expect, value};
  m_store.AddRow(
      std::move(row), kClaimDeadline,
      [this, key, expect, value, tries](const ItemReport& item) {
        if (item.m_outcome != WriteOutcome::kNotWritten || tries == 0) {
          return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_context);
        timer->expires_after(kRetryPause);
        timer->async_wait([this, timer, key, expect, value,
                           tries](boost::system::error_code error) {
          if (!error) {
            Replace(key, expect, value, tries - 1);
          }
        });
      });
}

}  // namespace filbertspar
