#include <algorithm>
#include <cstdio>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/catalogue/catalogue.h"
#include "programs/ctl/commands.h"
#include "programs/ctl/table.h"

namespace filbertspar::ctl {
namespace {

/// What can be done with a kind, and the columns of its list.
struct Kind {
  std::string m_name;
  std::vector<std::string> m_columns;
  JsonObject m_shape;
};

const std::vector<Kind>& Kinds() {
  static const std::vector<Kind> kinds = {
      {"workspaces", {"name", "freshness_bound_ms"}, ToJson(Workspace())},
      {"teams", {"name", "workspace", "weight", "ceiling"}, ToJson(Team())},
      {"entries",
       {"name", "owner", "class", "pool", "run_time_ms", "max_deadline_ms",
        "repeatable", "open", "withdrawn"},
       ToJson(CatalogueEntry())},
      {"pools", {"name", "max_out", "min_size"}, ToJson(Pool())},
      {"objectives",
       {"workspace", "class", "target", "latency_ms"},
       ToJson(Objective())},
      {"keys", {"name", "team", "revoked"}, {}},
      {"operators", {"name", "role"}, {{"role", "viewer"}}}};
  return kinds;
}

std::string NameOf(const JsonObject& item) {
  if (item.contains("name")) {
    return TextField(item, "name");
  }
  return absl::StrCat(TextField(item, "workspace"), ".",
                      TextField(item, "class"));
}

/// Fields that the name of an item stands for.
absl::Status NameItem(const Kind& kind, const std::string& name,
                      JsonObject& item) {
  if (kind.m_name != "objectives") {
    item["name"] = name;
    return absl::OkStatus();
  }
  const std::size_t dot = name.rfind('.');
  if (dot == std::string::npos) {
    return Error(Code::kUsage, "an objective is named WORKSPACE.CLASS");
  }
  item["workspace"] = name.substr(0, dot);
  item["class"] = name.substr(dot + 1);
  return absl::OkStatus();
}

/// The document in force and one list of it.
struct Current {
  JsonObject m_document;
  std::int64_t m_version = 0;

  JsonArray& List(const Kind& kind) {
    return m_document[kind.m_name].as_array();
  }
  JsonObject* Find(const Kind& kind, const std::string& name) {
    for (Json& item : List(kind)) {
      if (NameOf(item.as_object()) == name) {
        return &item.as_object();
      }
    }
    return nullptr;
  }
};

absl::StatusOr<Current> ReadCurrent(Session& session, const Kind& kind) {
  absl::StatusOr<JsonObject> document = session.m_client.Get("catalogue");
  if (!document.ok()) {
    return document.status();
  }
  Current current{*std::move(document)};
  current.m_version = NumberField(current.m_document, "version");
  const Json* list = current.m_document.if_contains(kind.m_name);
  if (list == nullptr || !list->is_array()) {
    return Error(Code::kPlatformBadAnswer, "the document lacks " + kind.m_name);
  }
  return current;
}

absl::Status NoSuchItem(const std::string& kind, const std::string& name) {
  return Error(Code::kNotFound,
               absl::StrCat("there is no \"", name, "\" in ", kind));
}

absl::Status List(Session& session, const Kind& kind) {
  absl::StatusOr<Current> current = ReadCurrent(session, kind);
  if (!current.ok()) {
    return current.status();
  }
  if (session.m_options.m_json) {
    std::printf("%s\n", ToText(JsonObject{{"version", current->m_version},
                                          {kind.m_name, current->List(kind)}})
                            .c_str());
  } else {
    Print(TableOf(current->List(kind), kind.m_columns));
  }
  return absl::OkStatus();
}

absl::Status Show(Session& session, const Kind& kind, const std::string& name) {
  absl::StatusOr<Current> current = ReadCurrent(session, kind);
  if (!current.ok()) {
    return current.status();
  }
  const JsonObject* item = current->Find(kind, name);
  if (item == nullptr) {
    return NoSuchItem(kind.m_name, name);
  }
  if (session.m_options.m_json) {
    std::printf("%s\n", ToText(*item).c_str());
  } else {
    Print(FieldsOf(*item));
  }
  return absl::OkStatus();
}

absl::Status Put(Session& session, const Kind& kind, const std::string& name,
                 bool adds) {
  absl::StatusOr<Current> current = ReadCurrent(session, kind);
  if (!current.ok()) {
    return current.status();
  }
  JsonObject* found = current->Find(kind, name);
  if (adds && found != nullptr) {
    return Error(Code::kConfigInvalid,
                 absl::StrCat("\"", name, "\" exists already"));
  }
  if (!adds && found == nullptr) {
    return NoSuchItem(kind.m_name, name);
  }
  JsonObject item = found == nullptr ? JsonObject() : *found;
  FS_RETURN_IF_ERROR(NameItem(kind, name, item));
  FS_RETURN_IF_ERROR(SetFields(session, 3, kind.m_shape, item));
  std::string path = absl::StrCat(kind.m_name, "/", name);
  JsonObject body = item;
  if (kind.m_name == "operators") {
    // The API changes no single operator, since that would need the hash; the
    // whole document keeps the hashes in force.
    *found = std::move(item);
    path = "catalogue";
    body = std::move(current->m_document);
  }
  absl::StatusOr<JsonObject> answer = session.m_client.Change(
      HttpVerb::put, ChangePath(session, path, current->m_version),
      ToText(body));
  if (!answer.ok()) {
    return answer.status();
  }
  PrintChange(
      session, *answer,
      absl::StrCat(adds ? "added " : "changed ", kind.m_name, "/", name));
  return absl::OkStatus();
}

absl::Status Remove(Session& session, const Kind& kind, const std::string& name,
                    const std::string& done) {
  absl::StatusOr<JsonObject> answer = session.m_client.Change(
      HttpVerb::delete_,
      ChangePath(session, absl::StrCat(kind.m_name, "/", name), 0), "");
  if (!answer.ok()) {
    return answer.status();
  }
  PrintChange(session, *answer,
              absl::StrCat(done, " ", kind.m_name, "/", name));
  return absl::OkStatus();
}

/// Adds a key or an operator and prints the new secret, which is kept nowhere.
absl::Status AddSecret(Session& session, const Kind& kind,
                       const std::string& name, const std::string& field,
                       const std::string& value) {
  absl::StatusOr<JsonObject> answer = session.m_client.Change(
      HttpVerb::post, ChangePath(session, kind.m_name, 0),
      ToText(JsonObject{{"name", name}, {field, value}}));
  if (!answer.ok()) {
    return answer.status();
  }
  PrintChange(session, *answer, absl::StrCat("added ", kind.m_name, "/", name));
  if (!session.m_options.m_json && answer->contains("key")) {
    std::printf("key (shown only now): %s\n",
                TextField(*answer, "key").c_str());
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status RunItems(Session& session) {
  const std::string name = WordAt(session, 0);
  const auto kind =
      std::find_if(Kinds().begin(), Kinds().end(),
                   [&](const Kind& each) { return each.m_name == name; });
  if (kind == Kinds().end()) {
    return Error(Code::kUsage, absl::StrCat("no command \"", name,
                                            "\"; see filbertsparctl --help"));
  }
  const std::string verb = WordAt(session, 1);
  const std::string item = WordAt(session, 2);
  const bool is_key = name == "keys";
  const bool is_operator = name == "operators";
  if (verb == "list") {
    FS_RETURN_IF_ERROR(CheckWords(session, 2, 2, name + " list"));
    return List(session, *kind);
  }
  FS_RETURN_IF_ERROR(
      CheckWords(session, 3, 64, absl::StrCat(name, " ", verb, " NAME ...")));
  FS_RETURN_IF_ERROR(CheckName(item));
  if (verb == "show") {
    return Show(session, *kind, item);
  }
  if (is_key && verb == "grant") {
    FS_RETURN_IF_ERROR(CheckWords(session, 4, 4, "keys grant NAME TEAM"));
    return AddSecret(session, *kind, item, "team", WordAt(session, 3));
  }
  if (is_operator && verb == "add") {
    FS_RETURN_IF_ERROR(CheckWords(session, 4, 4, "operators add NAME ROLE"));
    return AddSecret(session, *kind, item, "role", WordAt(session, 3));
  }
  if (!is_key && (verb == "add" || verb == "change")) {
    return Put(session, *kind, item, verb == "add");
  }
  if ((is_key && verb == "revoke") ||
      (name == "entries" && verb == "withdraw")) {
    return Remove(session, *kind, item, is_key ? "revoked" : "withdrew");
  }
  if (!is_key && name != "entries" && verb == "remove") {
    return Remove(session, *kind, item, "removed");
  }
  return Error(Code::kUsage, absl::StrCat("no command \"", name, " ", verb,
                                          "\"; see filbertsparctl --help"));
}

}  // namespace filbertspar::ctl
