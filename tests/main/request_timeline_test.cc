#include "main/request_timeline.h"

#include <gtest/gtest.h>

#include <sstream>

#include "core/event_log.h"

namespace applehall {
namespace {

// Logs of the host that received request 42 and of the placement owner. The
// request waited long for a cold model, since the owner had just changed.
constexpr char kLogs[] =
    R"(time_ms=1000 level=info host=a event=rules_in_force version=4 name=routes-4 rules=8
time_ms=90000 level=info host=a event=rules_in_force version=9 name=routes-9 rules=8
time_ms=95000 level=info host=b event=lease_held token=2 orders_in_ms=3000
time_ms=95500 level=info host=b event=load_ordered engine=e1 target=llm/other token=2 reason=busy took_ms=0
time_ms=98440 level=info host=b event=load_ordered engine=e1 target=llm/m token=2 reason="1 waiting, worth 1.2" took_ms=0
  12.5 b time_ms=100190 level=info host=b event=load_ready engine=e1 target=llm/m token=2 reason=disk took_ms=1750
not a line of the log
time_ms=99000 level=warning host=c event=store_lost
time_ms=99001 level=warning host=a event=store_lost
time_ms=102000 level=info host=a event=request_end request=42 caller=x rule=9/r-1 target=llm/m/a7 waited_ms=8286 model_state=cold action=answered verdict=ran backend=e1 reason="" attempts=1 took_ms=10175
time_ms=102000 level=info host=a event=request_end request=43 rule=9/r-1 target=llm/m took_ms=5
time_ms=110000 level=info host=b event=unloaded engine=e1 target=llm/m token=2 reason="" took_ms=80
)";

std::vector<std::string> Events(const std::vector<LogLine>& timeline) {
  std::vector<std::string> events;
  for (const LogLine& line : timeline) events.push_back(line.event);
  return events;
}

TEST(RequestTimelineTest, ListsEventsThatAffectTheRequestInOrder) {
  std::istringstream logs(kLogs);
  const std::vector<LogLine> timeline =
      BuildRequestTimeline(ReadLogLines(logs), "42");
  const std::vector<std::string> expected = {"rules_in_force", "lease_held",
                                             "load_ordered",   "store_lost",
                                             "load_ready",     "request_end"};
  EXPECT_EQ(Events(timeline), expected);
  EXPECT_EQ(timeline[0].Value("version"), "9") << "the version of its rule";
  EXPECT_EQ(timeline[2].Value("target"), "llm/m") << "its model, not another";
  EXPECT_EQ(timeline[3].host, "a") << "its own host";
}

// Guards against a refusal for a part of the prompt whose grounds, ends under
// other requests at other hosts, are not shown.
TEST(RequestTimelineTest, ListsTheEndsBehindAHeldPart) {
  std::istringstream logs(
      R"(time_ms=1000 host=b event=server_ended server=s1 fingerprint=f1 parts=a,p
time_ms=1500 host=c event=server_ended server=s2 fingerprint=f2 parts=a2
time_ms=2000 host=b event=quarantine_begin fingerprint=k1 parts=k1
time_ms=2500 host=b event=quarantine_begin fingerprint=k2 parts=k2
time_ms=3000 host=a event=request_end request=42 fingerprint=f9 parts=x,p reason="quarantined: parts of this prompt, fingerprint k1"
)");
  const std::vector<LogLine> timeline =
      BuildRequestTimeline(ReadLogLines(logs), "42");
  const std::vector<std::string> expected = {"server_ended", "quarantine_begin",
                                             "request_end"};
  ASSERT_EQ(Events(timeline), expected);
  EXPECT_EQ(timeline[0].Value("server"), "s1");
  EXPECT_EQ(timeline[1].Value("fingerprint"), "k1");
}

// Guards against a resumed stream whose beginning at another host is not shown.
TEST(RequestTimelineTest, ListsTheRequestThatBeganTheStream) {
  std::istringstream logs(
      R"(time_ms=1000 host=b event=request_end request=41 versions=v1 rule=9/r
time_ms=1001 host=b event=request_end request=40 versions=v2 rule=9/r
time_ms=2000 host=a event=stream_located request=42 resumes=41 version=v1
time_ms=3000 host=a event=request_end request=42 resumes=41 versions=v1 rule=9/r
)");
  const std::vector<LogLine> timeline =
      BuildRequestTimeline(ReadLogLines(logs), "42");
  const std::vector<std::string> expected = {"request_end", "stream_located",
                                             "request_end"};
  EXPECT_EQ(Events(timeline), expected);
  EXPECT_EQ(timeline[0].Value("request"), "41");
}

// Copies of a refused request, with other ids and at other hosts, terminated
// servers minutes earlier.
TEST(RequestTimelineTest, ListsServersTerminatedByTheSameContent) {
  std::istringstream logs(
      R"(time_ms=1000 host=b event=server_ended server=e1 fingerprint=00aa
time_ms=1001 host=b event=server_ended server=e1 fingerprint=00bb
time_ms=2000 host=c event=quarantine_begin fingerprint=00aa source="server e3"
time_ms=900000 host=a event=request_end request=42 fingerprint=00aa rule=9/r action=refused reason="quarantined: x"
)");
  const std::vector<LogLine> timeline =
      BuildRequestTimeline(ReadLogLines(logs), "42");
  const std::vector<std::string> expected = {"server_ended", "quarantine_begin",
                                             "request_end"};
  EXPECT_EQ(Events(timeline), expected);
}

TEST(RequestTimelineTest, IsEmptyForUnknownRequest) {
  std::istringstream logs(kLogs);
  EXPECT_TRUE(BuildRequestTimeline(ReadLogLines(logs), "44").empty());
}

TEST(RequestTimelineTest, ParsesQuotedValues) {
  const auto line = ParseLogLine(
      R"(time_ms=5 level=info host=a event=x reason="he said \"no\" = y" next=1)");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->Value("reason"), R"(he said "no" = y)");
  EXPECT_EQ(line->Value("next"), "1");
  EXPECT_EQ(line->time, TimePoint(std::chrono::milliseconds(5)));
}

TEST(RequestTimelineTest, ParsesValuesWrittenByAppendLogValue) {
  for (const char* value : {"", "plain", "two words", "a=b", "she said \"no\"",
                            "back\\slash", "two\nlines", "ends with \\"}) {
    std::string text = "time_ms=5 event=x reason=";
    AppendLogValue(value, text);
    const auto line = ParseLogLine(text + " next=1");
    ASSERT_TRUE(line) << text;
    EXPECT_EQ(line->Value("reason"), value) << text;
    EXPECT_EQ(line->Value("next"), "1") << text;
    EXPECT_EQ(ParseLogLine("time_ms=5 " + line->Text())->Value("reason"),
              value);
  }
}

TEST(RequestTimelineTest, RejectsMalformedLogLines) {
  for (const char* text : {"", "hello", "time_ms=x event=y", "time_ms=5 host=a",
                           "time_ms=", "time_ms=5 event=y reason=\"open"}) {
    const auto line = ParseLogLine(text);
    EXPECT_TRUE(!line || line->event == "y") << text;
  }
}

}  // namespace
}  // namespace applehall
