#include "basilhoist/ops/event_line.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <utility>

#include "basilhoist/base/clock.h"

namespace basilhoist {
namespace {

constexpr std::chrono::seconds kRateWindow{1};

struct event_sink {
  std::string process;
  unsigned max_lines_per_s = 0;  // 0: SetUpEvents was not called; no lines
  unsigned lines = 0;
  std::uint64_t dropped = 0;
  instant window_start;
};

event_sink& Sink() {
  static event_sink sink;
  return sink;
}

void WriteLine(const nlohmann::ordered_json& line) {
  std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  text += '\n';
  // Standard output is non-blocking: if its reader does not keep up, the line
  // is dropped, so that requests are not delayed.
  if (write(STDOUT_FILENO, text.data(), text.size()) < 0) ++Sink().dropped;
}

nlohmann::ordered_json MakeLine(std::string_view part, std::string_view event) {
  const auto time_ms = std::chrono::duration_cast<milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  return {{"time_ms", time_ms},
          {"process", Sink().process},
          {"part", part},
          {"event", event}};
}

// Applies the rate limit to one line. At the start of a new window, logs how
// many lines were dropped.
bool AdmitLine() {
  event_sink& sink = Sink();
  if (sink.max_lines_per_s == 0) return false;
  const instant now = Now();
  if (now - sink.window_start >= kRateWindow) {
    sink.window_start = now;
    sink.lines = 0;
    if (sink.dropped > 0) {
      auto line = MakeLine("log", "lines_dropped");
      line["count"] = std::exchange(sink.dropped, 0);
      WriteLine(line);
    }
  }
  if (sink.lines < sink.max_lines_per_s) {
    ++sink.lines;
    return true;
  }
  ++sink.dropped;
  return false;
}

}  // namespace

void SetUpEvents(std::string process, unsigned max_lines_per_s) {
  Sink() = {.process = std::move(process), .max_lines_per_s = max_lines_per_s};
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

event_line::event_line(std::string_view part, std::string_view event)
    : admitted_(AdmitLine()) {
  if (admitted_) line_ = MakeLine(part, event);
}

event_line::~event_line() {
  if (admitted_) WriteLine(line_);
}

}  // namespace basilhoist
