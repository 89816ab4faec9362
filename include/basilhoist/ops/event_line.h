// Structured log lines: one JSON object for each decision.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace basilhoist {

/// Sets where event lines go: standard output, which is never waited for.
/// @param process name of this process, in each line
/// @param lines_per_s lines written in one second at most; those over it are
///   counted, and the count is written
void SetUpEvents(std::string process, unsigned lines_per_s);

/// Builds one line and writes it when it goes out of scope.
class event_line {
 public:
  /// @param part the part that decided, e.g. "feed"
  /// @param event what happened, e.g. "version_taken"
  event_line(std::string_view part, std::string_view event);
  ~event_line();
  event_line(const event_line&) = delete;
  event_line& operator=(const event_line&) = delete;

  template <typename Value>
  event_line& With(const char* key, const Value& value) {
    if (wanted_) line_[key] = value;
    return *this;
  }

 private:
  bool wanted_;
  nlohmann::ordered_json line_;
};

}  // namespace basilhoist
