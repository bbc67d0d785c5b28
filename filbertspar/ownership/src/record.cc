#include "filbertspar/ownership/src/record.h"

#include "filbertspar/json/json.h"

namespace filbertspar {

FencingNumber NextEpoch(FencingNumber previous) {
  return FencingNumber(previous.Value() + kFencingNumbersPerTerm);
}

FencingNumber FirstFencingNumber(FencingNumber epoch) {
  return FencingNumber(epoch.Value() - kFencingNumbersPerTerm + 1);
}

std::string EncodeOwner(const OwnerRecord& record) {
  return ToText(
      JsonObject{{"vm", record.m_vm.Value()},
                 {"incarnation", std::to_string(record.m_incarnation)},
                 {"link", record.m_link.Text()},
                 {"epoch", record.m_epoch.Value()},
                 {"secret", record.m_link_secret},
                 {"write", record.m_write_number},
                 {"strength", record.m_strongest_cpu.Count()},
                 {"lists_starts", record.m_all_starts_recorded},
                 {"released", record.m_released}});
}

std::string EncodeSoleTerm(FencingNumber epoch) {
  return ToText(JsonObject{{"epoch", epoch.Value()}});
}

FencingNumber DecodeSoleTerm(std::string_view text) {
  const absl::StatusOr<JsonObject> object = ParseJsonObject(text);
  std::int64_t epoch = 0;
  if (object.ok()) {
    FieldReader reader(*object, "sole term");
    reader.Read("epoch", epoch, IntRange{1});
    if (!reader.Finish().ok()) {
      epoch = 0;
    }
  }
  return FencingNumber(static_cast<std::uint64_t>(epoch));
}

absl::StatusOr<OwnerRecord> DecodeOwner(std::string_view text) {
  absl::StatusOr<JsonObject> object = ParseJsonObject(text);
  if (!object.ok()) {
    return object.status();
  }
  FieldReader reader(*object, "owner");
  OwnerRecord record;
  std::string incarnation;
  std::string link;
  std::int64_t epoch = 0;
  std::int64_t write = 0;
  reader.Read("vm", record.m_vm);
  reader.Read("incarnation", incarnation);
  reader.Read("link", link);
  reader.Read("epoch", epoch, IntRange{1});
  reader.Read("secret", record.m_link_secret);
  reader.Read("write", write, IntRange{0});
  // Records of earlier releases lack these two fields.
  reader.ReadOptional("strength", record.m_strongest_cpu);
  reader.ReadOptional("lists_starts", record.m_all_starts_recorded);
  reader.Read("released", record.m_released);
  FS_RETURN_IF_ERROR(reader.Finish());
  const auto endpoint = ParseEndpoint(link);
  if (!endpoint) {
    return Error(Code::kBadField, "owner: link: expected IP:PORT");
  }
  record.m_link = *endpoint;
  record.m_incarnation = std::strtoull(incarnation.c_str(), nullptr, 10);
  record.m_epoch = FencingNumber(static_cast<std::uint64_t>(epoch));
  record.m_write_number = static_cast<std::uint64_t>(write);
  return record;
}

}  // namespace filbertspar
