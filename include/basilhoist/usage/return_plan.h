// Tells refused callers of a workspace when to return.
#pragma once

#include <cstdint>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Gives refused callers one place after the other in the rate that is left.
class return_plan {
 public:
  /// @param earliest until the next request may be admitted
  /// @param rate_per_s of the requests that may be admitted at this instance
  /// @param patience the caller does not wait longer than this
  /// @return how long the caller should wait
  microseconds Next(microseconds earliest, double rate_per_s,
                    microseconds patience, instant now);

 private:
  instant next_;               // the first free place
  std::uint32_t without_ = 0;  // callers that got no place lately
};

}  // namespace basilhoist
