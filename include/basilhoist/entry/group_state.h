// What an entry has learned about one service group.
#pragma once

#include "basilhoist/route/admission_limit.h"
#include "basilhoist/route/attempt_budget.h"
#include "basilhoist/route/latency_window.h"
#include "basilhoist/route/server_table.h"
#include "basilhoist/settings/site_settings.h"

namespace basilhoist {

/// Behaviour that measurements switch off to show what it is worth.
struct query_strategy {
  choice_rule choice = choice_rule::kExpectedWait;
  bool second_attempts = true;
  bool retries = true;
  bool admission = true;
};

/// Shared by all requests of a group in one entry.
struct group_state {
  group_state(const service_group& group, query_strategy the_strategy)
      : policy(group.policy),
        strategy(the_strategy),
        attempt_latency(1.0 - group.policy.second_attempt_share),
        second_attempts(group.policy.second_attempt_share),
        retries(group.policy.retry_share),
        admission(group.policy.max_in_flight) {}

  /// Takes a changed policy; what was learned of latencies stays.
  void SetPolicy(const request_policy& changed) {
    policy = changed;
    second_attempts = attempt_budget(changed.second_attempt_share);
    retries = attempt_budget(changed.retry_share);
    admission.SetMost(changed.max_in_flight);
  }

  request_policy policy;
  query_strategy strategy;
  latency_window attempt_latency;
  attempt_budget second_attempts;
  attempt_budget retries;
  admission_limit admission;
};

}  // namespace basilhoist
