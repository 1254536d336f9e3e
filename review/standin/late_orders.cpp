// An engine leaves two orders unanswered and carries them out 2 s later, each if
// its precondition still holds then; it answers all others.
// LIMIT is broken if the engine is ordered to load more than weights_mb holds.
#include "deployment.hpp"

namespace {

using namespace review;

constexpr int kHosts = 2;
constexpr int64_t kLateMs = 2000;
constexpr int64_t kReportLagMs = 250;
constexpr int64_t kUnloadMs = 30;
constexpr int64_t kEndAtMs = 25000;
constexpr int64_t kRestartDelayMs = 500;
constexpr double kWeightsMb = 200000;
// Sizes of the models, and how long they take from host memory.
const std::map<std::string, double> kSizes = {
    {"big0", 72700}, {"big1", 72700}, {"big2", 72700}, {"small", 42700}};
constexpr int64_t kBigLoadMs = 1300;
constexpr int64_t kSmallLoadMs = 890;

class LateEngine {
 public:
  LateEngine(Store& store, Runs& runs, Record& record, bool has_trouble)
      : store_(store),
        runs_(runs),
        record_(record),
        has_trouble_(has_trouble),
        listener_("127.0.0.1", [this](Connection& connection, const Message& request) {
          return Serve(connection, request);
        }) {
    std::thread([this] {
      for (int64_t next = 0;; SleepMs(10)) {
        const std::lock_guard lock(mutex_);
        Advance();
        if (NowMs() < next) continue;
        next = NowMs() + 1200;
        store_.Append("keyed.servers", kId, Entry().dump());
      }
    }).detach();
  }
  int orders() {
    const std::lock_guard lock(mutex_);
    return orders_;
  }
  int unanswered() {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(unanswered_.size());
  }
  double most_mb() {
    const std::lock_guard lock(mutex_);
    return most_mb_;
  }

 private:
  static constexpr char kId[] = "i-llm1";
  struct LateOrder {
    Json order;
    int64_t due_ms;
    bool is_done = false;
  };

  static Json Names(const std::set<std::string>& models) {
    Json list = Json::array();
    for (const std::string& model : models) {
      list.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
    }
    return list;
  }
  Json Entry() {
    return {{"service", "huvo11a"},
            {"address", "127.0.0.1:" + std::to_string(listener_.port())},
            {"zone", "suwon-a"},
            {"version", "v1"},
            {"capacity", 64},
            {"state", "ready"},
            {"cold_ms", 0},
            {"stage", "colocated"},
            {"models", Names(models_)},
            {"at_hand",
             {{"in_memory", {"big2", "small"}},  // 115.4 of 140 GB.
              {"on_disk", {"big0", "big1", "big2", "small"}}}},
            {"seq", ++sequence_}};
  }
  // Ends orders that are due and carries out late ones.
  void Advance() {
    const int64_t now = NowMs();
    if (!busy_with_.empty() && now >= busy_until_ms_) {
      if (is_unloading_) {
        models_.erase(busy_with_);
      } else {
        models_.insert(busy_with_);
      }
      record_.Line("engine has " + std::string(is_unloading_ ? "unloaded " : "loaded ") +
                   busy_with_);
      busy_with_.clear();
    }
    for (LateOrder& late : unanswered_) {
      if (late.is_done || now < late.due_ms) continue;
      late.is_done = true;
      const int status = Execute(late.order);
      record_.Line("late order " + Text(late.order) + " is carried out -> " +
                   std::to_string(status));
    }
    reports_.emplace_back(now, Report());
    if (reports_.size() > 200) reports_.erase(reports_.begin());
  }
  Json Report() const {
    return {{"stage", "colocated"}, {"models", Names(models_)},
            {"busy", !busy_with_.empty()}, {"seq", accepted_},
            {"queued", 0}, {"in_flight", 0},
            {"kv_used", 0}, {"kv_total", 129385}, {"handles", 0}};
  }
  static std::string Text(const Json& order) {
    return order.value("operation", "") + " " + order.value("model", "") +
           " (precondition " + std::to_string(order.value("precondition", -1)) + ")";
  }
  double HeldMb() const {
    double held = 0;
    for (const std::string& model : models_) held += kSizes.at(model);
    return held;
  }
  int Execute(const Json& order) {
    const uint64_t token = order.value("fence_token", uint64_t{0});
    if (order.value("holder", "").empty() || token == 0) return 400;
    if (token < highest_token_) return 412;
    highest_token_ = token;
    if (order.contains("precondition") && order["precondition"] != accepted_) return 409;
    if (!busy_with_.empty()) return 409;
    const std::string model = order.value("model", "");
    if (!kSizes.contains(model)) return 400;
    is_unloading_ = order.value("operation", "") == "unload";
    if (models_.contains(model) != is_unloading_) return 200;
    ++accepted_;
    busy_with_ = model;
    const int64_t load_ms = model == "small" ? kSmallLoadMs : kBigLoadMs;
    busy_until_ms_ = NowMs() + (is_unloading_ ? kUnloadMs : load_ms);
    if (is_unloading_) return 202;
    const double needed = HeldMb() + kSizes.at(model);
    most_mb_ = std::max(most_mb_, needed);
    if (needed > kWeightsMb) {
      record_.Line("LIMIT: the engine holds " + std::to_string(int(HeldMb())) +
                   " MB and is ordered to load " + model + " of " +
                   std::to_string(int(kSizes.at(model))) + " MB more, of " +
                   std::to_string(int(kWeightsMb)));
    }
    return 202;
  }
  bool Serve(Connection& connection, const Message& request) {
    const std::string attempt = request.Header("x-attempt-id");
    std::map<std::string, std::string> headers{{"X-Instance-Id", kId}};
    if (!attempt.empty()) headers["X-Attempt-Id"] = attempt;
    if (request.Path() == "/healthz") {
      return connection.Write(Answer(200, "OK", headers, ""));
    }
    const std::string expected = request.Header("x-expect-instance");
    if (!expected.empty() && expected != kId) {
      headers["X-Not-Executed"] = "1";
      return connection.Write(Answer(421, "Misdirected Request", headers, ""));
    }
    if (request.Path() == "/v1/report") {
      headers["Content-Type"] = "application/json";
      return connection.Write(Answer(200, "OK", headers, LaggingReport().dump()));
    }
    if (request.Path() == "/v1/order") {
      const int status = HandleOrder(Json::parse(request.body, nullptr, false));
      if (status != 0) return connection.Write(Answer(status, "-", headers, ""));
      Message nothing;  // No answer: until the other side closes.
      connection.Read(nothing, NowMs() + 20000);
      return false;
    }
    return ServeStream(connection, request, attempt);
  }
  Json LaggingReport() {
    const std::lock_guard lock(mutex_);
    Advance();
    const int64_t as_of = NowMs() - kReportLagMs;
    Json report = reports_.front().second;
    for (const auto& [at, one] : reports_) {
      if (at <= as_of) report = one;
    }
    return report;
  }
  // Returns the status; zero if the order is left unanswered.
  int HandleOrder(const Json& order) {
    const std::lock_guard lock(mutex_);
    Advance();
    if (!order.is_object()) return 400;
    ++orders_;
    const std::string operation = order.value("operation", "");
    const bool is_first = (operation == "load" && unanswered_.empty()) ||
                          (operation == "unload" && unanswered_.size() == 1);
    if (has_trouble_ && is_first) {
      unanswered_.push_back({order, NowMs() + kLateMs});
      record_.Line("order  " + Text(order) + " is left unanswered");
      return 0;
    }
    const int status = Execute(order);
    record_.Line("order  " + Text(order) + " -> " + std::to_string(status));
    return status;
  }
  bool ServeStream(Connection& connection, const Message& request,
                   const std::string& attempt) {
    const std::string head_start = "X-Instance-Id: " + std::string(kId) +
                                   "\r\nX-Attempt-Id: " + attempt + "\r\n";
    bool is_held = false;
    {
      const std::lock_guard lock(mutex_);
      Advance();
      is_held = models_.contains(request.Header("x-model"));
    }
    if (!is_held) {
      return connection.Write("HTTP/1.1 421 Misdirected Request\r\n" + head_start +
                              "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    runs_.Add(attempt, kId);
    if (!connection.Write("HTTP/1.1 200 OK\r\n" + head_start + "X-Server-Stamp: stamp-" +
                          attempt +
                          "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    for (int event = 1; event <= 5; ++event) {
      SleepMs(20);
      const std::string text = "id: " + std::to_string(event) + "\ndata: e\n\n";
      char size[24];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      if (!connection.Write(size + text + "\r\n")) return false;
    }
    return connection.Write("0\r\n\r\n");
  }

  Store& store_;
  Runs& runs_;
  Record& record_;
  bool has_trouble_;
  std::mutex mutex_;
  std::set<std::string> models_{"big0", "big1"};
  std::string busy_with_;
  bool is_unloading_ = false;
  int64_t busy_until_ms_ = 0;
  uint64_t accepted_ = 0;
  uint64_t highest_token_ = 0;
  int sequence_ = 0;
  int orders_ = 0;
  double most_mb_ = 0;
  std::vector<LateOrder> unanswered_;
  std::vector<std::pair<int64_t, Json>> reports_;
  Listener listener_;
};

std::atomic<int> g_sent{0};
std::atomic<int> g_served{0};

void RunCaller(int number, const std::string& model, int64_t from_ms, int64_t until_ms,
               Hosts& hosts, Record& record) {
  SleepMs(from_ms - NowMs());
  for (int i = 0; NowMs() < until_ms; ++i) {
    Connection connection(Connect(Hosts::Ip(number % kHosts), hosts.port(kCallersPort)));
    CallerRequest request;
    request.target = "/lohu930/2f";
    request.id = "c" + std::to_string(number) + "-" + std::to_string(i);
    request.deadline_ms = 6000;
    request.headers["X-Model"] = model;
    request.headers["X-Token-Usage"] = "100,20";
    request.headers["X-Prompt-Prefix"] = "5c1e07a2:80," + request.id + ":20";
    record.Line("sent   " + request.id + " for " + model);
    ++g_sent;
    Message answer;
    ReadEnd end = ReadEnd::kClosed;
    if (connection.is_open() && connection.Write(RequestText(request))) {
      end = connection.Read(answer, NowMs() + 7000);
    }
    record.Line("answer " + request.id + " " + ReadEndName(end) + " " +
                std::to_string(answer.Status()));
    if (end == ReadEnd::kWhole && answer.Status() == 200) ++g_served;
    SleepMs(100);
  }
}

Json SizedModel(const std::string& name) {
  Json model = Model(name, 0);
  model["weights_mb"] = kSizes.at(name);
  model["warmup_s"] = name == "small" ? 0.89 : 1.3;
  return model;
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = ReadOptions(argc, argv);
  Record record(options.record);
  Hosts hosts(options, record);
  Store store;
  Runs runs(record);
  if (!hosts.Prepare(kHosts)) Finish(hosts, record, kCouldNotRun, "no free ports");
  const int store_port = store.Open();
  Json models = Json::array();
  for (const auto& [name, size] : kSizes) models.push_back(SizedModel(name));
  store.Append("keyed.op", "config",
               Config(1,
                      Json::array({StreamRoute("lohu930", "huvo11a", false, 15000),
                                   CallRoute("puxa403", "idempotent", "wuno96b", 1000)}),
                      models)
                   .dump());
  Service service(store, runs, "i-app1", "wuno96b", 15, 800, 6);
  LateEngine engine(store, runs, record, options.has_trouble);
  for (int i = 0; i < kHosts; ++i) hosts.Start(i, store_port, true);
  hosts.Supervise(kRestartDelayMs);
  if (!hosts.AwaitReady(kHosts, NowMs() + 10000)) {
    Finish(hosts, record, kCouldNotRun, "the hosts are not ready");
  }
  const int64_t start = NowMs();
  const int64_t end = start + kEndAtMs;
  std::vector<std::thread> callers;
  const auto add = [&](int number, const std::string& model, int64_t from, int64_t until) {
    callers.emplace_back(RunCaller, number, model, from, until, std::ref(hosts),
                         std::ref(record));
  };
  for (int i = 0; i < 2; ++i) add(i, "big0", start, end);
  add(2, "small", start + 2000, start + 2050);
  while (engine.orders() == 0 && NowMs() < start + 8000) SleepMs(10);
  record.Line("callers for big2 come");
  for (int i = 0; i < 4; ++i) add(10 + i, "big2", NowMs() + 300, end);
  for (std::thread& caller : callers) caller.join();
  if (engine.orders() == 0 || (options.has_trouble && engine.unanswered() < 2)) {
    Finish(hosts, record, kCouldNotRun, "the orders that matter were not sent");
  }
  const bool is_broken = engine.most_mb() > kWeightsMb;
  Finish(hosts, record, is_broken ? kBroken : kHeld,
         std::string(is_broken ? "LIMIT broken" : "LIMIT held") + ": " +
             std::to_string(engine.orders()) + " orders, " +
             std::to_string(engine.unanswered()) + " unanswered; most that was ordered " +
             std::to_string(int(engine.most_mb())) + " MB of " +
             std::to_string(int(kWeightsMb)) + "; sent " + std::to_string(g_sent) +
             ", served " + std::to_string(g_served));
}
