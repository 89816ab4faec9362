// What an instance knows for the admission of requests.
#pragma once

#include <array>
#include <cstdint>

#include "basilhoist/admission/admission_gate.h"
#include "basilhoist/admission/admission_planner.h"
#include "basilhoist/admission/loop_delay.h"
#include "basilhoist/admission/service_loads.h"

namespace basilhoist {

/// State of admission, shared by all requests of an instance.
struct admission_state {
  /// @param origin identifies this instance in its reports
  explicit admission_state(std::uint64_t origin) : planner(origin) {}

  service_loads loads;
  admission_planner planner;
  admission_reports reports;
  loop_delay delay;
  /// Requests that were refused, by admission_cause.
  std::array<std::uint64_t, kAdmissionCauseCount> refused{};
};

}  // namespace basilhoist
