// One entry instance: all its parts, put together.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "basilhoist/entry/group_state.h"
#include "basilhoist/link/frame_link.h"
#include "basilhoist/loop/event_loop.h"
#include "basilhoist/member/ownership.h"

namespace basilhoist {

/// Settings of one instance, as its platform gives them.
struct instance_options {
  std::string site;
  std::string name;
  std::string failure_domain;
  std::string address;  ///< IP number that it listens on and sends from.
  std::uint16_t caller_port = 8080;
  std::uint16_t ops_port = 8081;
  std::uint16_t link_port = 8082;
  endpoint store;               ///< The platform's store.
  std::vector<endpoint> peers;  ///< Links of some instances, to start from.
  /// How long the balancer may go on sending after readiness ends.
  milliseconds balancer_lag{1000};
  unsigned max_caller_connections = 1000;
  std::uint64_t seed = 1;
  ownership_options spans;
  query_strategy strategy;
  std::string sharing = "one-owner";  ///< See sharing.h.
  /// For experiments only.
  bool experiments = false;
  microseconds cross_domain_delay{0};
};

/// Runs an instance in an event loop until it has stopped gracefully.
class instance {
 public:
  instance(event_loop& loop, instance_options options);
  ~instance();
  instance(const instance&) = delete;
  instance& operator=(const instance&) = delete;

  /// Starts all parts.
  /// @return false with a log line if an address cannot be listened on
  bool Start();

  /// Stops gracefully: readiness off, servers handed over, requests finished;
  /// then the loop ends.
  void Stop();

 private:
  class parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace basilhoist
