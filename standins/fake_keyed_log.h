#ifndef APPLEHALL_STANDINS_FAKE_KEYED_LOG_H_
#define APPLEHALL_STANDINS_FAKE_KEYED_LOG_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/log_record.h"

namespace applehall {

// Fake of the store's compacted topics: the log of each, and pages of the
// newest record of each key. Not thread-safe.
class FakeKeyedLog {
 public:
  // Returns the value that a reader gets.
  using Translate = std::function<std::string(const std::string& value)>;

  // Bounds of a page; it has one record at least.
  size_t max_page_records = 500;
  size_t max_page_bytes = 1000000;

  // Appends a record; an empty value drops the key. Requires: `key` has at most
  // 255 bytes.
  void Append(const std::string& topic, const std::string& key,
              const std::string& value);
  // Appends a record that consists of `content` and has no key.
  void AppendMalformed(const std::string& topic, const std::string& content);
  // Drops a key as if its record had never been written; offsets stay.
  void Drop(const std::string& topic, const std::string& key);
  // Deletes the log before `first`; the newest record of each key stays.
  void DeleteBefore(const std::string& topic, LogOffset first);

  bool Contains(const std::string& topic) const {
    return topics_.contains(topic);
  }
  // The offset of the next record.
  LogOffset End(const std::string& topic) const;
  // Returns a page as JSON: the newest records of keys beyond `after`, in the
  // order of their bytes. What is not UTF-8 is replaced, as JSON cannot hold
  // it.
  std::string NewestPage(const std::string& topic,
                         const std::optional<std::string>& after,
                         const Translate& translate = nullptr) const;
  // Returns end, first offset and records from `from` on, about `max_bytes` of
  // them; nothing if they were deleted.
  std::optional<std::string> Read(const std::string& topic, LogOffset from,
                                  size_t max_bytes,
                                  const Translate& translate = nullptr) const;
  // Returns the answer to a read that finds its records deleted.
  std::string DeletedText(const std::string& topic) const;

 private:
  struct Record {
    std::string key;
    std::string value;
    bool is_malformed = false;  // `value` is the whole content.
  };
  struct Topic {
    std::vector<Record> records;
    std::map<std::string, LogOffset> newest;
    LogOffset first = 0;  // Of the log.
  };

  std::map<std::string, Topic> topics_;
};

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_FAKE_KEYED_LOG_H_
