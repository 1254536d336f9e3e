// Real daemons and stand-ins over loopback, in one process.

#include "main/daemon.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <fstream>
#include <functional>
#include <mutex>
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

// A service that answers each connection with the same bytes and closes it.
class RawService {
 public:
  RawService() : thread_([this] { Run(); }) {}
  ~RawService() {
    is_stopped_ = true;
    boost::system::error_code ignored;
    boost::asio::ip::tcp::socket last(io_);
    last.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int requests() const { return requests_; }
  // Thread-safe.
  void SetAnswer(const std::string& answer) {
    const std::lock_guard lock(mutex_);
    answer_ = answer;
  }

 private:
  void Run() {
    while (true) {
      boost::system::error_code ignored;
      boost::asio::ip::tcp::socket socket = acceptor_.accept();
      if (is_stopped_) return;
      std::string request;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                              "\r\n\r\n", ignored);
      if (ignored) continue;
      ++requests_;
      const std::lock_guard lock(mutex_);
      boost::asio::write(socket, boost::asio::buffer(answer_), ignored);
    }
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_{
      io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  std::atomic<bool> is_stopped_{false};
  std::atomic<int> requests_{0};
  std::mutex mutex_;
  std::string answer_;
  std::thread thread_;
};

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

  HttpResult SendToHost(const std::string& host, const std::string& target,
                        const std::string& body,
                        const HttpHeaders& headers = {}) {
    return Send({"127.0.0.1", daemons_.at(host)->callers_port()}, "POST",
                target, body, headers);
  }

  Json FetchTruth() {
    return *ParseJson(
        Send(*ParseAddress(platform_), "GET", "/truth", "", {}).response.body);
  }

  // Polls until `condition` holds; otherwise the time limit of the test run
  // ends the wait.
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
    // Door requests succeed once the host has read the claims stream.
    Await([&] { return OpenDoor("entry-1", NewKey()).is_ok(); });
    Await([&] { return OpenDoor("entry-2", NewKey()).is_ok(); });
  }

  std::string NewKey() { return MakeUuid7(SystemClock().Now(), random_); }

  HttpResult OpenDoor(const std::string& host, const std::string& key) {
    return SendToHost(host, "/services/doors/7", "{}",
                      {{"idempotency-key", key}});
  }

  static std::string ChatBody(const std::string& model,
                              const std::string& prompt, bool stream) {
    return Json{{"model", model},
                {"messages", {{{"role", "user"}, {"content", prompt}}}},
                {"max_tokens", 20},
                {"stream", stream}}
        .dump();
  }

  // Returns the content of a stream's events; empty if the stream is
  // incomplete.
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

// Guards against responses sent to the wrong caller: engines hold back some
// responses past later ones, whole and streamed, for 40 callers at two hosts.
TEST_F(DaemonTest, ReorderedResponsesReachTheirCallers) {
  PublishAndAwaitReady();
  for (const char* engine : {"engine-1", "engine-2"}) {
    Platform("/fault",
             Json{{"target", engine}, {"kind", "reorder"}, {"count", 10}});
  }
  std::vector<std::thread> callers;
  std::atomic<int> correct_responses{0};
  for (int i = 0; i < 40; ++i) {
    callers.emplace_back([this, i, &correct_responses] {
      const std::string model = "model-" + std::to_string(i % 3);
      const bool stream = i % 2 == 0;
      const std::string body =
          ChatBody(model, "prompt " + std::to_string(i), stream);
      const HttpResult result =
          SendToHost(i % 4 < 2 ? "entry-1" : "entry-2", kChat, body);
      std::string content;
      if (stream) {
        content = StreamContent(result.response.body);
      } else if (result.is_ok()) {
        content = (*ParseJson(
            result.response.body))["choices"][0]["message"]["content"]
                      .get<std::string>();
      }
      correct_responses += content == Expected(model, body);
    });
  }
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(correct_responses, 40);
}

// The engine breaks a stream midway and can resume it: the caller must get the
// complete response, without gaps or repeated words.
TEST_F(DaemonTest, BrokenStreamIsResumed) {
  PublishAndAwaitReady();
  const std::string body = ChatBody("model-1", "tell me", true);
  ASSERT_TRUE(SendToHost("entry-1", kChat, body).is_ok());
  for (const char* engine : {"engine-1", "engine-2"}) {
    Platform("/fault", Json{{"target", engine}, {"kind", "break_stream"}});
  }
  const HttpResult result = SendToHost("entry-1", kChat, body);
  EXPECT_EQ(StreamContent(result.response.body), Expected("model-1", body));
}

// Guards against requests cut by a drain: thirty are open, most for cold
// models.
TEST_F(DaemonTest, DrainUnderLoadCompletesOrRefusesRequests) {
  PublishAndAwaitReady();
  std::vector<std::thread> callers;
  std::atomic<int> arrived{0};
  std::atomic<int> complete{0};
  std::atomic<int> refused{0};
  for (int i = 0; i < 30; ++i) {
    callers.emplace_back([&, i] {
      const std::string model = "model-" + std::to_string(i % 6);
      const std::string body = ChatBody(model, std::to_string(i), true);
      ++arrived;
      const HttpResult result = SendToHost("entry-1", kChat, body);
      if (result.response.status == 503) {
        refused +=
            result.response.body.find("\"not_run\"") != std::string::npos;
      } else {
        complete +=
            StreamContent(result.response.body) == Expected(model, body);
      }
    });
  }
  Await([&] { return arrived == 30; });
  daemons_.at("entry-1")->Drain();
  daemons_.at("entry-1")->Drain();
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(complete + refused, 30)
      << complete << " complete, " << refused << " refused as not run";
}

// Guards against a second run of a request that is repeated at another host.
TEST_F(DaemonTest, RepeatedKeyIsAnsweredWith409) {
  PublishAndAwaitReady();
  const std::string key = NewKey();
  EXPECT_TRUE(OpenDoor("entry-1", key).is_ok());
  const HttpResult again = OpenDoor("entry-2", key);
  EXPECT_EQ(again.response.status, 409);
  EXPECT_EQ(FetchTruth()["services"]["doors-1"]["runs"][key], 1);
  EXPECT_EQ(OpenDoor("entry-1", "").response.status, 400);
  EXPECT_EQ(OpenDoor("entry-1", "door-7").response.status, 400);
}

// The log appends the operator's record, but its response is lost.
TEST_F(DaemonTest, PublishWithLostResponseIsResolved) {
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

TEST_F(DaemonTest, InvalidInputIsRefusedAsNotRun) {
  PublishAndAwaitReady();
  const auto status = [&](const std::string& target, const std::string& body,
                          const HttpHeaders& headers = {}) {
    const HttpResult result = SendToHost("entry-1", target, body, headers);
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

// Guards against a host that ends at one caller's deeply nested body.
TEST_F(DaemonTest, DeeplyNestedBodyIsRefused) {
  PublishAndAwaitReady();
  constexpr int kNesting = 200000;
  const std::string body = R"({"model": "llm-1", "messages": )" +
                           std::string(kNesting, '[') +
                           std::string(kNesting, ']') + "}";
  EXPECT_EQ(SendToHost("entry-1", kChat, body).response.status, 400);
  EXPECT_TRUE(OpenDoor("entry-1", NewKey()).is_ok());
}

// Responses name the rule that decided them, and the decision can be looked up
// by the request id.
TEST_F(DaemonTest, DecisionsNameTheirRule) {
  PublishAndAwaitReady();
  const HttpResult result =
      SendToHost("entry-1", kChat, ChatBody("model-2", "x", false),
                 {{"x-request-id", "my-request"}});
  ASSERT_TRUE(result.is_ok());
  EXPECT_EQ(result.response.headers.at("applehall-rule"), "1/rest");
  EXPECT_EQ(result.response.headers.at("x-request-id"), "my-request");
  const Address operators{"127.0.0.1",
                          daemons_.at("entry-1")->operators_port()};
  // The response is sent and the decision recorded on different threads, so the
  // record may not exist yet.
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

// Guards against bytes that are no answer and reach a caller of this daemon, or
// that make it repeat a request which must not be repeated.
TEST_F(DaemonTest, BrokenAnswerReachesNoCaller) {
  RawService pumps;
  Platform("/hosts", Json{{"put",
                           {{"name", "pumps-1"},
                            {"kind", "service"},
                            {"service", "pumps"},
                            {"data_centre", "hall"},
                            {"slots", 8},
                            {"address", pumps.address()}}}});
  Json rules = TestRules();
  rules["rules"].insert(
      rules["rules"].begin(),
      Json{{"name", "pumps"},
           {"when", {{"service", "pumps"}}},
           {"then",
            {{"repeatable", false}, {"claim", false}, {"deadline_ms", 3000}}}});
  std::ofstream(rules_path_) << rules.dump();
  PublishAndAwaitReady();
  const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  pumps.SetAnswer(sound);
  Await(
      [&] { return SendToHost("entry-1", "/services/pumps/1", "{}").is_ok(); });
  for (const std::string& head :
       {std::string("HTTP/1.1 000 OK\r\nContent-Length: 5\r\n"),
        std::string("HTTP/1.1 600 OK\r\nContent-Length: 5\r\n"),
        std::string("HTTP/1.1 200 OK\r\nA b: 1\r\nContent-Length: 5\r\n"),
        std::string("HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"),
        std::string(
            "HTTP/1.1 200 OK\r\nContent-Length: 800000000000000\r\n")}) {
    const int before = pumps.requests();
    pumps.SetAnswer(head + "\r\nhello");
    const HttpResult result = SendToHost("entry-1", "/services/pumps/1", "{}");
    EXPECT_EQ(result.response.status, 504) << head;
    EXPECT_NE(result.response.body.find("\"may_have_run\""), std::string::npos)
        << result.response.body;
    EXPECT_EQ(pumps.requests(), before + 1) << head;
  }
  pumps.SetAnswer(sound);
  // A server that failed often gets no requests for a while.
  Await([&] {
    return SendToHost("entry-1", "/services/pumps/1", "{}").response.body ==
           "hello";
  });
}

}  // namespace
}  // namespace applehall
