#include "filbertspar/json/src/parse.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/json/parse.hpp"
#include "boost/json/serialize.hpp"
#include "filbertspar/base/base.h"

namespace filbertspar {
namespace {

constexpr std::size_t kMaxDepth = 32;

}  // namespace

absl::StatusOr<Json> ParseJson(std::string_view text) {
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::json::error_code error;
  Json value = boost::json::parse(
      boost::json::string_view(text.data(), text.size()), error, {}, options);
  if (error) {
    return Error(Code::kBadJson,
                 absl::StrCat("expected JSON: ", error.message()));
  }
  return value;
}

absl::StatusOr<JsonObject> ParseJsonObject(std::string_view text) {
  absl::StatusOr<Json> value = ParseJson(text);
  if (!value.ok()) {
    return value.status();
  }
  if (!value->is_object()) {
    return Error(Code::kBadJson, "expected a JSON object");
  }
  return std::move(value->as_object());
}

std::string ToText(const Json& value) { return boost::json::serialize(value); }

}  // namespace filbertspar
