#include "filbertspar/platform/src/codec.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "filbertspar/platform/src/json_rows.h"

namespace filbertspar {
namespace {

constexpr std::string_view kTablePrefix = "/table/";
constexpr std::string_view kObjectPrefix = "/object/";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

bool IsPlain(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
         c == '~' || c == '/' || c == ':';
}

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

absl::Status BadAnswer(std::string_view what) {
  return Error(Code::kPlatformBadAnswer,
               absl::StrCat("platform: ", std::string(what)));
}

struct Encoder {
  PlatformRequest operator()(const RowQuery& query) const {
    return {"GET",
            absl::StrCat("/table/", EncodeKey(query.m_row.m_table), "/",
                         EncodeKey(query.m_row.m_key)),
            ""};
  }
  PlatformRequest operator()(const ChangesQuery& query) const {
    return {"GET",
            absl::StrCat("/table/", EncodeKey(query.m_table),
                         "?since=", query.m_since, "&limit=", query.m_limit),
            ""};
  }
  PlatformRequest operator()(const VmsQuery&) const {
    return {"GET", "/vms", ""};
  }
  PlatformRequest operator()(const ObjectQuery& query) const {
    return {"GET", absl::StrCat("/object/", EncodeKey(query.m_name)), ""};
  }
  PlatformRequest operator()(const ObjectPut& put) const {
    return {"PUT", absl::StrCat("/object/", EncodeKey(put.m_name)),
            put.m_bytes};
  }
};

absl::StatusOr<ChangesQuery> DecodeChangesQuery(std::string_view table,
                                                std::string_view parameters) {
  ChangesQuery query;
  query.m_table = std::string(table);
  while (!parameters.empty()) {
    const std::size_t end = parameters.find('&');
    const std::string_view pair = parameters.substr(0, end);
    parameters = end == std::string_view::npos ? std::string_view()
                                               : parameters.substr(end + 1);
    const std::size_t equal = pair.find('=');
    const std::string value(
        equal == std::string_view::npos ? "" : pair.substr(equal + 1));
    const std::string_view name = pair.substr(0, equal);
    const bool ok = name == "since"
                        ? absl::SimpleAtoi(value, &query.m_since)
                        : name == "limit" &&
                              absl::SimpleAtoi(value, &query.m_limit) &&
                              query.m_limit > 0;
    if (!ok) {
      return Error(Code::kBadField, "expected since=N and limit=N");
    }
  }
  return query;
}

absl::StatusOr<PlatformCall> DecodeTableTarget(std::string_view target) {
  const std::size_t slash = target.find('/');
  if (slash == std::string_view::npos) {
    const std::size_t question = target.find('?');
    absl::StatusOr<ChangesQuery> query = DecodeChangesQuery(
        target.substr(0, question), question == std::string_view::npos
                                        ? std::string_view()
                                        : target.substr(question + 1));
    if (!query.ok()) {
      return query.status();
    }
    return PlatformCall(*std::move(query));
  }
  absl::StatusOr<std::string> key = DecodeKey(target.substr(slash + 1));
  if (!key.ok()) {
    return key.status();
  }
  return PlatformCall(
      RowQuery{{std::string(target.substr(0, slash)), *std::move(key)}});
}

}  // namespace

std::string EncodeKey(std::string_view key) {
  std::string text;
  for (const char c : key) {
    if (IsPlain(c)) {
      text.push_back(c);
    } else {
      const auto byte = static_cast<unsigned char>(c);
      text.push_back('%');
      text.push_back(kHexDigits[byte >> 4]);
      text.push_back(kHexDigits[byte & 15]);
    }
  }
  return text;
}

absl::StatusOr<std::string> DecodeKey(std::string_view text) {
  std::string key;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      key.push_back(text[i]);
      continue;
    }
    const int high = i + 2 < text.size() ? HexValue(text[i + 1]) : -1;
    const int low = i + 2 < text.size() ? HexValue(text[i + 2]) : -1;
    if (high < 0 || low < 0) {
      return Error(Code::kBadField, "expected %XX in the target");
    }
    key.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return key;
}

PlatformRequest EncodeWrite(const WriteBody& write) {
  return {"POST", "/write", ToText(internal::WriteToJson(write))};
}

PlatformRequest EncodeCall(const PlatformCall& call) {
  return std::visit(Encoder{}, call);
}

absl::StatusOr<PlatformAnswer> DecodeAnswer(const PlatformCall& call,
                                            int status, std::string_view body) {
  const auto* row = std::get_if<RowQuery>(&call);
  const auto* changes = std::get_if<ChangesQuery>(&call);
  if (row != nullptr && status == 404) {
    return PlatformAnswer(Row{.m_row = row->m_row});
  }
  if (std::holds_alternative<ObjectQuery>(call) && status == 404) {
    return Error(Code::kNotFound, "platform: no such object");
  }
  if (status < 200 || status > 299) {
    return BadAnswer(absl::StrCat("status ", status));
  }
  if (std::holds_alternative<ObjectPut>(call)) {
    return PlatformAnswer();
  }
  if (std::holds_alternative<ObjectQuery>(call)) {
    return PlatformAnswer(ObjectContent{std::string(body)});
  }
  absl::StatusOr<JsonObject> object = ParseJsonObject(body);
  if (!object.ok()) {
    return BadAnswer(std::string_view(object.status().message().data(),
                                      object.status().message().size()));
  }
  PlatformAnswer answer;
  absl::Status read;
  if (row != nullptr) {
    Row out{.m_row = row->m_row};
    read = internal::RowFromJson(*object, out);
    answer = std::move(out);
  } else if (changes != nullptr) {
    ChangeList out{.m_table = changes->m_table};
    read = internal::ChangesFromJson(*object, out);
    answer = std::move(out);
  } else {
    VmList out;
    read = internal::VmsFromJson(*object, out);
    answer = std::move(out);
  }
  if (!read.ok()) {
    return BadAnswer(
        std::string_view(read.message().data(), read.message().size()));
  }
  return answer;
}

absl::StatusOr<PlatformCall> DecodeCall(const PlatformRequest& request) {
  const std::string_view target = request.m_target;
  if (request.m_method == "GET" && target == "/vms") {
    return PlatformCall(VmsQuery{});
  }
  if (request.m_method == "GET" && target.starts_with(kTablePrefix)) {
    return DecodeTableTarget(target.substr(kTablePrefix.size()));
  }
  if (target.starts_with(kObjectPrefix)) {
    absl::StatusOr<std::string> name =
        DecodeKey(target.substr(kObjectPrefix.size()));
    if (!name.ok()) {
      return name.status();
    }
    if (request.m_method == "PUT") {
      return PlatformCall(ObjectPut{*std::move(name), request.m_body});
    }
    if (request.m_method == "GET") {
      return PlatformCall(ObjectQuery{*std::move(name)});
    }
  }
  return Error(Code::kUnknownPath, "no such path or method");
}

}  // namespace filbertspar
