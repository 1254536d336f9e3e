// Real daemons and stand-ins over loopback, in one process.

#include "main/daemon.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <fstream>
#include <functional>
#include <thread>

#include "core/uuid.h"
#include "drivers/http_client.h"
#include "main/operator_commands.h"
#include "standins/answer_text.h"
#include "standins/standin_server.h"
#include "tests/node/test_rules.h"

namespace applehall {
namespace {

constexpr char kChat[] = "/v1/chat/completions";

class DaemonTest : public testing::Test {
 protected:
  void SetUp() override {
    Json config{{"store_loads_per_second", 50},
                {"store_slots", 50},
                {"store_slot_bytes_per_second", 5e9},
                {"host_list_lag_ms", 50}};
    for (const CatalogueEntry& entry : TestCatalogue(6)) {
      config["models"].push_back(
          {{"name", entry.name}, {"base", entry.base}, {"bytes", entry.bytes}});
    }
    for (const char* name : {"engine-1", "engine-2"}) {
      config["engines"].push_back({{"name", name},
                                   {"data_centre", "hall"},
                                   {"memory_bytes", 4'000'000'000},
                                   {"kv_bytes_per_slot", 10'000'000},
                                   {"slots", 16},
                                   {"first_token_ms", 2},
                                   {"per_token_us", 500}});
    }
    config["services"].push_back(
        {{"name", "doors-1"}, {"service", "doors"}, {"data_centre", "hall"}});
    standins_ = std::make_unique<StandinServer>(io_, config);
    const Json addresses = standins_->Addresses();
    platform_ = addresses["platform"].get<std::string>();
    standin_thread_ = std::thread([this] {
      const auto guard = boost::asio::make_work_guard(io_);
      io_.run();
    });
    StartDaemon("entry-1");
    StartDaemon("entry-2");
    rules_path_ = testing::TempDir() + "applehall-daemon-test-" +
                  std::to_string(::getpid()) + ".json";
    std::ofstream(rules_path_) << TestRules().dump();
  }

  void TearDown() override {
    for (auto& [name, daemon] : daemons_) daemon->Drain();
    for (std::thread& thread : threads_) thread.join();
    daemons_.clear();
    io_.stop();
    standin_thread_.join();
    std::remove(rules_path_.c_str());
  }

  void StartDaemon(const std::string& name) {
    DaemonSettings settings;
    settings.node.self = {name, 1};
    settings.node.data_centre = "hall";
    settings.node.max_drain = std::chrono::seconds(20);
    settings.node.seed = StableHash(name);
    settings.callers = settings.operators = settings.peers = {"127.0.0.1", 0};
    settings.platform.log = *ParseAddress(platform_);
    settings.platform.hosts = settings.platform.log;
    settings.platform.store = settings.platform.log;
    settings.shared_key = "0123456789abcdef";
    auto daemon = std::make_unique<Daemon>(settings);
    const std::string ip = "127.0.0.1:";
    Platform("/hosts",
             Json{{"put",
                   {{"name", name},
                    {"kind", "entry"},
                    {"data_centre", "hall"},
                    {"address", ip + std::to_string(daemon->callers_port())},
                    {"peer_address", ip + std::to_string(daemon->peers_port())},
                    {"incarnation", 1}}}});
    threads_.emplace_back([&running = *daemon] { running.Run(); });
    daemons_[name] = std::move(daemon);
  }

  HttpResult Platform(const std::string& target, const Json& body) {
    return Send(*ParseAddress(platform_), "POST", target, body.dump(), {});
  }

  static HttpResult Send(const Address& address, const std::string& method,
                         const std::string& target, const std::string& body,
                         const HttpHeaders& headers) {
    HttpCall call;
    call.address = address;
    call.request = {method, target, headers, body};
    call.header_timeout = std::chrono::seconds(30);
    return FetchBlocking(call);
  }

  HttpResult ToHost(const std::string& host, const std::string& target,
                    const std::string& body, const HttpHeaders& headers = {}) {
    return Send({"127.0.0.1", daemons_.at(host)->callers_port()}, "POST",
                target, body, headers);
  }

  Json Truth() {
    return *ParseJson(
        Send(*ParseAddress(platform_), "GET", "/truth", "", {}).response.body);
  }

  // Asks until it holds; the tests' own time limit ends a wait in vain.
  static void Await(const std::function<bool()>& condition) {
    while (!condition()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  void PublishAndAwaitReady() {
    ASSERT_EQ(PublishRulesFile(rules_path_, 0, platform_, platform_,
                               OutputFormat::kJson),
              CommandExit::kOk);
    for (const auto& [name, daemon] : daemons_) {
      const Address operators{"127.0.0.1", daemon->operators_port()};
      Await([&] { return Send(operators, "GET", "/readyz", "", {}).is_ok(); });
    }
    // A door answers once the claims stream was read.
    Await([&] { return OpenDoor("entry-1", NewKey()).is_ok(); });
    Await([&] { return OpenDoor("entry-2", NewKey()).is_ok(); });
  }

  std::string NewKey() { return MakeUuid7(SystemClock().Now(), random_); }

  HttpResult OpenDoor(const std::string& host, const std::string& key) {
    return ToHost(host, "/services/doors/7", "{}", {{"idempotency-key", key}});
  }

  static std::string ChatBody(const std::string& model,
                              const std::string& prompt, bool stream) {
    return Json{{"model", model},
                {"messages", {{{"role", "user"}, {"content", prompt}}}},
                {"max_tokens", 20},
                {"stream", stream}}
        .dump();
  }

  // The content of a stream's events, or empty if it has no proper end.
  static std::string StreamContent(const std::string& body) {
    std::string content;
    size_t at = 0;
    while ((at = body.find("data: ", at)) != std::string::npos) {
      at += 6;
      const std::string data = body.substr(at, body.find("\n\n", at) - at);
      if (data == "[DONE]") return content;
      const auto json = ParseJson(data);
      if (!json.ok() || !json->contains("choices")) return "";
      content += (*json)["choices"][0]["delta"]["content"].get<std::string>();
    }
    return "";
  }

  static std::string Expected(const std::string& model,
                              const std::string& body) {
    return WholeAnswer(model, ParseJson(body)->at("messages").dump(), 20);
  }

  Random random_{9};
  boost::asio::io_context io_;
  std::unique_ptr<StandinServer> standins_;
  std::thread standin_thread_;
  std::string platform_;
  std::string rules_path_;
  std::map<std::string, std::unique_ptr<Daemon>> daemons_;
  std::vector<std::thread> threads_;
};

// Forty callers at two hosts, whole answers and streams, while the engines'
// answers to some are held back past those that came later. Each must get the
// answer to its own request.
TEST_F(DaemonTest, CrossedAnswersReachTheirOwnCallers) {
  PublishAndAwaitReady();
  for (const char* engine : {"engine-1", "engine-2"}) {
    Platform("/fault",
             Json{{"target", engine}, {"kind", "reorder"}, {"count", 10}});
  }
  std::vector<std::thread> callers;
  std::atomic<int> right{0};
  for (int i = 0; i < 40; ++i) {
    callers.emplace_back([this, i, &right] {
      const std::string model = "model-" + std::to_string(i % 3);
      const bool stream = i % 2 == 0;
      const std::string body =
          ChatBody(model, "prompt " + std::to_string(i), stream);
      const HttpResult result =
          ToHost(i % 4 < 2 ? "entry-1" : "entry-2", kChat, body);
      std::string content;
      if (stream) {
        content = StreamContent(result.response.body);
      } else if (result.is_ok()) {
        content = (*ParseJson(
            result.response.body))["choices"][0]["message"]["content"]
                      .get<std::string>();
      }
      right += content == Expected(model, body);
    });
  }
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(right, 40);
}

// The engine breaks a stream midway. It can go on where it broke, so the
// caller must get the whole answer, without a gap and without a doubled word.
TEST_F(DaemonTest, BrokenStreamIsResumed) {
  PublishAndAwaitReady();
  const std::string body = ChatBody("model-1", "tell me", true);
  ASSERT_TRUE(ToHost("entry-1", kChat, body).is_ok());
  for (const char* engine : {"engine-1", "engine-2"}) {
    Platform("/fault", Json{{"target", engine}, {"kind", "break_stream"}});
  }
  const HttpResult result = ToHost("entry-1", kChat, body);
  EXPECT_EQ(StreamContent(result.response.body), Expected("model-1", body));
}

// A host is drained with thirty requests open, most for cold models.
TEST_F(DaemonTest, DrainUnderLoadCutsNone) {
  PublishAndAwaitReady();
  std::vector<std::thread> callers;
  std::atomic<int> arrived{0};
  std::atomic<int> whole{0};
  std::atomic<int> refused{0};
  for (int i = 0; i < 30; ++i) {
    callers.emplace_back([&, i] {
      const std::string model = "model-" + std::to_string(i % 6);
      const std::string body = ChatBody(model, std::to_string(i), true);
      ++arrived;
      const HttpResult result = ToHost("entry-1", kChat, body);
      if (result.response.status == 503) {
        refused +=
            result.response.body.find("\"not_run\"") != std::string::npos;
      } else {
        whole += StreamContent(result.response.body) == Expected(model, body);
      }
    });
  }
  Await([&] { return arrived == 30; });
  daemons_.at("entry-1")->Drain();
  daemons_.at("entry-1")->Drain();
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(whole + refused, 30)
      << whole << " whole, " << refused << " refused as not run";
}

// A kiosk repeats a door-open at the other host.
TEST_F(DaemonTest, RepeatedKeyIsAnsweredWith409) {
  PublishAndAwaitReady();
  const std::string key = NewKey();
  EXPECT_TRUE(OpenDoor("entry-1", key).is_ok());
  const HttpResult again = OpenDoor("entry-2", key);
  EXPECT_EQ(again.response.status, 409);
  EXPECT_EQ(Truth()["services"]["doors-1"]["runs"][key], 1);
  EXPECT_EQ(OpenDoor("entry-1", "").response.status, 400);
  EXPECT_EQ(OpenDoor("entry-1", "door-7").response.status, 400);
}

// The log takes the operator's record, and its answer is lost.
TEST_F(DaemonTest, PublishWithALostAnswerIsSettled) {
  PublishAndAwaitReady();
  std::ofstream(rules_path_) << TestRules("second").dump();
  Platform("/fault", Json{{"target", "log"}, {"kind", "duplicate"}});
  EXPECT_EQ(
      PublishRulesFile(rules_path_, 1, platform_, "", OutputFormat::kJson),
      CommandExit::kOk);
  EXPECT_EQ(
      PublishRulesFile(rules_path_, 1, platform_, "", OutputFormat::kJson),
      CommandExit::kFailed)
      << "its base is no longer in force";
  EXPECT_EQ(PublishRulesFile("/nowhere", 1, platform_, "", OutputFormat::kJson),
            CommandExit::kBadInput);
}

TEST_F(DaemonTest, BadInputIsToldClearly) {
  PublishAndAwaitReady();
  const auto status = [&](const std::string& target, const std::string& body,
                          const HttpHeaders& headers = {}) {
    const HttpResult result = ToHost("entry-1", target, body, headers);
    EXPECT_NE(result.response.body.find("\"verdict\":\"not_run\""),
              std::string::npos)
        << target << " " << body;
    return result.response.status;
  };
  EXPECT_EQ(status(kChat, "{"), 400);
  EXPECT_EQ(status(kChat, "[]"), 400);
  EXPECT_EQ(status(kChat, "{\"messages\":[]}"), 400);
  EXPECT_EQ(status(kChat, ChatBody("no-such-model", "x", false)), 400);
  EXPECT_EQ(status("/services/", "{}"), 400);
  EXPECT_EQ(status("/elsewhere", "{}"), 404);
  EXPECT_EQ(status(kChat, ChatBody("model-1", "x", false),
                   {{"applehall-deadline-ms", "soon"}}),
            400);
  EXPECT_EQ(status("/services/unknown/x", "{}"), 503);
}

// Every answer and every refusal names the rule that decided it, and the
// decision can be looked up by the request's id.
TEST_F(DaemonTest, DecisionsAreTracedToTheirRule) {
  PublishAndAwaitReady();
  const HttpResult result =
      ToHost("entry-1", kChat, ChatBody("model-2", "x", false),
             {{"x-request-id", "my-request"}});
  ASSERT_TRUE(result.is_ok());
  EXPECT_EQ(result.response.headers.at("applehall-rule"), "1/rest");
  EXPECT_EQ(result.response.headers.at("x-request-id"), "my-request");
  const Address operators{"127.0.0.1",
                          daemons_.at("entry-1")->operators_port()};
  // The answer's last bytes leave on another thread than the decision's record
  // is made on, so the caller may ask before it stands.
  absl::StatusOr<Json> decisions;
  Await([&] {
    decisions = ParseJson(
        Send(operators, "GET", "/decisions?request=my-request", "", {})
            .response.body);
    return decisions.ok() && !decisions->empty();
  });
  ASSERT_EQ(decisions->size(), 1u);
  EXPECT_EQ((*decisions)[0]["rule"], "1/rest");
  EXPECT_EQ((*decisions)[0]["verdict"], "ran");
  for (const char* path : {"/state", "/metrics", "/healthz"}) {
    EXPECT_TRUE(Send(operators, "GET", path, "", {}).is_ok()) << path;
  }
}

}  // namespace
}  // namespace applehall
