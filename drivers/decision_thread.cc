#include "drivers/decision_thread.h"

#include <time.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "core/last_words.h"
#include "drivers/background_task.h"

namespace applehall {
namespace {

constexpr size_t kInboxCapacity = 16384;  // A power of two.
constexpr int kEventsBetweenPublishes = 64;

}  // namespace

DecisionThread::DecisionThread(NodeSettings settings, ActionSink sink)
    : settings_(std::move(settings)),
      sink_(std::move(sink)),
      inbox_(kInboxCapacity) {}

DecisionThread::~DecisionThread() { Stop(); }

void DecisionThread::Start() {
  node_ = std::make_unique<Node>(settings_);
  thread_ = std::thread([this] { Run(); });
}

void DecisionThread::Stop() {
  inbox_.close();
  if (thread_.joinable()) thread_.join();
}

bool DecisionThread::TryPush(Event event) {
  return inbox_.try_push(Work(std::move(event))) ==
         boost::fibers::channel_op_status::success;
}

bool DecisionThread::TryQuery(Query query) {
  return inbox_.try_push(Work(std::move(query))) ==
         boost::fibers::channel_op_status::success;
}

void DecisionThread::HandleWork(Work work, std::vector<Action>& actions) {
  try {
    if (const auto* query = std::get_if<Query>(&work)) {
      (*query)(*node_);
      return;
    }
    actions.clear();
    node_->Handle(std::get<Event>(work), clock_.Now(), actions);
    for (Action& action : actions) sink_(std::move(action));
  } catch (...) {
    RecordBackgroundFailure("handle_event", std::current_exception());
  }
}

void DecisionThread::Publish() {
  control_offset_ = node_->control_offset();
  wants_control_reads_ = node_->WantsControlReads();
  is_ready_ = node_->IsReady();
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  cpu_time_us_ = used.tv_sec * 1000000LL + used.tv_nsec / 1000;
}

void DecisionThread::SendTicks() {
  while (!inbox_.is_closed()) {
    boost::this_fiber::sleep_for(kTickInterval);
    // If the channel is full, this tick is skipped; the next one does its
    // work.
    (void)inbox_.try_push(Work(Event(Tick{})));
  }
}

void DecisionThread::Run() {
  const AlternateSignalStack signal_stack;
  boost::fibers::fiber ticker([this] { SendTicks(); });
  std::vector<Action> actions;
  Work work;
  int events_since_publish = 0;
  while (inbox_.pop(work) == boost::fibers::channel_op_status::success) {
    const bool is_tick = std::holds_alternative<Event>(work) &&
                         std::holds_alternative<Tick>(std::get<Event>(work));
    HandleWork(std::move(work), actions);
    if (is_tick || ++events_since_publish >= kEventsBetweenPublishes) {
      Publish();
      events_since_publish = 0;
    }
  }
  ticker.join();
}

}  // namespace applehall
