#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "programs/ctl/commands.h"

namespace filbertspar::ctl {
namespace {

boost::json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

/// The value of a field whose present or default value is `shape`.
absl::StatusOr<Json> ParseValue(const std::string& text, const Json& shape) {
  if (shape.is_string()) {
    return Json(text);
  }
  if (shape.is_array() && !text.starts_with('[')) {
    JsonArray items;
    for (absl::string_view item :
         absl::StrSplit(text, ',', absl::SkipWhitespace())) {
      items.push_back(Json(boost::json::string_view(item.data(), item.size())));
    }
    return Json(std::move(items));
  }
  return ParseJson(text);
}

}  // namespace

std::string WordAt(const Session& session, std::size_t position) {
  const auto& words = session.m_options.m_words;
  return position < words.size() ? words[position] : "";
}

absl::Status CheckWords(const Session& session, std::size_t min,
                        std::size_t max, const std::string& form) {
  const std::size_t count = session.m_options.m_words.size();
  if (count < min || count > max) {
    return Error(Code::kUsage, "expected: filbertsparctl " + form);
  }
  return absl::OkStatus();
}

absl::Status CheckName(const std::string& name) {
  const bool good =
      !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' ||
               c == '_' || c == '.';
      });
  if (!good) {
    return Error(Code::kUsage,
                 absl::StrCat("\"", name,
                              "\": a name has letters, digits, '-', '_', '.'"));
  }
  return absl::OkStatus();
}

std::string ChangePath(const Session& session, const std::string& path,
                       std::int64_t base) {
  if (session.m_options.m_base > 0) {
    base = session.m_options.m_base;
  }
  std::string query;
  if (base > 0) {
    query = absl::StrCat("?base=", base);
  }
  if (session.m_options.m_dry_run) {
    absl::StrAppend(&query, query.empty() ? "?" : "&", "dry_run=1");
  }
  return path + query;
}

void PrintChange(const Session& session, const JsonObject& answer,
                 const std::string& done) {
  if (session.m_options.m_json) {
    std::printf("%s\n", ToText(answer).c_str());
    return;
  }
  const Json* changes = answer.if_contains("changes");
  if (changes == nullptr || !changes->is_array()) {
    std::printf("%s in version %lld\n", done.c_str(),
                static_cast<long long>(NumberField(answer, "version")));
    return;
  }
  std::printf("dry run against version %lld, nothing was changed:\n",
              static_cast<long long>(NumberField(answer, "base")));
  for (const Json& line : changes->as_array()) {
    std::printf("  %s\n", line.as_string().c_str());
  }
  if (changes->as_array().empty()) {
    std::printf("  no difference\n");
  }
}

absl::StatusOr<JsonObject> ReadObjectFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error(Code::kUsage, path + ": cannot be read");
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  absl::StatusOr<JsonObject> object = ParseJsonObject(text);
  if (!object.ok()) {
    return Error(
        Code::kUsage,
        absl::StrCat(path, ": not a JSON object: ", object.status().message()));
  }
  return object;
}

absl::Status SetFields(const Session& session, std::size_t first,
                       const JsonObject& shape, JsonObject& item) {
  if (!session.m_options.m_file.empty()) {
    absl::StatusOr<JsonObject> fields =
        ReadObjectFile(session.m_options.m_file);
    if (!fields.ok()) {
      return fields.status();
    }
    for (auto& pair : *fields) {
      item[pair.key()] = pair.value();
    }
  }
  for (std::size_t i = first; i < session.m_options.m_words.size(); ++i) {
    const std::string& word = session.m_options.m_words[i];
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) {
      return Error(Code::kUsage,
                   absl::StrCat("\"", word, "\": expected FIELD=VALUE"));
    }
    const std::string field = word.substr(0, equals);
    const Json* kind = shape.if_contains(field);
    if (kind == nullptr) {
      std::string known;
      for (const auto& pair : shape) {
        absl::StrAppend(&known, known.empty() ? "" : ", ",
                        std::string(pair.key().data(), pair.key().size()));
      }
      return Error(Code::kUsage, absl::StrCat("no field \"", field,
                                              "\"; there are: ", known));
    }
    absl::StatusOr<Json> value = ParseValue(word.substr(equals + 1), *kind);
    if (!value.ok()) {
      return Error(
          Code::kUsage,
          absl::StrCat(field, ": not a value: ", word.substr(equals + 1)));
    }
    item[field] = *std::move(value);
  }
  return absl::OkStatus();
}

std::string TextField(const JsonObject& object, std::string_view field) {
  const Json* value = object.if_contains(View(field));
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return {value->as_string().data(), value->as_string().size()};
}

std::int64_t NumberField(const JsonObject& object, std::string_view field) {
  const Json* value = object.if_contains(View(field));
  return value != nullptr && value->is_int64() ? value->as_int64() : 0;
}

}  // namespace filbertspar::ctl
