// One run of the operators' tool: its loop and its calls.
#pragma once

#include <string>

#include "basilhoist/ctl/change.h"
#include "basilhoist/ctl/commands.h"
#include "basilhoist/ctl/fleet_query.h"

namespace basilhoist {

/// What the store said of one object.
struct store_answer {
  call_outcome outcome = call_outcome::kNotDone;
  object found;
};

/// Runs the event loop for the calls of one command.
class ctl_session {
 public:
  /// @param given names the store and the instances
  explicit ctl_session(const ctl_arguments& given);

  /// @return the store's answer for one object
  store_answer Get(const std::string& kind, const std::string& name);

  /// Makes a change; numbered above what any instance holds.
  /// @param document the document's name, e.g. "drains"
  change_result Make(document_change change, const std::string& document);

  fleet_query& Fleet() { return fleet_; }

 private:
  event_loop loop_;
  http_client http_;
  object_store store_;
  fleet_query fleet_;
};

}  // namespace basilhoist
