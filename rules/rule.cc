#include "rules/rule.h"

#include <algorithm>

namespace applehall {
namespace {

constexpr Duration kBackgroundDeadline = std::chrono::minutes(10);

bool AnyMatches(const std::vector<Pattern>& patterns, const std::string& name) {
  if (patterns.empty()) return true;
  return std::any_of(patterns.begin(), patterns.end(),
                     [&](const Pattern& p) { return p.Matches(name); });
}

bool ListCovers(const std::vector<Pattern>& wide,
                const std::vector<Pattern>& narrow) {
  if (wide.empty()) return true;
  if (narrow.empty()) return false;
  return std::all_of(narrow.begin(), narrow.end(), [&](const Pattern& inner) {
    return std::any_of(wide.begin(), wide.end(), [&](const Pattern& outer) {
      return outer.Covers(inner);
    });
  });
}

bool HeadersMatch(const std::map<std::string, Pattern>& wanted,
                  const std::map<std::string, std::string>& present) {
  for (const auto& [name, pattern] : wanted) {
    const auto it = present.find(name);
    if (it == present.end() || !pattern.Matches(it->second)) return false;
  }
  return true;
}

bool HeadersCover(const std::map<std::string, Pattern>& wide,
                  const std::map<std::string, Pattern>& narrow) {
  for (const auto& [name, pattern] : wide) {
    const auto it = narrow.find(name);
    if (it == narrow.end() || !pattern.Covers(it->second)) return false;
  }
  return true;
}

// An absent condition covers any other; a present one covers only an equal one.
template <typename T>
bool OptionalCovers(const std::optional<T>& wide,
                    const std::optional<T>& narrow) {
  return !wide.has_value() || wide == narrow;
}

}  // namespace

bool TimeOfDay::Contains(TimePoint now) const {
  const std::chrono::minutes day = std::chrono::hours(24);
  const auto since_epoch =
      std::chrono::duration_cast<std::chrono::minutes>(now.time_since_epoch());
  const std::chrono::minutes local = (since_epoch + utc_offset) % day;
  if (from <= to) return from <= local && local < to;
  return local >= from || local < to;
}

std::string RuleCondition::MismatchReason(const RequestFacts& request,
                                          const SystemFacts& system) const {
  if (!AnyMatches(callers, request.caller)) return "caller differs";
  if (!AnyMatches(methods, request.method)) return "method differs";
  if (!AnyMatches(paths, request.path)) return "path differs";
  if (!models.empty() && request.model.empty()) return "not a model request";
  if (!AnyMatches(models, request.model)) return "model differs";
  if (!services.empty() && request.service.empty()) {
    return "not a service request";
  }
  if (!AnyMatches(services, request.service)) return "service differs";
  if (!AnyMatches(data_centres, system.data_centre)) {
    return "data centre differs";
  }
  if (!HeadersMatch(headers, request.headers)) return "a header differs";
  if (time_of_day && !time_of_day->Contains(system.now)) {
    return "outside the time of day";
  }
  const bool cold = !request.model.empty() && system.replicas == 0;
  if (model_is_cold && *model_is_cold != cold) {
    return cold ? "the model is cold" : "the model is not cold";
  }
  if (log_is_down && *log_is_down != system.log_down) {
    return system.log_down ? "the log is down" : "the log is up";
  }
  if (replicas_above && system.replicas <= *replicas_above) {
    return "too few replicas";
  }
  return "";
}

bool RuleCondition::Matches(const RequestFacts& request,
                            const SystemFacts& system) const {
  return MismatchReason(request, system).empty();
}

bool RuleCondition::Covers(const RuleCondition& other) const {
  if (replicas_above &&
      (!other.replicas_above || *other.replicas_above < *replicas_above)) {
    return false;
  }
  return ListCovers(callers, other.callers) &&
         ListCovers(methods, other.methods) && ListCovers(paths, other.paths) &&
         ListCovers(models, other.models) &&
         ListCovers(services, other.services) &&
         ListCovers(data_centres, other.data_centres) &&
         HeadersCover(headers, other.headers) &&
         OptionalCovers(time_of_day, other.time_of_day) &&
         OptionalCovers(model_is_cold, other.model_is_cold) &&
         OptionalCovers(log_is_down, other.log_is_down);
}

bool RuleOutcome::is_background() const {
  return deadline >= kBackgroundDeadline;
}

bool RuleOutcome::AllowsDataCentre(const std::string& data_centre) const {
  return data_centres.empty() ||
         std::find(data_centres.begin(), data_centres.end(), data_centre) !=
             data_centres.end();
}

}  // namespace applehall
