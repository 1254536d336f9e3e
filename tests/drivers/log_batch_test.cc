#include <gtest/gtest.h>

#include "drivers/platform_client.h"

namespace applehall {
namespace {

// Guards against hosts that stop at a record that cannot be read, or read the
// log from its begin again and again.
TEST(LogBatchTest, UnreadableRecordKeepsItsPlace) {
  const auto batch = ParseLogBatch("control", 7, R"({"next_offset":11,
      "records":[{"offset":7,"payload":"a"},5,{"payload":3},
                 {"offset":"x","payload":"d"}]})");
  ASSERT_TRUE(batch);
  ASSERT_EQ(batch->records.size(), 4u);
  for (size_t i = 0; i < 4; ++i) EXPECT_EQ(batch->records[i].offset, 7 + i);
  EXPECT_EQ(batch->records[1].payload, "");
  EXPECT_EQ(batch->records[3].payload, "d");
}

TEST(LogBatchTest, BodyWithoutAListOfRecordsIsNoBatch) {
  for (const char* body : {"", "5", "[]", "{}", R"({"records":{"a":{}}})",
                           R"({"records":null})"}) {
    EXPECT_FALSE(ParseLogBatch("control", 1, body)) << body;
  }
}

}  // namespace
}  // namespace applehall
