#include "basilhoist/admission/service_loads.h"

namespace basilhoist {

void service_loads::OnCallEnd(std::uint64_t service, bool in_time,
                              instant now) {
  record& load = records_[service];
  load.calls.Add(1, now);
  if (in_time) load.in_time.Add(1, now);
}

void service_loads::OnSendEnd(std::uint64_t service, microseconds duration,
                              instant now) {
  records_[service].send_seconds.Add(
      std::chrono::duration<double>(duration).count(), now);
}

service_load service_loads::LoadOf(std::uint64_t service, instant now) const {
  const auto found = records_.find(service);
  if (found == records_.end()) return {};
  const double calls = found->second.calls.At(now);
  // Little's law: rate of sends x duration of each.
  return {.calls = calls,
          .answered = calls > 0 ? found->second.in_time.At(now) / calls : 1,
          .in_flight = found->second.send_seconds.PerSecond(now)};
}

}  // namespace basilhoist
