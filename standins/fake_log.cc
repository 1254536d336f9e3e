#include "standins/fake_log.h"

#include <algorithm>

namespace applehall {

void FakeLog::Expire(Stream& stream, TimePoint now) {
  while (!stream.records.empty() &&
         stream.records.front().time + retention_ < now) {
    stream.records.pop_front();
    ++stream.first;
  }
}

LogOffset FakeLog::Append(const std::string& stream, const std::string& payload,
                          TimePoint now) {
  Stream& entry = streams_[stream];
  Expire(entry, now);
  const LogOffset offset = entry.first + entry.records.size();
  entry.records.push_back({offset, now, payload});
  ++append_count_;
  return offset;
}

LogBatch FakeLog::Read(const std::string& stream, LogOffset from,
                       size_t max_records, TimePoint now) {
  Stream& entry = streams_[stream];
  Expire(entry, now);
  LogBatch batch;
  batch.stream = stream;
  batch.first_offset = entry.first;
  batch.next_offset = entry.first + entry.records.size();
  const LogOffset start = std::max(from, entry.first);
  for (LogOffset offset = start;
       offset < batch.next_offset && batch.records.size() < max_records;
       ++offset) {
    batch.records.push_back(entry.records[offset - entry.first]);
  }
  return batch;
}

}  // namespace applehall
