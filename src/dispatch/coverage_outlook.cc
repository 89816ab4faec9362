#include "basilhoist/dispatch/coverage_outlook.h"

#include "basilhoist/dispatch/answer_policy.h"

namespace basilhoist {

fan_out_admission DecideAdmission(const coverage_outlook& outlook,
                                  double min_coverage, bool has_relays) {
  if (MeetsCoverage(outlook.unlimited + outlook.sendable, outlook.shards,
                    min_coverage)) {
    return fan_out_admission::kSend;
  }
  return has_relays ? fan_out_admission::kTry : fan_out_admission::kRefuse;
}

}  // namespace basilhoist
