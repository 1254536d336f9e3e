#include "node/server_end_row.h"

namespace applehall {
namespace {

constexpr size_t kFields = 5;

}  // namespace

Json ServerEndRowToJson(const ServerEndRow& row, TimePoint now) {
  return Json::array({row.number, static_cast<unsigned>(row.kind),
                      row.fingerprint, row.server, ToMillis(row.at - now)});
}

std::optional<ServerEndRow> ServerEndRowFromJson(const Json& json,
                                                 TimePoint now) {
  if (!json.is_array() || json.size() != kFields ||
      !json[0].is_number_unsigned() || !json[1].is_number_unsigned() ||
      !json[2].is_number_unsigned() || !json[3].is_string() ||
      !json[4].is_number_integer()) {
    return std::nullopt;
  }
  const auto kind = json[1].get<uint64_t>();
  if (kind > static_cast<uint64_t>(ServerEndRow::Kind::kProven)) {
    return std::nullopt;
  }
  ServerEndRow row;
  row.number = json[0].get<uint64_t>();
  row.kind = static_cast<ServerEndRow::Kind>(kind);
  row.fingerprint = json[2].get<uint64_t>();
  row.server = json[3].get<std::string>();
  row.at = now + std::chrono::milliseconds(json[4].get<int64_t>());
  return row;
}

}  // namespace applehall
