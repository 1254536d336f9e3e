#include "platform/newest_collector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/json.h"
#include "core/random.h"
#include "standins/fake_keyed_log.h"

namespace applehall {
namespace {

constexpr char kTopic[] = "topic";
constexpr size_t kMaxBytes = 300;  // Of a read of the log.

KeyedRecord Record(const std::string& key, LogOffset offset) {
  return {key, "value", offset};
}

NewestPage Page(const std::vector<KeyedRecord>& records, bool has_more,
                LogOffset end) {
  NewestPage page;
  page.records = records;
  for (const KeyedRecord& record : records) page.keys.push_back(record.key);
  page.has_more = has_more;
  page.end = end;
  return page;
}

class NewestCollectorTest : public testing::Test {
 protected:
  std::string After() { return collector_.NextRead()->after; }
  bool ReadsLog() {
    return collector_.NextRead() && !collector_.NextRead()->is_page;
  }
  std::vector<std::string> Keys() {
    std::vector<std::string> keys;
    for (const KeyedRecord& record : collector_.Records()) {
      keys.push_back(record.key);
    }
    return keys;
  }

  NewestCollector collector_;
};

TEST_F(NewestCollectorTest, PagesAreReadToTheLast) {
  collector_.HandlePage(Page({Record("a", 0), Record("b", 1)}, true, 4));
  EXPECT_EQ(After(), "b");
  collector_.HandlePage(Page({Record("c", 2)}, false, 9));
  EXPECT_FALSE(collector_.NextRead());
  EXPECT_TRUE(collector_.is_whole());
  EXPECT_EQ(collector_.end(), 4u);
  EXPECT_EQ(Keys(), (std::vector<std::string>{"a", "b", "c"}));
}

// Guards against a page that is read again and again.
TEST_F(NewestCollectorTest, PageWithoutNewKeysIsPassedByAnEarlierKey) {
  collector_.HandlePage(Page({Record("a", 0), Record("b", 1)}, true, 4));
  collector_.HandlePage(Page({Record("b", 1)}, true, 4));
  EXPECT_EQ(After(), "a");
  collector_.HandlePage(Page({Record("b", 1), Record("c", 2)}, false, 4));
  EXPECT_TRUE(collector_.is_whole());
}

// Guards against a cursor at another place in the order of the store, which
// leaves out the keys between without a sign.
TEST_F(NewestCollectorTest, KeyThatIsNotExactIsNoCursor) {
  NewestPage page = Page({Record("a", 0)}, true, 4);
  page.keys.push_back("b\xEF\xBF\xBD");
  page.unreadable = 1;
  collector_.HandlePage(page);
  EXPECT_EQ(After(), "a");
}

// Guards against a part of a list that is taken for whole.
TEST_F(NewestCollectorTest, ListIsWholeOnlyWithTheLogFromItsBegin) {
  collector_.HandlePage(Page({Record("a", 5)}, true, 8));
  collector_.HandleUnusablePage();
  ASSERT_TRUE(ReadsLog());
  collector_.HandleLogDeleted(6);
  EXPECT_EQ(collector_.NextRead()->from, 6u);
  collector_.HandleLog({Record("b", 6), Record("a", 7)}, 8, 8);
  EXPECT_FALSE(collector_.NextRead());
  EXPECT_TRUE(collector_.is_usable());
  EXPECT_FALSE(collector_.is_whole());
  EXPECT_EQ(collector_.Records().front().offset, 7u);
}

// Guards against a list without its end, after which no change could be
// followed.
TEST_F(NewestCollectorTest, NothingReadIsNotUsable) {
  collector_.HandleUnusablePage();
  ASSERT_TRUE(ReadsLog());
  collector_.HandleUnusableLog();
  EXPECT_FALSE(collector_.is_usable());
  NewestCollector without_records;
  without_records.HandlePage(Page({}, true, 3));
  without_records.HandleUnusableLog();
  EXPECT_FALSE(without_records.is_usable());
}

// Guards against a start that reads the whole history of a topic.
TEST_F(NewestCollectorTest, LongLogIsReadFromNearItsEnd) {
  collector_.HandleUnusablePage();
  collector_.HandleLog({Record("old", 0)}, 1, 1000000);
  ASSERT_TRUE(ReadsLog());
  EXPECT_EQ(collector_.NextRead()->from, 980000u);
  collector_.HandleLog({Record("new", 999999)}, 1000000, 1000000);
  EXPECT_EQ(Keys(), std::vector<std::string>{"new"});
  EXPECT_FALSE(collector_.is_whole());
}

// Guards against a log that does not advance, or grows as fast as it is read.
TEST_F(NewestCollectorTest, ReadingEndsBesideALogThatGrows) {
  collector_.HandleUnusablePage();
  int reads = 0;
  for (LogOffset next = 1; ReadsLog() && reads < 1000; ++next, ++reads) {
    collector_.HandleLog({Record("a", next - 1)}, next, next + 1);
  }
  EXPECT_LT(reads, 1000);
  EXPECT_FALSE(collector_.is_whole());
}

// Guards against lists that lack a record and are taken for whole, or never
// end, whatever the keys are and whichever pages fail.
RC_GTEST_PROP(NewestCollectorProperty, ListIsTheStoresOrNotWhole, ()) {
  Random random(*rc::gen::arbitrary<uint32_t>());
  FakeKeyedLog log;
  log.max_page_records = 1 + random.Below(4);
  std::map<std::string, LogOffset> newest;
  const uint64_t records = random.Below(30);
  for (uint64_t i = 0; i < records; ++i) {
    std::string key;
    for (uint64_t size = random.Below(3); size > 0; --size) {
      key += static_cast<char>(random.Below(256));
    }
    const bool is_dropped = random.Below(4) == 0;
    newest.erase(key);
    if (!is_dropped) newest[key] = i;
    log.Append(kTopic, key, is_dropped ? "" : "value");
  }
  if (random.Below(2) == 0) {
    log.DeleteBefore(kTopic, random.Below(records + 1));
  }
  const uint64_t fails_one_in = random.Below(2) == 0 ? 5 : 1000000;
  NewestCollector collector;
  int reads = 0;
  while (const std::optional<NewestCollector::Read> read =
             collector.NextRead()) {
    RC_ASSERT(++reads < 1000);
    const bool fails = random.Below(fails_one_in) == 0;
    if (read->is_page) {
      std::optional<std::string> after;
      if (!read->after.empty()) after = read->after;
      const auto page = ReadNewestPage(log.NewestPage(kTopic, after));
      RC_ASSERT(page.ok());
      if (fails) {
        collector.HandleUnusablePage();
      } else {
        collector.HandlePage(*page);
      }
      continue;
    }
    const std::optional<std::string> bytes =
        log.Read(kTopic, read->from, kMaxBytes);
    if (fails) {
      collector.HandleUnusableLog();
    } else if (!bytes) {
      const Json json = *ParseJson(log.DeletedText(kTopic));
      collector.HandleLogDeleted(json["first"].get<LogOffset>());
    } else {
      const KeyedRecords decoded = DecodeRecords(
          kTopic, std::string_view(*bytes).substr(16), read->from);
      collector.HandleLog(decoded.records, decoded.next, log.End(kTopic));
    }
  }
  std::map<std::string, LogOffset> collected;
  for (const KeyedRecord& record : collector.Records()) {
    if (!record.value.empty()) collected[record.key] = record.offset;
  }
  if (collector.is_whole()) {
    RC_ASSERT(collected == newest);
  }
  for (const auto& [key, offset] : collected) {
    RC_ASSERT(newest.contains(key));
    RC_ASSERT(newest[key] == offset);
  }
}

}  // namespace
}  // namespace applehall
