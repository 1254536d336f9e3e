#include "standins/fake_keyed_log.h"

#include <absl/strings/escaping.h>

#include "core/json.h"

namespace applehall {
namespace {

std::string BigEndian(uint64_t value, int bytes) {
  std::string text;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    text += static_cast<char>(value >> shift & 0xff);
  }
  return text;
}

std::string Translated(const FakeKeyedLog::Translate& translate,
                       const std::string& value) {
  return translate ? translate(value) : value;
}

}  // namespace

void FakeKeyedLog::Append(const std::string& topic, const std::string& key,
                          const std::string& value) {
  Topic& log = topics_[topic];
  log.newest.erase(key);
  if (!value.empty()) log.newest[key] = log.records.size();
  log.records.push_back({key, value});
}

void FakeKeyedLog::AppendMalformed(const std::string& topic,
                                   const std::string& content) {
  topics_[topic].records.push_back({"", content, /*is_malformed=*/true});
}

void FakeKeyedLog::Drop(const std::string& topic, const std::string& key) {
  topics_[topic].newest.erase(key);
}

void FakeKeyedLog::DeleteBefore(const std::string& topic, LogOffset first) {
  topics_[topic].first = first;
}

LogOffset FakeKeyedLog::End(const std::string& topic) const {
  const auto log = topics_.find(topic);
  return log == topics_.end() ? 0 : log->second.records.size();
}

std::string FakeKeyedLog::NewestPage(const std::string& topic,
                                     const std::optional<std::string>& after,
                                     const Translate& translate) const {
  Json page{{"items", Json::array()}, {"has_more", false}, {"end", End(topic)}};
  const auto log = topics_.find(topic);
  if (log == topics_.end()) return DumpJson(page);
  const auto& newest = log->second.newest;
  size_t bytes = 0;
  for (auto it = after ? newest.upper_bound(*after) : newest.begin();
       it != newest.end(); ++it) {
    const std::string value =
        Translated(translate, log->second.records[it->second].value);
    bytes += it->first.size() + value.size();
    const size_t count = page["items"].size();
    if (count > 0 && (count >= max_page_records || bytes > max_page_bytes)) {
      page["has_more"] = true;
      break;
    }
    page["items"].push_back({{"key", it->first},
                             {"value", absl::Base64Escape(value)},
                             {"offset", it->second}});
  }
  return DumpJson(page);
}

std::optional<std::string> FakeKeyedLog::Read(
    const std::string& topic, LogOffset from, size_t max_bytes,
    const Translate& translate) const {
  const auto log = topics_.find(topic);
  if (log == topics_.end()) return BigEndian(0, 8) + BigEndian(0, 8);
  const std::vector<Record>& records = log->second.records;
  if (from < log->second.first) return std::nullopt;
  std::string bytes =
      BigEndian(records.size(), 8) + BigEndian(log->second.first, 8);
  for (LogOffset i = from; i < records.size(); ++i) {
    const Record& record = records[i];
    const std::string content =
        record.is_malformed ? record.value
                            : BigEndian(record.key.size(), 1) + record.key +
                                  Translated(translate, record.value);
    bytes += BigEndian(content.size(), 4) + content;
    if (bytes.size() >= max_bytes) break;
  }
  return bytes;
}

std::string FakeKeyedLog::DeletedText(const std::string& topic) const {
  const auto log = topics_.find(topic);
  return DumpJson({{"first", log == topics_.end() ? 0 : log->second.first}});
}

}  // namespace applehall
