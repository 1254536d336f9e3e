#ifndef APPLEHALL_SOAK_PLATFORM_STANDIN_H_
#define APPLEHALL_SOAK_PLATFORM_STANDIN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/settings_reader.h"
#include "drivers/http_server.h"
#include "standins/fake_counted_engine.h"

namespace applehall {

// What a backend server did for one request.
struct ServedRun {
  std::string server;
  TimePoint at;
};

// Requests with this at the start of their body end the server that runs them;
// the whole body tells one such content from the others.
inline constexpr char kPoisonBody[] = "poison";

// A request as it reached a server.
struct AttemptSeen {
  std::string attempt;
  TimePoint at;
};

// A limit that a server names from `since` on; nothing: none any more.
struct NamedLimit {
  TimePoint since;
  std::optional<double> per_second;
};

// The server that wrote an answer, for whoever checks it.
inline constexpr char kServerHeader[] = "x-soak-server";
inline constexpr char kLimitHeader[] = "server-limit";

// The users' platform as far as entry hosts see it: its store, model engines
// and plain services, over HTTP on loopback. Thread of all methods: the one
// that runs `io`.
class PlatformStandin {
 public:
  enum class StoreMode : uint8_t { kUp, kRefusing, kSilent };

  // Ids of servers bear `seed`: a server of a soak beside this one may get the
  // port of one that ended here, and must not be taken for it.
  PlatformStandin(boost::asio::io_context& io, uint64_t seed);

  Address store_address() const;
  void SetStoreMode(StoreMode mode) { store_mode_ = mode; }
  // Writes the newest configuration, with a route more for each in `extra`.
  void PutConfig(const std::vector<std::string>& extra);
  // Starts a server with a new id; returns the id.
  std::string StartEngine(const std::vector<std::string>& models);
  std::string StartApp();
  // Lists it as leaving; it goes on serving until Stop().
  void Drain(const std::string& id);
  // Ends it without a word, or takes it off the list.
  void Stop(const std::string& id, bool is_delisted);
  // It names this limit in all its answers; nothing: none.
  void NameLimit(const std::string& id, std::optional<double> per_second);
  // Every so many-th stream breaks off in the middle; zero: none.
  void SetBreakEvery(int every) { break_every_ = every; }

  // By content, in the order of time.
  const std::map<std::string, std::vector<AttemptSeen>>& poison_runs() const {
    return poison_runs_;
  }
  const std::map<std::string, std::vector<ServedRun>>& runs() const {
    return runs_;
  }
  // By server, the limits it named and the requests that reached it, run or
  // not, in the order of time.
  const std::map<std::string, std::vector<NamedLimit>>& limits() const {
    return limits_;
  }
  const std::map<std::string, std::vector<AttemptSeen>>& arrivals() const {
    return arrivals_;
  }
  // When a server was listed as leaving or gone.
  const std::map<std::string, TimePoint>& left_at() const { return left_at_; }
  const std::vector<std::string>& violations() const { return violations_; }
  std::vector<std::string> Servers(bool engines) const;

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct Server {
    std::unique_ptr<HttpServer> http;
    std::unique_ptr<FakeCountedEngine> engine;  // Null: a plain service.
    std::string service;
    bool is_leaving = false;
    bool is_stopped = false;
    uint64_t beat = 0;
  };
  template <typename T>
  using Awaitable = boost::asio::awaitable<T>;

  Awaitable<void> ServeStore(HttpExchange& exchange);
  Awaitable<void> ReadNews(HttpExchange& exchange);
  void ReadNewest(const HttpRequest& request, HttpResponse& response) const;
  void Append(const HttpRequest& request, HttpResponse& response);
  Awaitable<void> ServeServer(std::string id, HttpExchange& exchange);
  // Ends the server; another one starts at another address a moment later.
  Awaitable<void> EndUnderPoison(std::string id, std::string attempt,
                                 std::string body);
  Awaitable<void> ServeStream(std::string id, HttpExchange& exchange);
  void HandleOrder(Server& server, const HttpRequest& request,
                   HttpResponse& response);
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  void List(const std::string& id);
  std::string Start(std::unique_ptr<FakeCountedEngine> engine,
                    const std::string& service);

  std::string NextId() const;
  // Adds what all answers of the server `id` say.
  void Sign(const std::string& id, HttpHeaders& headers) const;

  boost::asio::io_context& io_;
  uint64_t seed_;
  SystemClock clock_;
  HttpServer store_;
  StoreMode store_mode_ = StoreMode::kUp;
  std::map<std::string, std::vector<Record>> topics_;
  std::map<std::string, std::shared_ptr<Server>> servers_;
  std::map<std::string, std::vector<ServedRun>> runs_;
  std::map<std::string, std::vector<AttemptSeen>> poison_runs_;
  std::map<std::string, std::vector<NamedLimit>> limits_;
  std::map<std::string, std::vector<AttemptSeen>> arrivals_;
  std::map<std::string, TimePoint> left_at_;
  std::vector<std::string> violations_;
  uint64_t config_version_ = 0;
  int started_ = 0;
  int streams_ = 0;
  int break_every_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_SOAK_PLATFORM_STANDIN_H_
