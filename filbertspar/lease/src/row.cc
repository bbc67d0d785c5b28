#include "filbertspar/lease/src/row.h"

namespace filbertspar {

RowKey LeaseRowKey(const std::string& role) { return {"lease", role}; }

Json ToJson(const LeaseRow& row) {
  return JsonObject{{"holder", row.m_holder.Value()},
                    {"fencing", row.m_fencing.Value()}};
}

absl::StatusOr<LeaseRow> LeaseRowFromJson(const Json& value) {
  if (!value.is_object()) {
    return Error(Code::kPlatformBadAnswer, "lease: expected an object");
  }
  FieldReader reader(value.as_object(), "lease");
  LeaseRow row;
  std::int64_t fencing = 0;
  reader.Read("holder", row.m_holder);
  reader.Read("fencing", fencing, IntRange{1});
  row.m_fencing = FencingNumber(static_cast<std::uint64_t>(fencing));
  FS_RETURN_IF_ERROR(reader.Finish());
  return row;
}

}  // namespace filbertspar
