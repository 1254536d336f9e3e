#include "node/server_end_row.h"

#include <algorithm>

namespace applehall {
namespace {

constexpr size_t kFields = 5;
// Of a prompt: the row's number, the hash, and the keys.
constexpr size_t kPromptFields = 3;
// Two for each part.
constexpr size_t kMaxKeys = 32;

std::optional<std::vector<uint64_t>> ReadKeys(const Json& json) {
  if (!json.is_array() || json.size() > kMaxKeys) return std::nullopt;
  std::vector<uint64_t> keys;
  for (const Json& key : json) {
    if (!key.is_number_unsigned()) return std::nullopt;
    keys.push_back(key.get<uint64_t>());
  }
  return keys;
}

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

Json PromptsToJson(const std::vector<const ServerEndRow*>& rows) {
  Json json = Json::array();
  for (const ServerEndRow* row : rows) {
    if (row->parts.empty() && row->group.empty()) continue;
    Json keys = row->group;
    for (const PartKeys& part : row->parts) {
      keys.push_back(part.service);
      keys.push_back(part.target);
    }
    json.push_back(Json::array({row->number, row->prompt, std::move(keys)}));
  }
  return json;
}

bool AddPrompts(const Json& json, std::vector<ServerEndRow>& rows) {
  if (!json.is_array()) return false;
  for (const Json& prompt : json) {
    if (!prompt.is_array() || prompt.size() != kPromptFields ||
        !prompt[0].is_number_unsigned() || !prompt[1].is_number_unsigned()) {
      return false;
    }
    std::optional<std::vector<uint64_t>> keys = ReadKeys(prompt[2]);
    if (!keys) return false;
    const auto number = prompt[0].get<uint64_t>();
    const auto row = std::find_if(
        rows.begin(), rows.end(),
        [number](const auto& candidate) { return candidate.number == number; });
    if (row == rows.end()) continue;
    if (row->kind == ServerEndRow::Kind::kProven) {
      std::sort(keys->begin(), keys->end());
      row->group = *std::move(keys);
      continue;
    }
    if (keys->size() % 2 != 0) return false;
    row->prompt = prompt[1].get<uint64_t>();
    for (size_t i = 0; i < keys->size(); i += 2) {
      row->parts.push_back({(*keys)[i], (*keys)[i + 1]});
    }
  }
  return true;
}

}  // namespace applehall
