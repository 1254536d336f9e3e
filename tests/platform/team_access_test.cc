// Which requests run, by the list of teams in the operator's configuration.

#include <rapidcheck/gtest.h>

#include "platform/operator_config.h"
#include "tests/node/fleet_fixture.h"

namespace applehall {
namespace {

Json MakeConfig(LogOffset version) {
  Json config = *ParseJson(R"({"routes": [
    {"name": "closed", "host": "shop.example", "path_prefix": "/closed/",
     "kind": "idempotent", "timeout_ms": 1000, "service": "app"},
    {"name": "open", "host": "shop.example", "path_prefix": "/open/",
     "kind": "idempotent", "timeout_ms": 1000, "service": "app",
     "public": true}]})");
  config["version"] = version;
  return config;
}

// Returns the team that a key belongs to; nothing if the key is not valid.
std::optional<std::string> TeamOfKey(const Json& list, const std::string& key) {
  if (!list.is_array() || key.empty()) return std::nullopt;
  for (const Json& team : list) {
    const bool is_sound = team.is_object() && team.contains("name") &&
                          !team.contains("odd") && team["api_keys"].is_array();
    if (!is_sound) continue;
    for (const Json& held : team["api_keys"]) {
      if (held == key) return team["name"].get<std::string>();
    }
  }
  return std::nullopt;
}

Json AnyTeam(int number) {
  const std::string name = "team-" + std::to_string(number);
  const Json keys = Json::array({"key-" + std::to_string(number), "", 7});
  const std::vector<Json> teams{
      Json{{"name", name}, {"api_keys", keys}},
      Json{{"name", name}, {"api_keys", keys}, {"rate_per_s", 0}},
      Json{{"name", name}, {"api_keys", Json::array()}},
      Json{{"name", name}, {"api_keys", "key-" + std::to_string(number)}},
      Json{{"api_keys", keys}},
      Json{{"name", 5}, {"odd", 1}},
      Json(nullptr),
      Json(keys),
      Json("key-0"),
      Json{{"name", name}, {"api_keys", keys}, {"odd", 1}, {"rate_per_s", "x"}},
      Json{{"name", name}, {"api_keys", keys}, {"odd", 1}, {"rate_per_s", -1}},
      Json{{"name", name}, {"api_keys", keys}, {"odd", 1}, {"burst_size", {}}},
      Json{{"name", name}, {"api_keys", keys}, {"odd", 1}, {"unit", 3}}};
  return teams[*rc::gen::inRange<size_t>(0, teams.size())];
}

// Returns a list of teams, something that is none, or nothing.
std::optional<Json> AnyList() {
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return std::nullopt;
    case 1:
      return Json::array();
    case 2: {
      const std::vector<Json> odd{Json(nullptr),  Json(""),
                                  Json(0),        Json(false),
                                  Json::object(), Json{{"key-0", "team-0"}}};
      return odd[*rc::gen::inRange<size_t>(0, odd.size())];
    }
    default:
      break;
  }
  Json list = Json::array();
  const int count = *rc::gen::inRange(1, 4);
  for (int i = 0; i < count; ++i) list.push_back(AnyTeam(i));
  return list;
}

class TeamAccessTest : public FleetTest {
 protected:
  void Install(const std::string& host, const Json& config) {
    const absl::StatusOr<OperatorConfig> read = ReadOperatorConfig(config);
    ASSERT_TRUE(read.ok()) << read.status().message();
    Handle(host, read->rules);
  }

  // Sends a request; returns how it was passed on, or nothing.
  std::optional<DispatchRequest> Send(const std::string& host,
                                      const std::string& path,
                                      const std::string& key) {
    RequestArrived request;
    request.handle = ++handle_;
    request.request_id = "r" + std::to_string(handle_);
    request.facts.path = path;
    request.facts.headers["host"] = "shop.example";
    request.facts.caller = "anonymous";
    if (!key.empty()) request.api_key = ApiKeyDigest::FromKey(key);
    Handle(host, request);
    std::optional<DispatchRequest> passed_on;
    for (const DispatchRequest& sent : ActionsOf<DispatchRequest>(host)) {
      if (sent.handle == request.handle) passed_on = sent;
    }
    Handle(host, CallerDisconnected{request.handle});
    return passed_on;
  }

  // Returns whether a request with this key runs on a route that is not public.
  bool IsAdmitted(const std::string& host, const std::string& key) {
    return Send(host, "/closed/x", key).has_value();
  }

  RequestHandle handle_ = 0;
};

// Guards against a host that admits everybody once the last team is removed.
TEST_F(TeamAccessTest, NobodyIsAdmittedAfterTheLastTeamIsRemoved) {
  Add("a");
  Json config = MakeConfig(2);
  config["tenants"] = *ParseJson(R"([{"name": "t", "api_keys": ["key-0"]}])");
  Install("a", config);
  ASSERT_TRUE(IsAdmitted("a", "key-0"));
  config["version"] = 3;
  config["tenants"] = Json::array();
  Install("a", config);
  Add("b");
  Install("b", config);
  for (const char* host : {"a", "b"}) {
    for (const char* key : {"key-0", "key-9", ""}) {
      EXPECT_FALSE(IsAdmitted(host, key)) << host << key;
    }
    const auto open = Send(host, "/open/x", "key-0");
    ASSERT_TRUE(open.has_value());
    EXPECT_EQ(open->team, "");
  }
}

// Guards against a list of teams that cannot be read and is taken for none.
TEST_F(TeamAccessTest, NobodyIsAdmittedByAListThatCannotBeRead) {
  Add("a");
  LogOffset version = 2;
  for (const char* list :
       {"null", "{}", "7", "true", "\"\"", "[null, 3, {\"api_keys\": []}]"}) {
    Json config = MakeConfig(version++);
    config["tenants"] = *ParseJson(list);
    Install("a", config);
    EXPECT_FALSE(IsAdmitted("a", "")) << list;
    EXPECT_FALSE(IsAdmitted("a", "key-9")) << list;
  }
}

// Guards against a limit that cannot be read and is taken for no limit.
TEST_F(TeamAccessTest, TeamWhoseLimitCannotBeReadIsNotAdmitted) {
  Add("a");
  LogOffset version = 2;
  for (const char* limit :
       {R"("rate_per_s": "9")", R"("rate_per_s": null)", R"("rate_per_s": -1)",
        R"("burst_size": [])", R"("plain_tokens": "1")", R"("unit": 7)"}) {
    Json config = MakeConfig(version++);
    config["tenants"] = *ParseJson(
        std::string(R"([{"name": "t", "api_keys": ["key-0"], )") + limit +
        R"(}, {"name": "u", "api_keys": ["key-1"], "rate_per_s": 0}])");
    Install("a", config);
    EXPECT_FALSE(IsAdmitted("a", "key-0")) << limit;
    EXPECT_TRUE(IsAdmitted("a", "key-1")) << limit;
  }
}

// Guards against lists of teams that admit others than the holders of a key, at
// hosts that had another version before and at those that start.
RC_GTEST_FIXTURE_PROP(TeamAccessTest, OnlyHoldersOfAKeyAreAdmitted, ()) {
  Add("a");
  const int versions = *rc::gen::inRange(1, 6);
  for (int version = 2; version < 2 + versions; ++version) {
    const std::optional<Json> list = AnyList();
    Json config = MakeConfig(static_cast<LogOffset>(version));
    if (list) config["tenants"] = *list;
    Install("a", config);
    Add("b");
    Install("b", config);
    for (const std::string host : {"a", "b"}) {
      for (const std::string key : {"", "key-0", "key-1", "key-2", "key-9"}) {
        const std::optional<std::string> team =
            list ? TeamOfKey(*list, key) : std::nullopt;
        const auto closed = Send(host, "/closed/x", key);
        const auto open = Send(host, "/open/x", key);
        RC_ASSERT(closed.has_value() == (!list || team));
        RC_ASSERT(open.has_value());
        const std::optional<std::string> passed_on =
            list ? std::optional(team.value_or("")) : std::nullopt;
        RC_ASSERT(open->team == passed_on);
        if (closed) RC_ASSERT(closed->team == passed_on);
      }
    }
  }
}

}  // namespace
}  // namespace applehall
