// Store client with a store whose reads hang, and with foreign records.

#include "platform/store_client.h"

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <deque>

#include "drivers/http_query.h"
#include "drivers/sleep.h"
#include "standins/fake_keyed_log.h"

namespace applehall {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kConfig[] = "keyed.op";
constexpr char kServers[] = "keyed.servers";
constexpr char kVersions[] = "keyed.applehall-versions";
constexpr size_t kMaxReadBytes = 1024 * 1024;
constexpr FreshnessBudget kBudget = FreshnessBudget::Within(seconds(1));

// Serves a log of configurations and one of server entries.
class ScriptedStore {
 public:
  explicit ScriptedStore(asio::io_context& io)
      : io_(io),
        server_(
            io, {"127.0.0.1", 0},
            [this](HttpExchange& exchange) { return HandleRequest(exchange); },
            HttpServerLimits{}) {}

  Address address() const { return {"127.0.0.1", server_.port()}; }

  void Append(const std::string& value) {
    log.Append(kConfig, "config", value);
  }
  void AppendServer(const std::string& id, const std::string& value) {
    log.Append(kServers, id, value);
  }

  FakeKeyedLog log;
  // Answers to the next reads of the newest server entries.
  std::deque<HttpResponse> server_pages;
  int unanswered_config_reads = 0;  // The next reads never answered.
  int config_reads = 0;

 private:
  asio::awaitable<void> HandleRequest(HttpExchange& exchange) {
    const absl::StatusOr<HttpQuery> query =
        HttpQuery::Parse(exchange.request());
    HttpResponse response;
    if (!query.ok()) {
      response.status = 400;
      co_await exchange.Respond(std::move(response));
      co_return;
    }
    const std::string topic = query->Value("topic");
    if (exchange.request().Path() == "/v1/log-append") {
      const std::string& body = exchange.request().body;
      for (const KeyedRecord& record : DecodeRecords(topic, body, 0).records) {
        log.Append(topic, record.key, record.value);
      }
      co_await exchange.Respond(HttpResponse::JsonText(200, "{}"));
      co_return;
    }
    if (exchange.request().Path() == "/v1/log-newest") {
      std::optional<std::string> after;
      if (query->Contains("after")) after = query->Value("after");
      response = HttpResponse::JsonText(200, log.NewestPage(topic, after));
      if (topic == kServers && !server_pages.empty()) {
        response = server_pages.front();
        server_pages.pop_front();
      }
      co_await exchange.Respond(std::move(response));
      co_return;
    }
    EXPECT_TRUE(query->Contains("from"));
    EXPECT_TRUE(query->Contains("wait_ms"));
    const uint64_t from = query->Number("from", 0);
    if (topic == kConfig) {
      ++config_reads;
      if (unanswered_config_reads > 0) {
        --unanswered_config_reads;
        co_await Sleep(io_, seconds(3600));
        co_return;
      }
    }
    if (from >= log.End(topic)) {
      co_await Sleep(io_, milliseconds(query->Number("wait_ms", 0)));
    }
    std::optional<std::string> records = log.Read(topic, from, kMaxReadBytes);
    if (records) {
      response.body = *std::move(records);
    } else {
      response = HttpResponse::JsonText(410, log.DeletedText(topic));
    }
    co_await exchange.Respond(std::move(response));
  }

  asio::io_context& io_;
  HttpServer server_;
};

std::string Entry(const std::string& state, const std::string& capacity) {
  return R"({"service": "llm", "address": "10.0.0.9:80", "zone": "hall",
             "version": "v1", "capacity": )" +
         capacity + R"(, "state": ")" + state + R"("})";
}

std::string Config(int version) {
  return Json{{"version", version}, {"routes", Json::array()}}.dump();
}

class StoreClientTest : public testing::Test {
 protected:
  void HandleEvent(const Event& event) {
    if (const auto* rules = std::get_if<RuleSetRead>(&event)) {
      version_ = rules->version;
    } else if (const auto* updates = std::get_if<StoreUpdatesRead>(&event)) {
      ++update_events_[updates->topic];
    } else if (const auto* versions = std::get_if<VersionRecordRead>(&event)) {
      versions_read_ = *versions;
    } else if (const auto* list = std::get_if<ServerListRead>(&event)) {
      ++lists_;
      is_whole_ = list->is_whole;
      is_partial_ = list->is_partial;
      for (const ListedServer& server : list->listed) {
        leaving_[server.id] = server.is_leaving;
      }
    }
  }
  // Reads the record of versions and returns the answer.
  VersionRecordRead ReadVersions() {
    versions_read_.reset();
    client_.Read(ReadVersionRecord{});
    RunUntil([this] { return versions_read_.has_value(); });
    return *versions_read_;
  }
  template <typename Fn>
  void RunUntil(Fn&& is_done) {
    while (!is_done()) io_.run_one();
  }

  asio::io_context io_;
  ScriptedStore store_{io_};
  bool is_whole_ = false;    // The last list.
  bool is_partial_ = false;  // The last list.
  std::map<std::string, int> update_events_;
  std::map<std::string, bool> leaving_;  // By server, as last listed.
  int lists_ = 0;
  LogOffset version_ = 0;
  std::optional<VersionRecordRead> versions_read_;
  StoreClient client_{io_,
                      store_.address(),
                      kBudget,
                      milliseconds(100),
                      [this](const Event& event) { HandleEvent(event); },
                      [](const HttpServerLimits&) {}};
};

// Guards against a hung read of the configuration that responses for other
// topics hide, so that a change is applied seconds late.
TEST_F(StoreClientTest, HungReadOfOneTopicIsRetriedDespiteOtherTopics) {
  store_.Append(Config(1));
  store_.unanswered_config_reads = 1;
  client_.Start();
  RunUntil([&] { return store_.config_reads == 1; });
  EXPECT_EQ(version_, 1u);
  store_.Append(Config(2));
  const int before = update_events_[kConfig];
  RunUntil([&] { return update_events_["keyed.servers"] >= 2; });
  EXPECT_EQ(version_, 1u);
  EXPECT_EQ(update_events_[kConfig], before)
      << "no response covered the configuration";
  RunUntil([&] { return version_ == 2; });
  EXPECT_EQ(store_.config_reads, 2);
}

// Guards against a host that, after a disconnection, reads all missed changes
// before it gets the newest.
TEST_F(StoreClientTest, DisconnectedHostReadsOnlyNewestConfiguration) {
  store_.Append(Config(1));
  store_.unanswered_config_reads = 20;
  client_.Start();
  RunUntil([&] { return store_.config_reads == 1; });
  for (int version = 2; version <= 9; ++version) {
    store_.Append(Config(version));
  }
  RunUntil([&] { return version_ == 9; });
  EXPECT_GT(store_.unanswered_config_reads, 0);
}

// Guards against one entry that ends the reading of the server list, so that a
// host goes on sending requests to servers that have left.
TEST_F(StoreClientTest, EntryOutOfRangeDoesNotEndTheServerList) {
  store_.Append(Config(1));
  store_.AppendServer("i-1", Entry("ready", "64"));
  client_.Start();
  RunUntil([&] { return leaving_.contains("i-1"); });
  store_.AppendServer("foreign", Entry("ready", "1e999"));
  const int before = update_events_[kServers];
  RunUntil([&] {
    return update_events_[kServers] > before || update_events_[kConfig] > 9;
  });
  store_.AppendServer("i-1", Entry("draining", "64"));
  store_.AppendServer("i-2", Entry("ready", "64"));
  RunUntil(
      [&] { return leaving_.contains("i-2") || update_events_[kConfig] > 19; });
  EXPECT_TRUE(leaving_["i-1"]);
  EXPECT_TRUE(leaving_.contains("i-2"));
  EXPECT_FALSE(leaving_.contains("foreign"));
  EXPECT_LE(client_.ReadAges().at(kServers), seconds(60));
}

// Guards against a host that never becomes ready while such an entry lies in
// the list.
TEST_F(StoreClientTest, EntryOutOfRangeFromTheBeginningNamesNoServer) {
  store_.Append(Config(1));
  store_.AppendServer("foreign", Entry("ready", "-1e999"));
  store_.AppendServer("i-1", Entry("ready", "64"));
  client_.Start();
  RunUntil(
      [&] { return leaving_.contains("i-1") || update_events_[kConfig] > 9; });
  EXPECT_TRUE(leaving_.contains("i-1"));
  EXPECT_FALSE(leaving_.contains("foreign"));
}

// Answers to the first read of the server list that are no page.
std::vector<HttpResponse> BrokenPages() {
  const std::string item = Json{
      {"key", "i-9"},
      {"value", absl::Base64Escape(Entry("ready", "64"))},
      {"offset", 0}}.dump();
  std::vector<HttpResponse> answers;
  for (const std::string& body :
       {std::string(""), std::string("{}"), std::string("[]"),
        std::string("null"), std::string(R"({"end":0})"),
        std::string(R"({"items":[]})"), std::string(R"({"items":5,"end":1})"),
        std::string(R"({"items":null,"end":1})"),
        std::string(R"({"items":{"a":{}},"end":1})"),
        std::string(R"({"items":[5],"end":1})"),
        std::string(R"({"items":[{"offset":0}],"end":1})"),
        std::string(R"({"items":[],"end":"1"})"),
        std::string(R"({"items":[],"end":-1})"),
        std::string(R"({"items":[],"has_more":true,"end":1})"),
        R"({"items":[)" + item + R"(],"end":1)"}) {
    answers.push_back(HttpResponse::JsonText(200, body));
  }
  const std::string whole = R"({"items":[)" + item + R"(],"end":1})";
  for (const int status : {0, 99, 600, 999, 500, 503}) {
    answers.push_back(HttpResponse::JsonText(status, whole));
  }
  return answers;
}

class BrokenPageTest : public StoreClientTest,
                       public testing::WithParamInterface<HttpResponse> {};

// Guards against a page that is none and that empties the server list of a host
// or makes it follow the list from the beginning.
TEST_P(BrokenPageTest, IsNoServerList) {
  store_.server_pages = {GetParam(), GetParam(), GetParam()};
  store_.Append(Config(1));
  store_.AppendServer("i-1", Entry("ready", "64"));
  client_.Start();
  RunUntil([&] { return lists_ > 0; });
  EXPECT_LT(store_.server_pages.size(), 3u);
  EXPECT_TRUE(leaving_.contains("i-1"));
  EXPECT_FALSE(leaving_.contains("i-9"));
  EXPECT_TRUE(is_whole_) << "the log has all records";
}

INSTANTIATE_TEST_SUITE_P(Answers, BrokenPageTest,
                         testing::ValuesIn(BrokenPages()));

class UnreadablePageTest : public StoreClientTest,
                           public testing::WithParamInterface<int> {};

// Guards against hosts that start and serve nothing while a later page of the
// server list cannot be read, and against a list that is taken for whole.
TEST_P(UnreadablePageTest, ListIsUsedAsFarAsItCanBeRead) {
  store_.log.max_page_records = 1;
  store_.Append(Config(1));
  store_.AppendServer("i-1", Entry("ready", "64"));
  store_.AppendServer("i-2", Entry("ready", "64"));
  store_.log.DeleteBefore(kServers, 2);
  store_.server_pages = {
      HttpResponse::JsonText(200, store_.log.NewestPage(kServers, {})),
      HttpResponse::JsonText(GetParam(), "{}")};
  client_.Start();
  RunUntil([&] { return lists_ > 0; });
  EXPECT_TRUE(leaving_.contains("i-1"));
  EXPECT_FALSE(leaving_.contains("i-2"));
  EXPECT_FALSE(is_whole_);
  EXPECT_TRUE(is_partial_);
  // Changes are followed, and all is read again.
  store_.AppendServer("i-3", Entry("ready", "64"));
  RunUntil([&] { return leaving_.contains("i-3"); });
  RunUntil([&] { return is_whole_; });
  EXPECT_TRUE(leaving_.contains("i-2"));
}

INSTANTIATE_TEST_SUITE_P(Statuses, UnreadablePageTest,
                         testing::Values(200, 302, 400, 404, 500, 503));

// Guards against entries that are not read because one on their page is not
// JSON, and against servers under another key than theirs.
TEST_F(StoreClientTest, EntriesBesideOneThatIsNotJsonAreRead) {
  const std::string value = absl::Base64Escape(Entry("ready", "64"));
  const auto item = [&](const std::string& key, int offset) {
    return R"({"key":")" + key + R"(","value":")" + value + R"(","offset":)" +
           std::to_string(offset) + "}";
  };
  store_.Append(Config(1));
  store_.server_pages = {HttpResponse::JsonText(
      200, R"({"has_more":false,"items":[)" + item("i-1", 0) + "," +
               item("i-\\udcff", 1) + "," + item("i-\xff", 2) + "," +
               item("i-\xef\xbf\xbd", 3) + ",tru," + item("i-4", 4) +
               R"(],"end":5})")};
  client_.Start();
  RunUntil([&] { return lists_ > 0; });
  EXPECT_EQ(leaving_.size(), 2u);
  EXPECT_TRUE(leaving_.contains("i-1"));
  EXPECT_TRUE(leaving_.contains("i-4"));
  EXPECT_FALSE(is_whole_);
}

// Guards against a listing since the record that is used in part.
TEST_F(StoreClientTest, VersionsAreReadWithAllChangesSinceTheirRecord) {
  EXPECT_TRUE(ReadVersions().is_answered);
  EXPECT_FALSE(ReadVersions().versions.has_value());
  for (int i = 0; i < 4; ++i) store_.AppendServer("i-1", Entry("ready", "64"));
  client_.Append(AppendVersionRecord{{2, {{"llm", "v0"}}}});
  RunUntil([&] { return store_.log.Contains(kVersions); });
  const VersionRecordRead read = ReadVersions();
  ASSERT_TRUE(read.versions.has_value());
  const std::vector<StreamOrigin> expected{{"llm", "v0"}, {"llm", "v1"}};
  EXPECT_EQ(*read.versions, expected);
  EXPECT_EQ(read.until, 4u);
  store_.log.DeleteBefore(kServers, 3);
  EXPECT_TRUE(ReadVersions().is_answered);
  EXPECT_FALSE(ReadVersions().versions.has_value());
}

// Guards against a record whose offset the listing has not reached, and against
// foreign records in its topic.
TEST_F(StoreClientTest, ForeignRecordOfVersionsIsNotUsed) {
  store_.AppendServer("i-1", Entry("ready", "64"));
  store_.log.Append(kVersions, "versions", R"({"listing":7,"versions":[]})");
  EXPECT_FALSE(ReadVersions().versions.has_value());
  store_.log.Append(kVersions, "versions", "[no record");
  store_.log.Append(kVersions, "\xff", "\xff");
  EXPECT_FALSE(ReadVersions().versions.has_value());
}

// Guards against a host that has no configuration because of other keys beside
// it.
TEST_F(StoreClientTest, ConfigurationIsReadBesideKeysThatCannotBePassed) {
  store_.log.max_page_records = 1;
  store_.log.Append(kConfig, "a\xff", "other");
  store_.Append(Config(7));
  store_.log.Append(kConfig, "z\xff", "other");
  client_.Start();
  RunUntil([&] { return version_ == 7; });
}

}  // namespace
}  // namespace applehall
