#include "node/decision_log.h"

namespace applehall {

void DecisionLog::Add(Decision decision) {
  decisions_.push_back(std::move(decision));
  if (decisions_.size() > capacity_) decisions_.pop_front();
}

Json DecisionLog::ToJson(const std::string& request_id) const {
  Json list = Json::array();
  for (auto it = decisions_.rbegin(); it != decisions_.rend(); ++it) {
    if (!request_id.empty() && it->request_id != request_id) continue;
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
