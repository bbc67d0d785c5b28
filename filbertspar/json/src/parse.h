#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "boost/json/object.hpp"
#include "boost/json/value.hpp"

namespace filbertspar {

using Json = boost::json::value;
using JsonObject = boost::json::object;
using JsonArray = boost::json::array;

/// \brief Parses a text of at most 32 nested levels; kBadJson otherwise.
absl::StatusOr<Json> ParseJson(std::string_view text);

/// \brief Parses a text that must be an object; kBadJson otherwise.
absl::StatusOr<JsonObject> ParseJsonObject(std::string_view text);

/// \brief Compact text of a value.
std::string ToText(const Json& value);

}  // namespace filbertspar
