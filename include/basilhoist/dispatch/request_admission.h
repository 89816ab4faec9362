// Connects admission with requests, servers and peers: gathers what its
// decisions are based on.
#pragma once

#include <functional>

#include "basilhoist/dispatch/active_request.h"

namespace basilhoist {

/// The decision about one request, with what it was based on.
struct request_admission {
  admission_cause cause = admission_cause::kAdmitted;
  arriving_request based_on;
  /// When the caller should retry, if it is refused.
  microseconds return_delay{0};

  auto operator<=>(const request_admission&) const = default;
};

/// @return what the admission of a request is based on
arriving_request DescribeArrival(const dispatcher& the_dispatcher,
                                 const routed_request& request, instant now);

/// Decides whether a request from a caller is admitted.
request_admission Admit(dispatcher& the_dispatcher,
                        const routed_request& request);

/// Records that this instance sends an admitted request to shards, for itself
/// or as a relay. Ignores routes that the newest routing table does not have.
void RecordAdmitted(dispatcher& the_dispatcher,
                    const outbound_request& request);

/// Updates the plans of this instance from the loads of its servers.
/// @return whether it reports an overload that no instance has reported yet
bool UpdateAdmission(dispatcher& the_dispatcher, instant now);

/// Takes the reports of a peer.
/// @return whether they tell of an overload that was not known here
bool ReceiveAdmissionReports(dispatcher& the_dispatcher,
                             const std::vector<admission_report>& reports,
                             instant now);

/// Starts the periodic updates.
/// @param on_overload called when peers should be told at once
void StartAdmission(dispatcher& the_dispatcher,
                    std::function<void()> on_overload);

}  // namespace basilhoist
