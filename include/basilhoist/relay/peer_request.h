// A caller's request that is handed over to a peer.
#pragma once

#include "basilhoist/dispatch/active_request.h"
#include "basilhoist/relay/handover_client.h"

namespace basilhoist {

/// Creates a request that a peer handles. A peer that rejects it is replaced by
/// another one; one that is lost ends it.
std::shared_ptr<active_request> MakePeerRequest(
    dispatcher& the_dispatcher, handover_client& handovers,
    routed_request request, request_outcome_handler on_outcome);

}  // namespace basilhoist
