#ifndef APPLEHALL_STANDINS_FAKE_COUNTED_ENGINE_H_
#define APPLEHALL_STANDINS_FAKE_COUNTED_ENGINE_H_

#include <map>
#include <optional>
#include <string>

#include "membership/engine_list.h"
#include "placement/engine_types.h"

namespace applehall {

// An engine that carries out one model order at a time, counts the orders it
// accepted and refuses those that were decided on another count. Adapters come
// and go at once, without making it busy.
class FakeCountedEngine {
 public:
  FakeCountedEngine(std::string id, std::string service, uint64_t memory_bytes,
                    int adapter_slots)
      : id_(std::move(id)),
        service_(std::move(service)),
        memory_bytes_(memory_bytes),
        adapter_slots_(adapter_slots) {}

  // How long loads take by whether a copy is at hand. Not thread-safe.
  Duration load_from_disk = std::chrono::milliseconds(1600);
  Duration load_from_store = std::chrono::milliseconds(6000);
  Duration unload_time = std::chrono::milliseconds(30);

  // Puts a model there, as at the start of a day.
  void Place(const std::string& model, uint64_t bytes);
  // It lost a model without an order, and keeps its copy on disk.
  void Lose(const std::string& model) { held_.erase(model); }
  OrderResult Execute(const EngineOrder& order, TimePoint now);
  // It starts again under its id: empty but for its disk, with counts anew.
  void Restart(TimePoint now);
  // Ends what is due. Call it before each question.
  void Advance(TimePoint now);
  Inventory Report() const;
  ListedServer ListedEntry() const;
  bool IsLoaded(const std::string& name) const { return held_.contains(name); }
  // It was ordered to load more than fits, which would have crashed it.
  bool was_overcommitted() const { return was_overcommitted_; }
  int model_loads() const { return model_loads_; }

 private:
  struct Held {
    std::string base;
    uint64_t bytes = 0;
  };
  struct Open {
    EngineOrder order;
    TimePoint ends;
  };

  OrderResult TakeAdapter(const EngineOrder& order);
  uint64_t UsedBytes() const;
  int Adapters() const;

  std::string id_;
  std::string service_;
  uint64_t memory_bytes_;
  int adapter_slots_;
  std::map<std::string, Held> held_;
  std::map<std::string, bool> on_disk_;
  std::optional<Open> open_;
  uint64_t accepted_ = 0;
  TimePoint started_at_;
  FencingToken highest_token_ = 0;
  bool was_overcommitted_ = false;
  int model_loads_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_FAKE_COUNTED_ENGINE_H_
