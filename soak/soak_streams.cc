// The part of Soak with several software versions of the engines, and callers
// that take broken streams up again.

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <boost/asio.hpp>

#include "drivers/sleep.h"
#include "soak/soak.h"

namespace applehall {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxTries = 4;
constexpr const char* kVersions[] = {"v1", "v1.1", "v1.2"};
// Of the share of new streams; and the tries without which it proves nothing.
constexpr double kMinResumedShare = 0.5;
constexpr int kMinTries = 12;

// Adds the whole events in `text` to `stream`; returns the rest.
std::string ReadEvents(std::string text, StreamRecord& stream) {
  size_t end = 0;
  while ((end = text.find("\n\n")) != std::string::npos) {
    int number = 0;
    std::string version;
    for (const absl::string_view line :
         absl::StrSplit(text.substr(0, end), '\n')) {
      const std::pair<absl::string_view, absl::string_view> field =
          absl::StrSplit(line, absl::MaxSplits(": ", 1));
      if (field.first == "id") (void)absl::SimpleAtoi(field.second, &number);
      if (field.first == "version") version = std::string(field.second);
    }
    // A gap or a repetition shows as a version of its own.
    if (number != stream.events + 1) {
      version = absl::StrCat("event ", number, " after ", stream.events);
    }
    stream.events = number;
    if (stream.versions.empty() || stream.versions.back() != version) {
      stream.versions.push_back(version);
    }
    text.erase(0, end + 2);
  }
  return text;
}

}  // namespace

boost::asio::awaitable<bool> Soak::SendStreamTry(int host,
                                                 const std::string& id,
                                                 StreamRecord& stream) {
  RequestRecord& view = sent_requests_[id];
  view.kind = "stream";
  view.host = host;
  view.sent_at = clock_.Now();
  is_calm_[id] = false;  // These are checked by their events.
  const bool was_calm = clock_.Now() > disturbed_until_;
  HttpCall call;
  call.address = hosts_.caller_address(host);
  call.request.method = "POST";
  call.request.target = "/stream/x";
  call.request.headers["host"] = "soak.example";
  call.request.headers["x-attempt-id"] = id;
  call.request.headers["x-deadline-ms"] = "4000";
  call.request.headers["x-model"] = stream.model;
  call.request.headers[kVersionsHeader] = "1";
  const int before = stream.events;
  if (before > 0) {
    call.request.headers["last-event-id"] = absl::StrCat(before);
    call.request.headers["resumes"] = stream.begun_by;
  }
  call.request.body = "body";
  call.connect_timeout = milliseconds(500);
  call.header_timeout = std::chrono::seconds(6);
  call.fresh_connection = true;
  const std::shared_ptr<HttpStream> answer = client_.Prepare(call);
  co_await answer->Start();
  const bool is_answered = answer->state() == SendState::kAnswered;
  const bool is_stream = is_answered && answer->head().status == 200;
  std::string rest;
  std::string refusal;
  while (is_answered && !answer->is_complete() && answer->error().empty()) {
    const std::string piece =
        co_await answer->ReadSome(std::chrono::seconds(3));
    if (piece.empty() && !answer->is_complete()) break;
    if (is_stream) {
      rest = ReadEvents(rest + piece, stream);
    } else {
      refusal += piece;
    }
  }
  const bool has_event = stream.events > before;
  if (before == 0 && has_event) stream.begun_by = id;
  stream.is_complete = is_stream && answer->is_complete();
  // A stream whose version has no server left is not owed.
  const bool is_gone = refusal.find("version_gone") != std::string::npos;
  if (was_calm && clock_.Now() > disturbed_until_ && !is_gone) {
    StreamTries& tries = before > 0 ? resumptions_ : new_streams_;
    ++tries.asked;
    tries.served += has_event || stream.is_complete;
  }
  co_return !stream.is_complete;
}

boost::asio::awaitable<void> Soak::RunStreamCaller(uint64_t seed) {
  Random random(seed);
  co_await Sleep(io_, kWarmUp);
  while (clock_.Now() < ends_at_) {
    streams_.push_back(std::make_unique<StreamRecord>());
    StreamRecord& stream = *streams_.back();
    stream.model = absl::StrCat("m", random.Below(kModels));
    const std::string name = absl::StrCat("s", seed, "-", random.Next());
    int host = static_cast<int>(random.Below(hosts_.count()));
    for (int tried = 0; tried < kMaxTries; ++tried) {
      const bool may_go_on =
          co_await SendStreamTry(host, absl::StrCat(name, "-", tried), stream);
      if (!may_go_on || clock_.Now() >= ends_at_) break;
      if (random.Below(3) > 0) {
        host = static_cast<int>(random.Below(hosts_.count()));
      }
      co_await Sleep(io_, milliseconds(20 + random.Below(100)));
    }
    co_await Sleep(io_, milliseconds(20 + random.Below(200)));
  }
  --callers_running_;
}

boost::asio::awaitable<void> Soak::RunVersions() {
  // A separate generator keeps the faults of a seed the same without versions.
  Random random(options_.seed + 3);
  co_await Sleep(io_, kWarmUp);
  int started = 0;
  while (clock_.Now() < ends_at_) {
    platform_.SetEngineVersion(kVersions[random.Below(std::size(kVersions))]);
    platform_.StartEngine({absl::StrCat("m", started++ % kModels)});
    const auto engines = platform_.Servers(true);
    if (engines.size() > 8) {
      const std::string& id = engines[random.Below(engines.size())];
      const bool crashes = random.Below(2) == 0;
      faults_.push_back(absl::StrCat(crashes ? "ends " : "leaves ", id));
      if (crashes) {
        platform_.Stop(id, /*is_delisted=*/true);
      } else {
        platform_.Drain(id);
      }
    }
    platform_.SetBreakEvery(random.Below(3) == 0 ? 3 : 0);
    co_await Sleep(io_, milliseconds(500 + random.Below(2500)));
  }
}

void Soak::CheckStreams(std::vector<std::string>& broken) const {
  for (const auto& stream : streams_) {
    if (stream->versions.size() > 1) {
      broken.push_back(absl::StrCat("ORDER stream ", stream->begun_by, " has ",
                                    stream->versions[0], " and ",
                                    stream->versions[1]));
    }
    if (stream->is_complete && stream->events != kEvents) {
      broken.push_back(absl::StrCat("ORDER stream ", stream->begun_by,
                                    " ended after ", stream->events,
                                    " events"));
    }
  }
  if (resumptions_.asked < kMinTries || new_streams_.asked < kMinTries) return;
  const double resumed = 1.0 * resumptions_.served / resumptions_.asked;
  const double begun = 1.0 * new_streams_.served / new_streams_.asked;
  if (resumed < kMinResumedShare * begun) {
    broken.push_back(absl::StrCat("LOST ", resumptions_.served, " of ",
                                  resumptions_.asked, " streams went on, ",
                                  new_streams_.served, " of ",
                                  new_streams_.asked, " new ones began"));
  }
}

}  // namespace applehall
