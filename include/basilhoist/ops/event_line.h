// Structured event log: one JSON object a line for each decision of the
// process.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace basilhoist {

/// Enables the event log, which goes to standard output. Standard output is
/// made non-blocking: lines are dropped if its reader does not keep up.
/// @param process name of this process, included in each line
/// @param max_lines_per_s limit on the lines written in one second; lines over
///   it are dropped, and their number is logged later
void SetUpEvents(std::string process, unsigned max_lines_per_s);

/// Builds one event line; the destructor writes it.
class event_line {
 public:
  /// @param part the component that logs the event, e.g. "feed"
  /// @param event the name of the event, e.g. "version_taken"
  event_line(std::string_view part, std::string_view event);
  ~event_line();
  event_line(const event_line&) = delete;
  event_line& operator=(const event_line&) = delete;

  /// Adds a field to the line.
  template <typename Value>
  event_line& With(const char* key, const Value& value) {
    if (admitted_) line_[key] = value;
    return *this;
  }

 private:
  bool admitted_;  // within the rate limit
  nlohmann::ordered_json line_;
};

}  // namespace basilhoist
