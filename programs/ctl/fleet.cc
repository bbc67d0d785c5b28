#include "filbertspar/fleet/fleet.h"

#include <cstdio>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/catalogue/catalogue.h"
#include "programs/ctl/commands.h"
#include "programs/ctl/table.h"

namespace filbertspar::ctl {
namespace {

const std::vector<std::string> kColumns = {
    "name", "pool", "zone", "rack", "state", "slots", "address", "purpose"};

absl::StatusOr<JsonArray> ReadVms(Session& session) {
  absl::StatusOr<JsonObject> answer = session.m_client.Get("vms");
  if (!answer.ok()) {
    return answer.status();
  }
  const Json* vms = answer->if_contains("vms");
  if (vms == nullptr || !vms->is_array()) {
    return Error(Code::kPlatformBadAnswer, "the answer has no list of VMs");
  }
  return vms->as_array();
}

const JsonObject* FindVm(const JsonArray& vms, const std::string& name) {
  for (const Json& vm : vms) {
    if (vm.is_object() && TextField(vm.as_object(), "name") == name) {
      return &vm.as_object();
    }
  }
  return nullptr;
}

/// VMs out of service that share a field's value with the given VM.
std::int64_t CountOut(const JsonArray& vms, const JsonObject& vm,
                      const std::string& field) {
  std::int64_t out = 0;
  for (const Json& other : vms) {
    const JsonObject& object = other.as_object();
    if (TextField(object, field) == TextField(vm, field) &&
        TextField(object, "state") != ToString(VmState::kInService)) {
      ++out;
    }
  }
  return out;
}

std::int64_t PoolLimit(const JsonObject& document, const std::string& pool) {
  if (const Json* pools = document.if_contains("pools")) {
    for (const Json& item : pools->as_array()) {
      if (TextField(item.as_object(), "name") == pool) {
        return NumberField(item.as_object(), "max_out");
      }
    }
  }
  return 0;
}

/// Shows what a drain would do to the budgets. The counts are those of the
/// entry process that answered, which may be some seconds old.
absl::Status PreviewDrain(Session& session, const std::string& name) {
  absl::StatusOr<JsonArray> vms = ReadVms(session);
  absl::StatusOr<JsonObject> document = session.m_client.Get("catalogue");
  if (!vms.ok() || !document.ok()) {
    return vms.ok() ? document.status() : vms.status();
  }
  const JsonObject* vm = FindVm(*vms, name);
  if (vm == nullptr) {
    return Error(Code::kVmUnknown, absl::StrCat("there is no VM ", name));
  }
  const std::string state = TextField(*vm, "state");
  if (state != ToString(VmState::kInService)) {
    return Error(Code::kVmWrongState, absl::StrCat(name, " is ", state));
  }
  JsonObject domains;
  if (const Json* part = document->if_contains("domains")) {
    domains = part->as_object();
  }
  const std::vector<std::pair<std::string, std::int64_t>> limits = {
      {"pool", PoolLimit(*document, TextField(*vm, "pool"))},
      {"rack", NumberField(domains, "rack_max_out")},
      {"zone", NumberField(domains, "zone_max_out")}};
  JsonArray budgets;
  std::string broken;
  for (const auto& [field, limit] : limits) {
    const std::int64_t out = CountOut(*vms, *vm, field) + 1;
    budgets.push_back(JsonObject{{"budget", field},
                                 {"name", TextField(*vm, field)},
                                 {"out_after", out},
                                 {"max_out", limit},
                                 {"holds", out <= limit}});
    if (out > limit) {
      broken = absl::StrCat(field, " ", TextField(*vm, field));
    }
  }
  if (session.m_options.m_json) {
    std::printf("%s\n", ToText(JsonObject{{"dry_run", true},
                                          {"vm", name},
                                          {"from", state},
                                          {"to", "cordoned"},
                                          {"budgets", budgets}})
                            .c_str());
  } else {
    std::printf("dry run, nothing was changed: %s would leave service\n",
                name.c_str());
    Print(
        TableOf(budgets, {"budget", "name", "out_after", "max_out", "holds"}));
  }
  if (!broken.empty()) {
    return Error(Code::kBudgetWouldBreak, broken);
  }
  return absl::OkStatus();
}

absl::Status PrintVm(const Session& session,
                     const absl::StatusOr<JsonObject>& answer,
                     const std::string& done) {
  if (!answer.ok()) {
    return answer.status();
  }
  if (session.m_options.m_json) {
    std::printf("%s\n", ToText(*answer).c_str());
  } else {
    std::printf("%s\n", done.c_str());
  }
  return absl::OkStatus();
}

absl::Status Register(Session& session, const std::string& name) {
  JsonObject item;
  FS_RETURN_IF_ERROR(SetFields(session, 3, ToJson(VmRow()), item));
  // Checked here too, so that a dry run reports a bad field.
  JsonObject named = item;
  named["name"] = name;
  VmRow row;
  FS_RETURN_IF_ERROR(FromJson(named, row));
  if (session.m_options.m_dry_run) {
    absl::StatusOr<JsonArray> vms = ReadVms(session);
    if (!vms.ok()) {
      return vms.status();
    }
    if (FindVm(*vms, name) != nullptr) {
      return Error(Code::kVmWrongState, absl::StrCat(name, " is registered"));
    }
    return PrintVm(
        session, JsonObject{{"dry_run", true}, {"vm", name}},
        absl::StrCat("dry run, nothing was changed: ", name,
                     " would be registered in pool ", row.m_pool.Value()));
  }
  return PrintVm(
      session,
      session.m_client.Change(HttpVerb::put, "vms/" + name, ToText(item)),
      absl::StrCat("registered ", name, " in pool ", row.m_pool.Value()));
}

}  // namespace

absl::Status RunVms(Session& session) {
  const std::string verb = WordAt(session, 1);
  const std::string name = WordAt(session, 2);
  if (verb == "register") {
    FS_RETURN_IF_ERROR(
        CheckWords(session, 3, 64, "vms register NAME FIELD=VALUE..."));
    FS_RETURN_IF_ERROR(CheckName(name));
    return Register(session, name);
  }
  FS_RETURN_IF_ERROR(CheckWords(session, verb == "show" ? 3 : 2,
                                verb == "show" ? 3 : 2,
                                "vms list | show NAME | register NAME ..."));
  absl::StatusOr<JsonArray> vms = ReadVms(session);
  if (!vms.ok()) {
    return vms.status();
  }
  if (verb == "show") {
    const JsonObject* vm = FindVm(*vms, name);
    if (vm == nullptr) {
      return Error(Code::kVmUnknown, absl::StrCat("there is no VM ", name));
    }
    if (session.m_options.m_json) {
      std::printf("%s\n", ToText(*vm).c_str());
    } else {
      Print(FieldsOf(*vm));
    }
    return absl::OkStatus();
  }
  if (verb != "list") {
    return Error(Code::kUsage, absl::StrCat("no command \"vms ", verb, "\""));
  }
  if (session.m_options.m_json) {
    std::printf("%s\n", ToText(JsonObject{{"vms", *std::move(vms)}}).c_str());
  } else {
    Print(TableOf(*vms, kColumns));
  }
  return absl::OkStatus();
}

absl::Status RunDrain(Session& session) {
  FS_RETURN_IF_ERROR(CheckWords(session, 2, 3, "drain VM | drain cancel VM"));
  const bool cancels = WordAt(session, 1) == "cancel";
  if (cancels != (session.m_options.m_words.size() == 3)) {
    return Error(Code::kUsage, "expected: filbertsparctl drain [cancel] VM");
  }
  const std::string name = WordAt(session, cancels ? 2 : 1);
  FS_RETURN_IF_ERROR(CheckName(name));
  if (session.m_options.m_dry_run) {
    if (cancels) {
      return Error(Code::kUsage, "a cancelled drain has no dry run");
    }
    return PreviewDrain(session, name);
  }
  return PrintVm(
      session,
      session.m_client.Change(cancels ? HttpVerb::delete_ : HttpVerb::post,
                              "drains/" + name, cancels ? "" : "{}"),
      absl::StrCat(
          cancels ? "cancelled the drain of " : "started the drain of ", name));
}

}  // namespace filbertspar::ctl
