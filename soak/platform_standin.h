#ifndef APPLEHALL_SOAK_PLATFORM_STANDIN_H_
#define APPLEHALL_SOAK_PLATFORM_STANDIN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/json.h"
#include "core/settings_reader.h"
#include "drivers/http_query.h"
#include "drivers/http_server.h"
#include "standins/fake_counted_engine.h"
#include "standins/fake_keyed_log.h"

namespace applehall {

// One execution of a request by a backend server.
struct ServedRun {
  std::string server;
  TimePoint at;
  std::optional<TimePoint> ended_at = std::nullopt;  // With kWorkHeader only.
};

// Requests whose body starts with this crash the server that executes them. The
// complete body identifies the poison message.
inline constexpr char kPoisonBody[] = "poison";
// The topic of the operator's configuration.
inline constexpr char kConfigTopic[] = "keyed.op";
// Header of a request with the time in milliseconds that a server works on it
// before its answer begins; a server stops when its connection closes.
inline constexpr char kWorkHeader[] = "x-soak-work-ms";
// Request headers with the size of a plain answer's body, and of the data of
// each event of a stream.
inline constexpr char kAnswerBytesHeader[] = "x-soak-answer-bytes";
inline constexpr char kEventBytesHeader[] = "x-soak-event-bytes";
// Begins the ids of prompt parts that crash the engines that answer them.
inline constexpr char kBadPart[] = "bad-";

// Arrival of a request at a server.
struct AttemptArrival {
  std::string attempt;
  TimePoint at;
};

// Request rate limit that a server announces from `since` on; nullopt: none.
struct AnnouncedLimit {
  TimePoint since;
  std::optional<double> per_second;
};

// A time in which a service's servers announce that they are brittle: each
// crashes when it rejects more than `max_rejected` requests in a second for
// lack of room.
struct BrittleTime {
  TimePoint from;
  TimePoint to;
  int max_rejected = 0;
  size_t servers = 0;
  int crashes = 0;
  int rejected = 0;
};

// Response header with the server that answered, for the soak's checks.
inline constexpr char kServerHeader[] = "x-soak-server";
// Request header: events of the stream name the software version that sent
// them.
inline constexpr char kVersionsHeader[] = "x-soak-versions";
// Target latency of all routes while servers have different speeds: three times
// the time that a server of speed 1 works on a call.
inline constexpr Duration kUnevenTarget = std::chrono::milliseconds(300);
// Plain servers then: two of each speed.
inline constexpr int kUnevenServers = 6;
// Of each model, and room of each engine.
inline constexpr uint64_t kModelMegabytes = 70000;
inline constexpr uint64_t kEngineMegabytes = 200000;
inline constexpr char kLimitHeader[] = "server-limit";
inline constexpr char kBrittleHeader[] = "server-brittle";

// Fake of the platform: its store, model engines and plain services, over HTTP
// on loopback. Thread of all methods: the one that runs `io`.
class PlatformStandin {
 public:
  enum class StoreMode : uint8_t { kUp, kRefusing, kUnresponsive };

  // Server ids contain `seed`: a server of a concurrent soak may get the port
  // of a stopped server of this one, and must not be mistaken for it. The
  // catalogue has `models` models, "m0" and so on.
  PlatformStandin(boost::asio::io_context& io, uint64_t seed, int models);

  Address store_address() const;
  // Opens a further address of the store, at which the listing names
  // `translate` of each server's address. Returns it.
  Address AddStoreView(std::function<Address(const Address&)> translate);
  void SetStoreMode(StoreMode mode) { store_mode_ = mode; }
  // The store's topics, their pages and their history.
  FakeKeyedLog& log() { return log_; }
  // Calls to the store whose query is malformed.
  int refused_queries() const { return refused_queries_; }
  // Publishes a new configuration, with an additional route for each `extra`.
  void PutConfig(const std::vector<std::string>& extra);
  // Sets the software version of engines that start from now on.
  void SetEngineVersion(const std::string& version) { version_ = version; }
  // Starts a server with a new id and returns the id.
  std::string StartEngine(const std::vector<std::string>& models);
  std::string StartApp();
  // Lists a server of the caller's own for the service of the routes "/raw/",
  // whose requests may be repeated, and "/raw-once/", whose may not. The routes
  // are in the configurations that are put after it.
  void ListRawServer(const Address& address);
  // Returns the entry of a server as it would be listed now.
  std::string EntryText(const std::string& id) const;
  // Lists a server again with its present state.
  void PublishEntry(const std::string& id);
  // Writes to the list of servers and the configuration as another writer: any
  // bytes under any key.
  void PutServerRecord(const std::string& key, const std::string& value);
  void PutRecord(const std::string& topic, const std::string& key,
                 const std::string& value);
  void PutConfigText(const std::string& text);
  // Appends a record to the list of servers whose bytes are `content`, with a
  // key of any length that they state.
  void PutMalformedServerRecord(const std::string& content);
  // Returns the text of a new configuration, as for PutConfig().
  std::string NextConfigText(const std::vector<std::string>& extra);
  // Lists the server as leaving; it serves until Stop().
  void Drain(const std::string& id);
  // Stops the server at once; also removes it from the list if `is_delisted`.
  void Stop(const std::string& id, bool is_delisted);
  // Makes the server announce this limit in all its responses; nullopt: none.
  void AnnounceLimit(const std::string& id, std::optional<double> per_second);
  // Sets the slots that servers list. Requires: called before servers start.
  void SetCapacity(int capacity) { capacity_ = capacity; }
  // Gives servers different speeds and `capacity` slots; each is slowed down
  // now and then, and reports its load. Requires: called before PutConfig().
  void MakeUneven(int capacity) {
    is_uneven_ = true;
    capacity_ = capacity;
  }
  // Makes the servers of a service announce that they are brittle, take longer
  // for a request and, after a while, let none wait for a slot, until
  // EndBrittle().
  void BeginBrittle(bool engines, int max_rejected);
  void EndBrittle();
  const std::vector<BrittleTime>& brittle_times() const {
    return brittle_times_;
  }
  // The server answers nothing until `until`; its connections stay open.
  void Silence(const std::string& id, TimePoint until) {
    silent_until_[id] = until;
  }
  // Breaks off each `every`-th stream in the middle; zero: none.
  void SetBreakEvery(int every) { break_every_ = every; }

  // Runs of poison messages by body or prompt part, in order of time.
  const std::map<std::string, std::vector<AttemptArrival>>& poison_runs()
      const {
    return poison_runs_;
  }
  const std::map<std::string, std::vector<ServedRun>>& runs() const {
    return runs_;
  }
  // Announced limits and arrived requests, executed or not, by server, in order
  // of time.
  const std::map<std::string, std::vector<AnnouncedLimit>>& limits() const {
    return limits_;
  }
  const std::map<std::string, std::vector<AttemptArrival>>& arrivals() const {
    return arrivals_;
  }
  // Times at which servers were listed as leaving or removed.
  const std::map<std::string, TimePoint>& withdrawn_at() const {
    return withdrawn_at_;
  }
  const std::vector<std::string>& violations() const { return violations_; }
  std::vector<std::string> Servers(bool engines) const;

 private:
  struct Server {
    std::unique_ptr<HttpServer> http;
    std::unique_ptr<FakeCountedEngine> engine;  // Null: a plain service.
    std::string service;
    std::string version;
    bool is_leaving = false;
    bool is_stopped = false;
    uint64_t entry_sequence = 0;
    int running = 0;  // With those that wait for a slot.
    int working = 0;  // Of them, those that have a slot; while uneven.
    double speed = 1;
    std::vector<TimePoint> rejected_at;  // While it is brittle.
  };
  template <typename T>
  using Awaitable = boost::asio::awaitable<T>;

  using Translate = std::function<Address(const Address&)>;

  // `translate` may be empty.
  Awaitable<void> ServeStore(HttpExchange& exchange, Translate translate);
  Awaitable<void> HandleLogRead(HttpExchange& exchange, HttpQuery query,
                                Translate translate);
  void HandleNewestRead(const HttpQuery& query, HttpResponse& response,
                        const Translate& translate) const;
  static FakeKeyedLog::Translate EntryTranslation(const std::string& topic,
                                                  const Translate& translate);
  bool IsBrittle(const Server& server) const;
  // Rejects a request for lack of room; the server may crash.
  void RejectForRoom(const std::string& id);
  Awaitable<void> CrashAndReplace(std::string id);
  Awaitable<void> AwaitSilence(const std::string& id);
  // Returns how long work takes at the server now, relative to its usual time.
  double SlowdownOf(const std::string& id) const;
  // Works on a call to a plain service.
  Awaitable<void> Work(const std::string& id, Server& server);
  void HandleAppend(const HttpRequest& request, const HttpQuery& query,
                    HttpResponse& response);
  Awaitable<void> ServeServer(std::string id, HttpExchange& exchange);
  // Stops the server; later starts another one at another address.
  Awaitable<void> CrashOnPoison(std::string id, std::string attempt,
                                std::string poison);
  // Works as long as the request asks for; returns false if its connection
  // closed before.
  Awaitable<bool> WorkOnDemand(HttpExchange& exchange);
  Awaitable<void> ServeStream(std::string id, HttpExchange& exchange);
  void HandleOrder(Server& server, const HttpRequest& request,
                   HttpResponse& response);
  std::string Start(std::unique_ptr<FakeCountedEngine> engine,
                    const std::string& service);

  std::string NextId() const;
  // Adds the headers that all responses of the server `id` have.
  void AddServerHeaders(const std::string& id, HttpHeaders& headers) const;

  boost::asio::io_context& io_;
  uint64_t seed_;
  int models_;
  SystemClock clock_;
  HttpServer store_;
  std::vector<std::unique_ptr<HttpServer>> store_views_;
  StoreMode store_mode_ = StoreMode::kUp;
  FakeKeyedLog log_;
  int refused_queries_ = 0;
  std::map<std::string, std::shared_ptr<Server>> servers_;
  std::map<std::string, std::vector<ServedRun>> runs_;
  std::map<std::string, std::vector<AttemptArrival>> poison_runs_;
  std::map<std::string, std::vector<AnnouncedLimit>> limits_;
  std::map<std::string, std::vector<AttemptArrival>> arrivals_;
  std::map<std::string, TimePoint> withdrawn_at_;
  std::vector<std::string> violations_;
  std::vector<BrittleTime> brittle_times_;
  bool is_brittle_ = false;
  bool is_uneven_ = false;
  bool are_engines_brittle_ = false;
  int capacity_ = 16;
  std::string version_ = "v1";  // Of engines.
  TimePoint none_wait_from_;    // At brittle servers.
  std::map<std::string, TimePoint> silent_until_;
  uint64_t config_version_ = 0;
  int started_ = 0;
  int raw_servers_ = 0;
  int streams_ = 0;
  int break_every_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_SOAK_PLATFORM_STANDIN_H_
