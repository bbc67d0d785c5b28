#include <algorithm>
#include <cstdio>
#include <fstream>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "boost/json/serialize.hpp"
#include "programs/ctl/commands.h"
#include "programs/ctl/table.h"

namespace filbertspar::ctl {
namespace {

/// Versions that "config list" goes back by; each costs one table read.
constexpr std::int64_t kListed = 10;
constexpr std::size_t kShownChanges = 3;

absl::StatusOr<std::int64_t> VersionAt(const Session& session,
                                       std::size_t position) {
  std::int64_t version = 0;
  const std::string word = WordAt(session, position);
  if (!word.empty() && (!absl::SimpleAtoi(word, &version) || version < 1)) {
    return Error(Code::kUsage, "expected a version number, not " + word);
  }
  return version;
}

/// The document of a version, or the one in force for 0.
absl::StatusOr<JsonObject> ReadVersion(Session& session, std::int64_t version) {
  return session.m_client.Get(
      version == 0 ? "catalogue" : absl::StrCat("config/versions/", version));
}

absl::StatusOr<std::int64_t> NewestVersion(Session& session) {
  absl::StatusOr<JsonObject> versions = session.m_client.Get("config/versions");
  if (!versions.ok()) {
    return versions.status();
  }
  return NumberField(*versions, "in_force");
}

/// Differences from one version to another, one line each.
absl::StatusOr<JsonArray> Compare(Session& session, std::int64_t from,
                                  std::int64_t to) {
  absl::StatusOr<JsonObject> answer = session.m_client.Get(
      absl::StrCat("config/compare?from=", from, "&to=", to));
  if (!answer.ok()) {
    return answer.status();
  }
  const Json* lines = answer->if_contains("differences");
  if (lines == nullptr || !lines->is_array()) {
    return Error(Code::kPlatformBadAnswer, "the answer has no differences");
  }
  return lines->as_array();
}

/// JSON text with one list item per line, so that line-based tools compare it.
std::string Layout(const JsonObject& document) {
  std::string text = "{";
  const char* separator = "\n";
  for (const auto& pair : document) {
    text += separator;
    separator = ",\n";
    absl::StrAppend(&text, " ", boost::json::serialize(Json(pair.key())), ": ");
    if (!pair.value().is_array() || pair.value().as_array().empty()) {
      text += ToText(pair.value());
      continue;
    }
    const char* item_separator = "[\n";
    for (const Json& item : pair.value().as_array()) {
      absl::StrAppend(&text, item_separator, "  ", ToText(item));
      item_separator = ",\n";
    }
    text += "\n ]";
  }
  return text + "\n}\n";
}

absl::Status ListVersions(Session& session) {
  absl::StatusOr<std::int64_t> newest = NewestVersion(session);
  if (!newest.ok()) {
    return newest.status();
  }
  JsonArray versions;
  for (std::int64_t version = *newest;
       version > std::max<std::int64_t>(0, *newest - kListed); --version) {
    absl::StatusOr<JsonArray> changes = JsonArray{"first version"};
    if (version > 1) {
      changes = Compare(session, version - 1, version);
    }
    if (!changes.ok()) {
      return changes.status();
    }
    versions.push_back(
        JsonObject{{"version", version}, {"changes", *std::move(changes)}});
  }
  if (session.m_options.m_json) {
    std::printf("%s\n", ToText(JsonObject{{"versions", versions}}).c_str());
    return absl::OkStatus();
  }
  Table table{{"version", "changes"}, {}};
  for (const Json& item : versions) {
    const JsonArray& changes = item.at("changes").as_array();
    std::string text;
    for (std::size_t i = 0; i < std::min(kShownChanges, changes.size()); ++i) {
      absl::StrAppend(&text, i == 0 ? "" : "; ", Readable(changes[i]));
    }
    if (changes.size() > kShownChanges) {
      absl::StrAppend(&text, "; and ", changes.size() - kShownChanges, " more");
    }
    table.m_rows.push_back(
        {Readable(item.at("version")), text.empty() ? "none" : text});
  }
  Print(table);
  return absl::OkStatus();
}

absl::Status ListNodes(Session& session) {
  absl::StatusOr<JsonObject> versions = session.m_client.Get("config/versions");
  if (!versions.ok()) {
    return versions.status();
  }
  if (session.m_options.m_json) {
    std::printf("%s\n", ToText(*versions).c_str());
    return absl::OkStatus();
  }
  Table table{{"entry process", "version"}, {}};
  if (const Json* nodes = versions->if_contains("nodes")) {
    for (const auto& pair : nodes->as_object()) {
      table.m_rows.push_back({std::string(pair.key().data(), pair.key().size()),
                              Readable(pair.value())});
    }
  }
  Print(table);
  return absl::OkStatus();
}

absl::Status Export(Session& session, const std::string& path,
                    std::int64_t version) {
  absl::StatusOr<JsonObject> document = ReadVersion(session, version);
  if (!document.ok()) {
    return document.status();
  }
  std::ofstream file(path);
  file << Layout(*document);
  file.close();
  if (!file) {
    return Error(Code::kUsage, path + ": cannot be written");
  }
  std::printf("wrote version %lld to %s\n",
              static_cast<long long>(NumberField(*document, "version")),
              path.c_str());
  return absl::OkStatus();
}

absl::Status PrintCompare(Session& session, std::int64_t from,
                          std::int64_t to) {
  if (to == 0) {
    absl::StatusOr<std::int64_t> newest = NewestVersion(session);
    if (!newest.ok()) {
      return newest.status();
    }
    to = *newest;
  }
  absl::StatusOr<JsonArray> lines = Compare(session, from, to);
  if (!lines.ok()) {
    return lines.status();
  }
  if (session.m_options.m_json) {
    std::printf("%s\n", ToText(JsonObject{{"from", from},
                                          {"to", to},
                                          {"changes", *std::move(lines)}})
                            .c_str());
    return absl::OkStatus();
  }
  for (const Json& line : *lines) {
    std::printf("%s\n", Readable(line).c_str());
  }
  if (lines->empty()) {
    std::printf("no difference\n");
  }
  return absl::OkStatus();
}

absl::Status Apply(Session& session, const JsonObject& document,
                   std::int64_t base, const std::string& done) {
  absl::StatusOr<JsonObject> answer = session.m_client.Change(
      HttpVerb::put, ChangePath(session, "catalogue", base), ToText(document));
  if (!answer.ok()) {
    return answer.status();
  }
  PrintChange(session, *answer, done);
  return absl::OkStatus();
}

/// Puts an earlier document in force as a new version.
absl::Status Restore(Session& session, std::int64_t version) {
  absl::StatusOr<std::int64_t> newest = NewestVersion(session);
  if (!newest.ok()) {
    return newest.status();
  }
  const std::string path = ChangePath(session, "config/restore", *newest);
  absl::StatusOr<JsonObject> answer = session.m_client.Change(
      HttpVerb::post, absl::StrCat(path, "&version=", version), "{}");
  if (!answer.ok()) {
    return answer.status();
  }
  PrintChange(session, *answer, absl::StrCat("restored version ", version));
  return absl::OkStatus();
}

}  // namespace

absl::Status RunConfig(Session& session) {
  const std::string verb = WordAt(session, 1);
  if (verb == "list") {
    FS_RETURN_IF_ERROR(CheckWords(session, 2, 2, "config list"));
    return ListVersions(session);
  }
  if (verb == "nodes") {
    FS_RETURN_IF_ERROR(CheckWords(session, 2, 2, "config nodes"));
    return ListNodes(session);
  }
  if (verb == "export") {
    FS_RETURN_IF_ERROR(
        CheckWords(session, 3, 4, "config export FILE [VERSION]"));
    absl::StatusOr<std::int64_t> version = VersionAt(session, 3);
    return version.ok() ? Export(session, WordAt(session, 2), *version)
                        : version.status();
  }
  if (verb == "apply") {
    FS_RETURN_IF_ERROR(CheckWords(session, 3, 3, "config apply FILE"));
    absl::StatusOr<JsonObject> document = ReadObjectFile(WordAt(session, 2));
    // An exported file names the version that it was made from.
    return document.ok()
               ? Apply(session, *document, NumberField(*document, "version"),
                       "applied " + WordAt(session, 2))
               : document.status();
  }
  absl::StatusOr<std::int64_t> first = VersionAt(session, 2);
  absl::StatusOr<std::int64_t> second = VersionAt(session, 3);
  if (!first.ok() || !second.ok()) {
    return first.ok() ? second.status() : first.status();
  }
  if (verb == "show") {
    FS_RETURN_IF_ERROR(CheckWords(session, 2, 3, "config show [VERSION]"));
    absl::StatusOr<JsonObject> document = ReadVersion(session, *first);
    if (!document.ok()) {
      return document.status();
    }
    std::printf("%s", session.m_options.m_json
                          ? (ToText(*document) + "\n").c_str()
                          : Layout(*document).c_str());
    return absl::OkStatus();
  }
  if (verb == "compare") {
    FS_RETURN_IF_ERROR(CheckWords(session, 3, 4, "config compare FROM [TO]"));
    return PrintCompare(session, *first, *second);
  }
  if (verb == "restore") {
    FS_RETURN_IF_ERROR(CheckWords(session, 3, 3, "config restore VERSION"));
    return Restore(session, *first);
  }
  return Error(
      Code::kUsage,
      "expected: filbertsparctl config list | nodes | show | export | apply | "
      "compare | restore");
}

}  // namespace filbertspar::ctl
