// The adapter before a store whose reads hang.

#include "platform/store_client.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "drivers/sleep.h"

namespace applehall {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kConfig[] = "keyed.op";
constexpr FreshnessBudget kBudget = FreshnessBudget::Within(seconds(1));

// The log of the configuration, and a listing without servers.
class ScriptedStore {
 public:
  explicit ScriptedStore(asio::io_context& io)
      : io_(io),
        server_(
            io, {"127.0.0.1", 0},
            [this](HttpExchange& exchange) { return Answer(exchange); },
            HttpServerLimits{}) {}

  Address address() const { return {"127.0.0.1", server_.port()}; }

  void Append(const std::string& value) { configs_.push_back(value); }

  int unanswered_config_reads = 0;  // So many of the next are never answered.
  int config_reads = 0;

 private:
  static std::string Record(const std::string& value) {
    const std::string key = "config";
    const size_t size = 1 + key.size() + value.size();
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) {
      bytes += static_cast<char>(size >> shift & 0xff);
    }
    return bytes + static_cast<char>(key.size()) + key + value;
  }

  HttpResponse Newest(const std::string& topic) const {
    Json items = Json::array();
    if (topic == kConfig && !configs_.empty()) {
      items.push_back({{"key", "config"},
                       {"value", absl::Base64Escape(configs_.back())},
                       {"offset", configs_.size() - 1}});
    }
    const size_t end = topic == kConfig ? configs_.size() : 0;
    return HttpResponse::JsonText(
        200, Json{{"items", items}, {"has_more", false}, {"end", end}}.dump());
  }

  HttpResponse News(const std::string& topic, uint64_t from) const {
    HttpResponse response;
    response.status = 200;
    response.body = std::string(16, '\0');
    if (topic != kConfig) return response;
    for (size_t i = from; i < configs_.size(); ++i) {
      response.body += Record(configs_[i]);
    }
    return response;
  }

  asio::awaitable<void> Answer(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const std::string topic = request.QueryParameter("topic");
    if (request.Path() == "/v1/log-newest") {
      HttpResponse response = Newest(topic);
      co_await exchange.Respond(std::move(response));
      co_return;
    }
    uint64_t from = 0;
    uint64_t wait_ms = 0;
    EXPECT_TRUE(absl::SimpleAtoi(request.QueryParameter("from"), &from));
    EXPECT_TRUE(absl::SimpleAtoi(request.QueryParameter("wait_ms"), &wait_ms));
    if (topic == kConfig) {
      ++config_reads;
      if (unanswered_config_reads > 0) {
        --unanswered_config_reads;
        co_await Sleep(io_, seconds(3600));
        co_return;
      }
    }
    const bool has_news = topic == kConfig && from < configs_.size();
    if (!has_news) co_await Sleep(io_, milliseconds(wait_ms));
    HttpResponse response = News(topic, from);
    co_await exchange.Respond(std::move(response));
  }

  asio::io_context& io_;
  HttpServer server_;
  std::vector<std::string> configs_;
};

std::string Config(int version) {
  return Json{{"version", version}, {"routes", Json::array()}}.dump();
}

class StoreClientTest : public testing::Test {
 protected:
  void Take(const Event& event) {
    if (const auto* rules = std::get_if<RuleSetRead>(&event)) {
      version_ = rules->version;
    } else if (const auto* news = std::get_if<StoreUpdatesRead>(&event)) {
      ++proofs_[news->topic];
    }
  }
  template <typename Fn>
  void RunUntil(Fn&& is_done) {
    while (!is_done()) io_.run_one();
  }

  asio::io_context io_;
  ScriptedStore store_{io_};
  std::map<std::string, int> proofs_;
  LogOffset version_ = 0;
  StoreClient client_{io_,
                      store_.address(),
                      kBudget,
                      milliseconds(100),
                      [this](const Event& event) { Take(event); },
                      [](const HttpServerLimits&) {}};
};

// Guards against a read of the configuration that hangs on one connection,
// hidden by answers about other topics: a change was seen seconds late.
TEST_F(StoreClientTest, HungReadOfOneTopicProvesNothingAndIsRepeated) {
  store_.Append(Config(1));
  store_.unanswered_config_reads = 1;
  client_.Start();
  RunUntil([&] { return store_.config_reads == 1; });
  EXPECT_EQ(version_, 1u);
  store_.Append(Config(2));
  const int before = proofs_[kConfig];
  RunUntil([&] { return proofs_["keyed.servers"] >= 2; });
  EXPECT_EQ(version_, 1u);
  EXPECT_EQ(proofs_[kConfig], before) << "nothing was answered about it";
  RunUntil([&] { return version_ == 2; });
  EXPECT_EQ(store_.config_reads, 2);
}

// Guards against a host that reads every change it missed, and only then has
// the one that counts.
TEST_F(StoreClientTest, HostThatWasCutOffReadsTheNewestConfigurationAlone) {
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

}  // namespace
}  // namespace applehall
