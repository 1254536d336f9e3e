#include "platform/lease_topic.h"

#include <gtest/gtest.h>

#include "core/json.h"
#include "platform/wire_names.h"

namespace applehall {
namespace {

constexpr LogOffset kOffset = 4;
constexpr FencingToken kLeaseToken = kOffset + 1;

// Returns the record that an append of `encoded` leaves in the store.
KeyedRecord Stored(const std::string& encoded, LogOffset offset) {
  return DecodeRecords(wire::kLeaseTopic, encoded, offset).records.at(0);
}

KeyedRecord StoredLease(bool have_predecessors_ended) {
  LeaseRecord lease{{"a", 7}, "10.0.0.1:80", false};
  lease.have_predecessors_ended = have_predecessors_ended;
  return Stored(EncodeLease(lease), kOffset);
}

KeyedRecord Note(const std::string& value) {
  return {wire::kPredecessorsEndedKey, value, kOffset + 1};
}

LeaseRead Read(const std::vector<KeyedRecord>& records) {
  LeaseRead read;
  ReadLeaseRecords(records, /*is_whole=*/true, read);
  return read;
}

TEST(LeaseTopicTest, RecordTellsWhetherItsPredecessorsHaveEnded) {
  for (const bool have_ended : {false, true}) {
    const LeaseRead read = Read({StoredLease(have_ended)});
    ASSERT_TRUE(read.record.has_value());
    EXPECT_EQ(read.token, kLeaseToken);
    EXPECT_EQ(read.record->holder.host, "a");
    EXPECT_EQ(read.record->have_predecessors_ended, have_ended);
  }
}

TEST(LeaseTopicTest, NoteOfItsHolderCompletesARecord) {
  const std::string note = EncodePredecessorsEnded({"a", kLeaseToken});
  const LeaseRead read = Read({StoredLease(false), Stored(note, kOffset + 1)});
  EXPECT_EQ(read.token, kLeaseToken);
  EXPECT_TRUE(read.record->have_predecessors_ended);
}

// Guards against a record without the field, or a note that is not of this
// record, that drops the wait for earlier holders.
TEST(LeaseTopicTest, WithoutItsNoteARecordMayHavePredecessors) {
  EXPECT_FALSE(Read({StoredLease(false)}).record->have_predecessors_ended);
  for (const char* value :
       {"", "null", "[]", "{}", "no json", "5", R"({"token": "5"})",
        R"({"token": 4})", R"({"token": 6})", R"({"token": -5})",
        R"({"token": null})", R"({"token": [5]})"}) {
    const LeaseRead read = Read({StoredLease(false), Note(value)});
    EXPECT_FALSE(read.record->have_predecessors_ended) << value;
  }
  for (const char* value :
       {"1", "\"true\"", "null", "[true]", "{\"token\": 5}"}) {
    const std::string lease =
        std::string(R"({"host": "a", "predecessors_ended": )") + value + "}";
    const LeaseRead read = Read({{wire::kLeaseKey, lease, kOffset}});
    EXPECT_FALSE(read.record->have_predecessors_ended) << value;
  }
}

// Guards against a lease that was dropped or cannot be read and counts as one
// that nobody has ever claimed: the topic has records all the same.
TEST(LeaseTopicTest, LeaseThatCannotBeReadIsNoFirstClaim) {
  for (const char* value : {"", "no json", "{", "[1"}) {
    LeaseRead read;
    read.end = kOffset + 1;
    ReadLeaseRecords({{wire::kLeaseKey, value, kOffset}}, /*is_whole=*/true,
                     read);
    EXPECT_TRUE(read.is_answered) << value;
    EXPECT_FALSE(read.record.has_value()) << value;
    EXPECT_GT(read.end, 0u) << value;
  }
  LeaseRead partial;
  ReadLeaseRecords({}, /*is_whole=*/false, partial);
  EXPECT_FALSE(partial.is_answered);
}

}  // namespace
}  // namespace applehall
