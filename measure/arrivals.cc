#include "measure/arrivals.h"

#include <algorithm>
#include <cmath>

#include "core/random.h"

namespace applehall {
namespace {

constexpr double kBusyGapSeconds = 3.0;
constexpr double kBurstSpreadSeconds = 1.5;
constexpr double kPeriodJitter = 0.05;

class Generator {
 public:
  Generator(const ArrivalShape& shape, uint64_t seed)
      : shape_(shape), random_(seed) {}

  std::vector<Arrival> Run(const Catalogue& catalogue) {
    int index = 0;
    for (const CatalogueEntry& entry : catalogue) {
      if (entry.name == shape_.overnight_model) continue;
      if (!entry.base.empty()) {
        AddBursts(entry.name, Between(900, 3600), false, 2, 5);
      } else if (index < shape_.busy_models) {
        AddSteady(entry.name);
      } else if (index < shape_.busy_models + shape_.periodic_models) {
        AddBursts(entry.name, Between(180, 2400), true, 4, 10);
      } else {
        AddBursts(entry.name, Between(600, 3600), false, 3, 8);
      }
      index += entry.base.empty() ? 1 : 0;
    }
    AddOvernight();
    std::stable_sort(
        arrivals_.begin(), arrivals_.end(),
        [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    return std::move(arrivals_);
  }

 private:
  double Between(double low, double high) {
    return low + (high - low) * random_.Unit();
  }
  double Exponential(double mean) {
    return -mean * std::log(1.0 - random_.Unit());
  }

  void Add(double at, const std::string& model, bool is_first) {
    if (FromSeconds(at) >= shape_.length) return;
    Arrival arrival;
    arrival.at = FromSeconds(at);
    arrival.host = static_cast<int>(random_.Below(shape_.hosts));
    arrival.model = model;
    const bool is_urgent = random_.Below(3) == 0;
    arrival.caller = is_urgent ? "kiosk" : "web";
    arrival.deadline =
        is_urgent ? shape_.urgent_deadline : shape_.ordinary_deadline;
    arrival.worth = is_urgent ? 30 : 8;
    arrival.is_first = is_first;
    arrivals_.push_back(std::move(arrival));
  }

  void AddSteady(const std::string& model) {
    double at = Exponential(kBusyGapSeconds);
    while (FromSeconds(at) < shape_.length) {
      Add(at, model, false);
      at += Exponential(kBusyGapSeconds);
    }
  }

  void AddBursts(const std::string& model, double gap, bool is_periodic,
                 int min_size, int max_size) {
    double at = gap * random_.Unit();
    while (FromSeconds(at) < shape_.length) {
      const int size =
          min_size + static_cast<int>(random_.Below(max_size - min_size + 1));
      Add(at, model, true);
      for (int i = 1; i < size; ++i) {
        Add(at + Between(0.0, kBurstSpreadSeconds), model, false);
      }
      at += is_periodic
                ? gap * (1.0 + kPeriodJitter * (2.0 * random_.Unit() - 1.0))
                : std::max(10.0, Exponential(gap));
    }
  }

  void AddOvernight() {
    const double length = ToSeconds(shape_.length);
    for (int i = 0; i < shape_.overnight_requests; ++i) {
      Arrival arrival;
      arrival.at = FromSeconds(length * 0.5 + Between(0.0, 60.0));
      arrival.host = static_cast<int>(random_.Below(shape_.hosts));
      arrival.model = shape_.overnight_model;
      arrival.caller = shape_.overnight_caller;
      arrival.deadline = FromSeconds(length * 0.4);
      arrival.worth = 5;
      arrivals_.push_back(std::move(arrival));
    }
  }

  const ArrivalShape& shape_;
  Random random_;
  std::vector<Arrival> arrivals_;
};

}  // namespace

std::vector<Arrival> MakeArrivals(const ArrivalShape& shape,
                                  const Catalogue& catalogue, uint64_t seed) {
  return Generator(shape, seed).Run(catalogue);
}

std::map<std::string, std::vector<Duration>> CallTimes(
    const std::vector<Arrival>& arrivals) {
  std::map<std::string, std::vector<Duration>> times;
  for (const Arrival& arrival : arrivals) {
    times[arrival.model].push_back(arrival.at);
  }
  return times;
}

}  // namespace applehall
