#include "measure/experiment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <functional>

namespace applehall {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kFaultLength = seconds(90);
constexpr char kUrgent[] = "urgent";
constexpr char kOrdinary[] = "ordinary";
constexpr char kOvernight[] = "overnight";

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share *
                                    static_cast<double>(values.size() - 1))];
}

std::string ClassOf(const Arrival& arrival, const UserProfile& profile) {
  if (arrival.caller == profile.shape.overnight_caller) return kOvernight;
  return arrival.caller == "kiosk" ? kUrgent : kOrdinary;
}

// Begins (true) and ends (false) one fault.
using Fault = std::function<void(Deployment& deployment, bool begins)>;

std::string OwnerIn(const Deployment& deployment) {
  for (const std::string& host : deployment.HostNames()) {
    if (!deployment.IsAlive(host)) continue;
    for (const auto& [group, ownership] :
         deployment.node(host).context().control.ownership().groups()) {
      const std::string& owner = ownership.owner.host;
      if (!owner.empty() && deployment.IsAlive(owner)) return owner;
    }
  }
  return deployment.HostNames().front();
}

const std::map<std::string, Fault>& Faults() {
  static const auto* const kFaults = new std::map<std::string, Fault>{
      {"log-down",
       [](Deployment& d, bool begins) { d.SetLogUnavailable(begins); }},
      {"log-slow",
       [](Deployment& d, bool begins) {
         d.SetLogDelay(begins ? milliseconds(800) : milliseconds(0));
       }},
      {"append-answer-lost",
       [](Deployment& d, bool begins) {
         d.LoseAppendResponses(begins ? 50 : 0);
       }},
      {"store-slow",
       [](Deployment& d, bool begins) {
         d.SetStoreSlowdown(begins ? 6.0 : 1.0);
       }},
      {"host-killed-in-load",
       [](Deployment& d, bool begins) {
         if (begins) {
           const std::string owner = OwnerIn(d);
           d.KillHost(owner);
           d.RemoveFromHostList(owner);
           return;
         }
         for (const std::string& host : d.HostNames()) {
           if (!d.IsAlive(host)) d.RestartHost(host);
         }
       }},
      {"owner-paused",
       [](Deployment& d, bool begins) {
         if (begins) {
           d.PauseHost(OwnerIn(d));
           return;
         }
         for (const std::string& host : d.HostNames()) d.ResumeHost(host);
       }},
      {"data-centre-cut",
       [](Deployment& d, bool begins) {
         const Node& node = d.node(d.HostNames().front());
         d.PartitionDataCentre(node.context().settings.data_centre, begins);
       }},
      {"hosts-reclaimed",
       [](Deployment& d, bool begins) {
         const std::vector<std::string> hosts = d.HostNames();
         for (size_t i = 0; i < hosts.size(); i += 2) {
           if (begins && d.IsAlive(hosts[i])) {
             d.MarkLeaving(hosts[i]);
             d.DrainHost(hosts[i]);
           }
           if (!begins && !d.IsAlive(hosts[i])) d.RestartHost(hosts[i]);
         }
       }},
      {"publish-race",
       [](Deployment& d, bool begins) {
         if (!begins) return;
         const auto rules =
             d.node(d.HostNames().front()).context().control.rules().current();
         if (!rules) return;
         Json first = rules->Document();
         Json second = first;
         first["reason"] = "first of two";
         second["reason"] = "second of two";
         d.Publish(first, rules->version);
         d.Publish(second, rules->version);
       }},
      {"report-lag",
       [](Deployment& d, bool begins) {
         d.SetReportLag(begins ? milliseconds(5000) : milliseconds(300));
       }},
      {"half-engines-fail",
       [](Deployment& d, bool begins) {
         size_t index = 0;
         for (const auto& [name, engine] : d.engines()) {
           if (index++ % 2 == 0) d.SetEngineFailing(name, begins);
         }
       }},
  };
  return *kFaults;
}

// Every host is answering callers: where a request goes if its own is down.
std::string PickHost(const Deployment& deployment, int index) {
  const std::vector<std::string> hosts = deployment.HostNames();
  for (size_t i = 0; i < hosts.size(); ++i) {
    // The balancer leaves out hosts that are not ready.
    const std::string& host = hosts[(index + i) % hosts.size()];
    if (deployment.IsAlive(host) && deployment.node(host).IsReady()) {
      return host;
    }
  }
  return hosts[index % hosts.size()];
}

class Run {
 public:
  Run(const UserProfile& profile, const PolicyChoice& policy, uint64_t seed)
      : profile_(profile),
        arrivals_(
            MakeArrivals(profile.shape, profile.deployment.catalogue, seed)) {
    DeploymentSettings settings = profile.deployment;
    settings.seed = seed;
    settings.node.owner.keep_policy = policy.keep;
    settings.node.owner.default_keep = policy.time_to_live;
    if (policy.keep == KeepPolicy::kOracle) {
      calls_ = CallTimes(arrivals_);
      settings.node.owner.next_use = [this](const std::string& model,
                                            TimePoint after) {
        return NextUse(model, after);
      };
    }
    deployment_ = std::make_unique<Deployment>(settings);
    deployment_->Publish(profile.rules, 0);
    deployment_->RunFor(seconds(10));
    start_ = deployment_->now();
  }

  RunResult Replay(const std::string& fault) {
    std::vector<std::pair<Duration, std::function<void()>>> timed;
    const std::vector<std::string> names = absl::StrSplit(fault, '+');
    for (const std::string& name : names) {
      const auto it = Faults().find(name);
      if (it == Faults().end()) continue;
      const Duration length = profile_.shape.length;
      for (const Duration at : {length / 4, length * 3 / 5}) {
        timed.emplace_back(at, [=, this] { it->second(*deployment_, true); });
        timed.emplace_back(at + kFaultLength,
                           [=, this] { it->second(*deployment_, false); });
      }
    }
    std::sort(timed.begin(), timed.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    size_t next_timed = 0;
    for (size_t i = 0; i < arrivals_.size(); ++i) {
      while (next_timed < timed.size() &&
             timed[next_timed].first <= arrivals_[i].at) {
        AdvanceTo(timed[next_timed].first);
        timed[next_timed++].second();
      }
      AdvanceTo(arrivals_[i].at);
      SendOne(arrivals_[i]);
    }
    while (next_timed < timed.size()) timed[next_timed++].second();
    deployment_->RunFor(minutes(3));
    return Summarize();
  }

 private:
  struct Sent {
    uint64_t id = 0;
    bool was_cold = false;
  };

  TimePoint NextUse(const std::string& model, TimePoint after) const {
    const auto it = calls_.find(model);
    if (it == calls_.end()) return TimePoint::max();
    const Duration offset = after - start_;
    const auto next =
        std::lower_bound(it->second.begin(), it->second.end(), offset);
    return next == it->second.end() ? TimePoint::max() : start_ + *next;
  }

  void AdvanceTo(Duration at) {
    const TimePoint until = start_ + at;
    if (until > deployment_->now()) {
      deployment_->RunFor(until - deployment_->now());
    }
  }

  void SendOne(const Arrival& arrival) {
    const std::string host = PickHost(*deployment_, arrival.host);
    Sent sent;
    sent.was_cold = !deployment_->HasReadyReplica(host, arrival.model);
    sent.id = deployment_->Send(host, arrival.model, arrival.caller,
                                arrival.deadline);
    sent_.push_back(sent);
  }

  RunResult Summarize() {
    RunResult result;
    std::vector<double> firsts;
    std::vector<double> colds;
    for (size_t i = 0; i < sent_.size(); ++i) {
      const Arrival& arrival = arrivals_[i];
      const RequestOutcome& outcome = deployment_->outcome(sent_[i].id);
      const std::string urgency = ClassOf(arrival, profile_);
      ++result.sent;
      ++result.sent_by_class[urgency];
      result.worth_sent += arrival.worth;
      const double took = ToSeconds(outcome.ended_at - outcome.sent_at);
      if (!outcome.is_answered) {
        ++result.refused[RefusalReasonName(outcome.refusal.reason)];
      } else if (outcome.ended_at <= outcome.sent_at + arrival.deadline) {
        ++result.in_time[urgency];
        result.worth_delivered += arrival.worth;
        if (urgency == kUrgent) result.urgent_answered.insert(i);
      }
      if (!arrival.is_first) continue;
      // A refused first request waited for nothing: it counts as its limit.
      const double waited =
          outcome.is_answered ? took : ToSeconds(arrival.deadline);
      firsts.push_back(waited);
      if (sent_[i].was_cold) colds.push_back(waited);
    }
    result.firsts = firsts.size();
    result.cold = colds.size();
    result.first_p50 = Quantile(firsts, 0.5);
    result.first_p95 = Quantile(firsts, 0.95);
    result.first_p99 = Quantile(firsts, 0.99);
    result.first_max = Quantile(firsts, 1.0);
    result.cold_p50 = Quantile(colds, 0.5);
    result.cold_p95 = Quantile(colds, 0.95);
    result.cold_p99 = Quantile(colds, 0.99);
    result.cold_max = Quantile(colds, 1.0);
    result.idle_hours = deployment_->idle_engine_seconds() / 3600.0;
    result.loads = deployment_->total_loads();
    result.store_wait = ToSeconds(deployment_->store().total_wait());
    result.broken = deployment_->violations();
    return result;
  }

  const UserProfile& profile_;
  std::vector<Arrival> arrivals_;
  std::map<std::string, std::vector<Duration>> calls_;
  std::unique_ptr<Deployment> deployment_;
  TimePoint start_;
  std::vector<Sent> sent_;
};

}  // namespace

absl::StatusOr<UserProfile> UserProfile::Load(const std::string& name,
                                              const std::string& examples) {
  UserProfile profile;
  profile.name = name;
  const std::string folder = absl::StrCat(examples, "/", name);
  const auto rules_text = ReadFile(folder + "/rules.json");
  const auto standins_text = ReadFile(folder + "/standins.json");
  if (!rules_text.ok()) return rules_text.status();
  if (!standins_text.ok()) return standins_text.status();
  const absl::StatusOr<Json> rules = ParseJson(*rules_text);
  const absl::StatusOr<Json> standins = ParseJson(*standins_text);
  if (!rules.ok()) return rules.status();
  if (!standins.ok()) return standins.status();
  profile.rules = *rules;
  DeploymentSettings& settings = profile.deployment;
  settings.data_centres.clear();
  for (const Json& engine : (*standins)["engines"]) {
    const std::string centre = engine["data_centre"].get<std::string>();
    if (std::find(settings.data_centres.begin(), settings.data_centres.end(),
                  centre) == settings.data_centres.end()) {
      settings.data_centres.push_back(centre);
    }
  }
  settings.engines = static_cast<int>((*standins)["engines"].size());
  settings.unfenced_engines = 1;
  settings.services = static_cast<int>((*standins)["services"].size());
  settings.store_loads_per_second =
      (*standins)["store_loads_per_second"].get<double>();
  settings.store_slots = (*standins)["store_slots"].get<int>();
  for (const Json& model : (*standins)["models"]) {
    settings.catalogue.push_back({FieldOr<std::string>(model, "name", ""),
                                  FieldOr<std::string>(model, "base", ""),
                                  FieldOr<uint64_t>(model, "bytes", 0)});
  }
  settings.tick = milliseconds(100);
  profile.shape.hosts = static_cast<int>(settings.data_centres.size()) *
                        settings.hosts_per_data_centre;
  const bool is_malgeum = name == "malgeum";
  profile.shape.overnight_caller = is_malgeum ? "studs" : "depot";
  profile.shape.overnight_model =
      is_malgeum ? "horse-pedigree-1" : "locker-summary-1";
  if (is_malgeum) {
    // Dossiers carry a key; here only their load is of interest.
    for (Json& rule : profile.rules["rules"]) {
      if (rule["name"] == "dossiers-overnight") {
        rule["then"].erase("repeatable");
        rule["then"].erase("while_log_down");
      }
    }
    profile.shape.overnight_requests = 600;
  }
  return profile;
}

std::vector<std::string> FaultNames() {
  std::vector<std::string> names;
  for (const auto& [name, fault] : Faults()) names.push_back(name);
  return names;
}

RunResult RunExperiment(const UserProfile& profile, const PolicyChoice& policy,
                        const std::string& fault, uint64_t seed) {
  return Run(profile, policy, seed).Replay(fault);
}

Json RunResult::ToJson() const {
  return Json{{"first_p50", first_p50},
              {"first_p95", first_p95},
              {"first_p99", first_p99},
              {"first_max", first_max},
              {"cold_p50", cold_p50},
              {"cold_p95", cold_p95},
              {"cold_p99", cold_p99},
              {"cold_max", cold_max},
              {"firsts", firsts},
              {"cold", cold},
              {"idle_hours", idle_hours},
              {"sent", sent},
              {"in_time", in_time},
              {"sent_by_class", sent_by_class},
              {"worth_delivered", worth_delivered},
              {"worth_sent", worth_sent},
              {"refused", refused},
              {"loads", loads},
              {"store_wait", store_wait},
              {"promises_broken", broken}};
}

}  // namespace applehall
