#include <cstdio>

#include "programs/ctl/commands.h"
#include "programs/ctl/table.h"

namespace filbertspar::ctl {
namespace {

/// Prints fields that are not tables, then each list of objects as a table.
void PrintExplanation(const JsonObject& answer) {
  JsonObject plain;
  for (const auto& pair : answer) {
    const bool is_list = pair.value().is_array() &&
                         !pair.value().as_array().empty() &&
                         pair.value().as_array().front().is_object();
    if (!is_list && pair.key() != "explanation") {
      plain[pair.key()] = pair.value();
    }
  }
  if (const Json* lines = answer.if_contains("explanation")) {
    for (const Json& line : lines->as_array()) {
      std::printf("%s\n", Readable(line).c_str());
    }
    std::printf("\n");
  }
  if (!plain.empty()) {
    Print(FieldsOf(plain));
  }
  for (const auto& pair : answer) {
    if (!pair.value().is_array() || pair.value().as_array().empty() ||
        !pair.value().as_array().front().is_object()) {
      continue;
    }
    std::vector<std::string> fields;
    for (const auto& field : pair.value().as_array().front().as_object()) {
      fields.emplace_back(field.key().data(), field.key().size());
    }
    std::printf("\n");
    Print(TableOf(pair.value().as_array(), fields));
  }
}

}  // namespace

absl::Status RunExplain(Session& session) {
  const std::string form = "explain job ID | vm NAME | shares";
  const std::string kind = WordAt(session, 1);
  const bool named = kind == "job" || kind == "vm";
  if (!named && kind != "shares") {
    return Error(Code::kUsage, "expected: filbertsparctl " + form);
  }
  FS_RETURN_IF_ERROR(CheckWords(session, named ? 3 : 2, named ? 3 : 2, form));
  std::string path = "explain/" + kind;
  if (named) {
    FS_RETURN_IF_ERROR(CheckName(WordAt(session, 2)));
    path += "/" + WordAt(session, 2);
  }
  // A job waits at one entry process only, so each address is asked.
  absl::Status last = Error(Code::kUsage, "no address was given");
  for (const Endpoint& address : session.m_options.m_addresses) {
    absl::StatusOr<JsonObject> answer = session.m_client.GetFrom(address, path);
    if (answer.ok()) {
      if (session.m_options.m_json) {
        std::printf("%s\n", ToText(*answer).c_str());
      } else {
        PrintExplanation(*answer);
      }
      return absl::OkStatus();
    }
    const bool overrides = last.ok() ||
                           CodeOf(last) == Code::kEntryUnreachable ||
                           CodeOf(last) == Code::kUsage;
    if (overrides) {
      last = answer.status();
    }
  }
  return last;
}

}  // namespace filbertspar::ctl
