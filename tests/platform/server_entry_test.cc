// Parsing of server entries and engine reports, also of damaged ones and those
// of writers of another version.

#include "platform/server_entry.h"

#include <gtest/gtest.h>

#include "core/random.h"
#include "core/settings_reader.h"
#include "platform/operator_config.h"

namespace applehall {
namespace {

constexpr char kEntry[] = R"({"service": "llm", "address": "10.0.0.9:80",
    "zone": "hall", "version": "v1", "capacity": 64, "state": "ready",
    "born": 1764720000123, "seq": 4, "cold_ms": 0,
    "models": [{"name": "m", "version": 1, "adapters": ["a3@2"]}],
    "at_hand": {"in_memory": ["x"], "on_disk": ["x", "m"]}})";
constexpr char kReport[] = R"({"models": [{"name": "m", "version": 1,
    "adapters": ["a1"]}], "loading": ["m/a2@1"], "busy": true, "seq": 12,
    "born": 1764720000123, "queued": 1, "in_flight": 2})";
constexpr char kConfig[] = R"({"version": 7, "routes": [{"name": "r", "host":
    "h", "path_prefix": "/p/", "kind": "streaming", "timeout_ms": 100,
    "backends": [{"service": "llm", "weight": 9}], "max_attempts": 2}],
    "services": [{"name": "llm", "engine": {"weights_mb": 5.5, "models":
    [{"name": "m", "adapters": 2, "load_s": 6.9}]}}], "limits": {}})";

TEST(ServerEntry, ListedServerIsParsed) {
  const auto server = ReadServer("i-1", *ParseJson(R"({"service": "llm",
    "address": "10.0.0.9:80", "zone": "hall", "capacity": 64,
    "state": "draining", "models": [{"name": "m", "version": 1,
    "adapters": ["a3@2"]}], "at_hand": {"in_memory": ["x"],
    "on_disk": ["x", "m"]}})"));
  ASSERT_TRUE(server.ok());
  EXPECT_EQ(server->version, "");
  EXPECT_EQ(ReadServer("i-1", *ParseJson(kEntry))->version, "v1");
  EXPECT_TRUE(server->is_leaving);
  EXPECT_TRUE(server->is_engine);
  EXPECT_EQ(server->models.at("llm/m"), std::vector<std::string>{"llm/m/a3"});
  EXPECT_EQ(server->on_disk, (std::vector<std::string>{"llm/x", "llm/m"}));
  EXPECT_FALSE(ReadServer("i-2", *ParseJson(R"({"service": "llm"})")).ok());
}

TEST(ServerEntry, ReportIsParsed) {
  const absl::StatusOr<Inventory> read =
      ReadReport("i-1", "llm", *ParseJson(R"({
    "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
    "loading": ["m/a2@1"], "busy": true, "seq": 12})"));
  ASSERT_TRUE(read.ok()) << read.status();
  const Inventory& inventory = *read;
  EXPECT_EQ(inventory.accepted_orders, 12u);
  EXPECT_TRUE(inventory.is_busy);
  ASSERT_EQ(inventory.replicas.size(), 3u);
  EXPECT_EQ(inventory.replicas[1].name, "llm/m/a1");
  EXPECT_EQ(inventory.replicas[2].state, ReplicaState::kLoading);
  EXPECT_EQ(inventory.replicas[2].base, "llm/m");
}

// A restarted server may keep its id; its start time identifies the
// incarnation.
TEST(ServerEntry, StartTimeIsParsed) {
  const auto server = ReadServer("i-1", *ParseJson(kEntry));
  ASSERT_TRUE(server.ok()) << server.status();
  EXPECT_EQ(ToUnixMillis(server->started_at), 1764720000123);
  const auto report = ReadReport("i-1", "llm", *ParseJson(kReport));
  ASSERT_TRUE(report.ok()) << report.status();
  EXPECT_EQ(report->started_at, server->started_at);
}

// Entries that lack a required field or have a malformed one.
TEST(ServerEntry, UnusableEntriesAreRejected) {
  const auto entry_with = [](const char* key, const char* value) {
    Json json = *ParseJson(kEntry);
    json[key] = *ParseJson(value);
    return json;
  };
  EXPECT_FALSE(ReadServer("i-1", Json::array()).ok());
  EXPECT_FALSE(ReadServer("", *ParseJson(kEntry)).ok());
  EXPECT_FALSE(ReadServer("i\xff", *ParseJson(kEntry)).ok());
  for (const char* key : {"service", "address", "state", "capacity"}) {
    Json json = *ParseJson(kEntry);
    json.erase(key);
    EXPECT_FALSE(ReadServer("i-1", json).ok()) << key;
    EXPECT_FALSE(ReadServer("i-1", entry_with(key, "[]")).ok()) << key;
  }
  EXPECT_FALSE(ReadServer("i-1", entry_with("state", "\"resting\"")).ok());
  EXPECT_FALSE(ReadServer("i-1", entry_with("address", "\"elsewhere\"")).ok());
  for (const char* port : {"0", "65536", "-1", "1e999", "text", ""}) {
    const std::string address = std::string("\"10.0.0.1:") + port + "\"";
    EXPECT_FALSE(ReadServer("i-1", entry_with("address", address.c_str())).ok())
        << address;
  }
  EXPECT_FALSE(ReadServer("i-1", entry_with("capacity", "0")).ok());
  EXPECT_FALSE(ReadServer("i-1", entry_with("born", "\"noon\"")).ok());
  EXPECT_FALSE(ReadServer("i-1", entry_with("born", "-3")).ok());
  EXPECT_FALSE(ReadServer("i-1", entry_with("models", "{}")).ok());
  EXPECT_FALSE(ReadServer("i-1", entry_with("models", "[3]")).ok());
}

// Guards against sums of counts that overflow.
TEST(ServerEntry, CountsOfAReportStayWithinBounds) {
  const auto read = [](const std::string& number) {
    return ReadReport(
        "i-1", "llm",
        *ParseJson(R"({"models": [], "busy": true, "seq": 1, "queued": )" +
                   number + R"(, "in_flight": )" + number + "}"));
  };
  for (const char* number : {"2147483647", "9223372036854775807"}) {
    EXPECT_EQ(read(number)->queued, 1'000'000) << number;
    EXPECT_EQ(read(number)->running, 1'000'000) << number;
  }
  for (const char* number : {"-1", "-9223372036854775808", "1e300"}) {
    EXPECT_EQ(read(number)->queued, 0) << number;
  }
  EXPECT_EQ(read("7")->running, 7);
}

// A missing order count must not be read as zero: orders would be repeated.
TEST(ServerEntry, UnusableReportsAreRejected) {
  for (const char* text :
       {"[]", "{}", R"({"models": [], "busy": true})",
        R"({"models": [], "busy": 1, "seq": 1})",
        R"({"models": [], "busy": true, "seq": -1})",
        R"({"models": [{}], "busy": true, "seq": 1})",
        R"({"models": [], "busy": true, "seq": 1, "born": 1.5})"}) {
    EXPECT_FALSE(ReadReport("i-1", "llm", *ParseJson(text)).ok()) << text;
  }
}

// Replaces or erases one value anywhere in a document.
Json Mutate(const Json& json, Random& random) {
  static const Json kReplacements = *ParseJson(
      R"([null, true, -1, 0, 1e300, 18446744073709551615, "", "x", [], {},
          [[]], {"name": 3}, [null], "10.0.0.1:99999"])");
  if (json.is_structured() && !json.empty() && random.Unit() < 0.8) {
    Json copy = json;
    auto it = copy.begin();
    std::advance(it, static_cast<int>(random.Below(copy.size())));
    if (random.Unit() < 0.2) {
      copy.erase(it);
      return copy;
    }
    *it = Mutate(*it, random);
    return copy;
  }
  return kReplacements[random.Below(kReplacements.size())];
}

// Whatever the store or an engine sends, parsing must neither throw nor accept
// a server without a valid address.
TEST(ServerEntry, MutatedDocumentsDoNotThrow) {
  constexpr uint64_t kSeed = 20261203;
  SCOPED_TRACE(testing::Message() << "seed " << kSeed);
  Random random(kSeed);
  const Json entry = *ParseJson(kEntry);
  const Json report = *ParseJson(kReport);
  const Json config = *ParseJson(kConfig);
  int accepted = 0;
  for (int i = 0; i < 20000; ++i) {
    const auto mutate = [&](Json json) {
      for (uint64_t n = 1 + random.Below(4); n > 0; --n) {
        json = Mutate(json, random);
      }
      return json;
    };
    const auto server = ReadServer("i-1", mutate(entry));
    if (server.ok()) {
      ++accepted;
      EXPECT_FALSE(server->service.empty());
      EXPECT_TRUE(ParseAddress(server->address).ok());
      EXPECT_GE(server->slots, 1);
    }
    const auto inventory = ReadReport("i-1", "llm", mutate(report));
    if (inventory.ok()) EXPECT_EQ(inventory->engine, "i-1");
    const auto read = ReadOperatorConfig(mutate(config));
    if (read.ok()) EXPECT_GT(read->rules.version, 0u);
  }
  EXPECT_GT(accepted, 100);
}

// Returns kEntry with the value of one key replaced by `text`, which need not
// be JSON.
std::string EntryWithText(const std::string& changed, const std::string& text) {
  const Json original = *ParseJson(kEntry);
  std::string entry = "{";
  for (const auto& [key, value] : original.items()) {
    if (entry.size() > 1) entry += ",";
    entry += Json(key).dump() + ":" + (key == changed ? text : value.dump());
  }
  return entry + "}";
}

// Guards against an entry of another writer that hides those of the others.
TEST(ServerEntry, ForeignEntryLeavesTheOthersListed) {
  const std::vector<std::string> texts = {"1e999",
                                          "-1e999",
                                          "[1e999]",
                                          "{\"a\":-1e400}",
                                          "1e300",
                                          "-1",
                                          "18446744073709551615",
                                          "9223372036854775808",
                                          "99999999999999999999",
                                          "4294967297",
                                          "0.1e-400",
                                          "\"\xff\xfe\"",
                                          "\"\\ud800\"",
                                          "nul",
                                          "",
                                          std::string(2000, '[')};
  const Json original = *ParseJson(kEntry);
  for (const auto& [key, value] : original.items()) {
    for (const std::string& text : texts) {
      SCOPED_TRACE(testing::Message() << key << ": " << text.substr(0, 40));
      const std::vector<KeyedRecord> records = {
          {"i-1", kEntry, 0},
          {"foreign", EntryWithText(key, text), 1},
          {"i-2", kEntry, 2}};
      ServerListRead read;
      ASSERT_NO_THROW(read = ReadServerRecords(records, /*is_whole=*/true));
      std::vector<std::string> ids;
      for (const ListedServer& server : read.listed) {
        if (server.id != "foreign") ids.push_back(server.id);
      }
      EXPECT_EQ(ids, (std::vector<std::string>{"i-1", "i-2"}));
    }
  }
}

// Guards against a start time beyond what a time can hold.
TEST(ServerEntry, ServerThatCameAndWentBetweenTwoReadsIsNamed) {
  Json entry = *ParseJson(kEntry);
  entry["version"] = "v2";
  const ServerListRead read = ReadServerRecords({{"i-1", kEntry, 5},
                                                 {"i-2", entry.dump(), 6},
                                                 {"i-2", "", 7},
                                                 {"i-3", "", 8}},
                                                /*is_whole=*/false);
  ASSERT_EQ(read.passed.size(), 1u);
  EXPECT_EQ(read.passed[0].version, "v2");
  EXPECT_EQ(read.listed.size(), 1u);
  EXPECT_EQ(read.gone.size(), 2u);
}

TEST(ServerEntry, StartTimeOutOfRangeIsRejected) {
  for (const char* born :
       {"253402300800000", "9223372036854775807", "18446744073709551615"}) {
    EXPECT_FALSE(
        ReadServer("i-1", *ParseJson(EntryWithText("born", born))).ok())
        << born;
  }
}

}  // namespace
}  // namespace applehall
