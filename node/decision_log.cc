#include "node/decision_log.h"

namespace applehall {

namespace {

// Callers choose these names; a decision is kept long after its request.
constexpr size_t kMaxNameBytes = 256;

void Shorten(std::string& text) {
  if (text.size() <= kMaxNameBytes) return;
  text.resize(kMaxNameBytes);
  text.shrink_to_fit();
}

}  // namespace

void DecisionLog::Add(Decision decision) {
  for (std::string* name : {&decision.request_id, &decision.caller,
                            &decision.target, &decision.reason}) {
    Shorten(*name);
  }
  decisions_.push_back(std::move(decision));
  if (decisions_.size() > capacity_) decisions_.pop_front();
}

Json DecisionLog::ToJson(const std::string& request_id) const {
  Json list = Json::array();
  std::string kept_id = request_id;
  Shorten(kept_id);
  for (auto it = decisions_.rbegin(); it != decisions_.rend(); ++it) {
    if (!kept_id.empty() && it->request_id != kept_id) continue;
    list.push_back({{"request", it->request_id},
                    {"caller", it->caller},
                    {"target", it->target},
                    {"rule", it->rule},
                    {"action", it->action},
                    {"backend", it->backend},
                    {"reason", it->reason},
                    {"model_state", it->model_state},
                    {"verdict", VerdictName(it->verdict)},
                    {"attempts", it->attempts},
                    {"arrived_at_ms", ToUnixMillis(it->arrived_at)},
                    {"waited_ms", ToMillis(it->waited)},
                    {"took_ms", ToMillis(it->took)}});
  }
  return list;
}

}  // namespace applehall
