// Takes from replies what backend servers announce about themselves.
#pragma once

#include <string>

#include "basilhoist/backend/backend_reply.h"
#include "basilhoist/directory/server_directory.h"
#include "basilhoist/dispatch/header_names.h"
#include "basilhoist/dispatch/server_notices.h"
#include "basilhoist/dispatch/server_rate_limits.h"
#include "basilhoist/dispatch/shared_rate_limiter.h"
#include "basilhoist/pace/pace_controller.h"

namespace basilhoist {

/// Records shutdowns, pauses and rate limits, and logs them.
class announcement_recorder {
 public:
  /// Where announcements are recorded.
  struct targets {
    server_notices& notices;
    server_rate_limits& rate_limits;
    shared_rate_limiter& limited_sends;
    pace_controller& pace;
  };

  announcement_recorder(const header_names& names, const targets& recorded)
      : names_(names), targets_(recorded) {}

  /// Records what a reply announces about its server.
  /// @param sent_at when the request was sent
  void OnReply(const listed_server& server, const backend_reply& reply,
               const std::string& request_id, instant sent_at, instant now);

  /// Records what a relay passes on of a server's announcements.
  void OnRelayedNotice(const server_notice& notice,
                       const std::string& request_id, instant now);

  /// Applies a rate limit that kept a relay from sending.
  void OnRelayedLimit(const rate_limit_report& limit, instant now);

 private:
  /// Records the rate limit that a reply advertises, or that it advertises
  /// none.
  void RecordRateLimit(const listed_server& server, const backend_reply& reply,
                       const std::string& request_id, instant sent_at,
                       instant now);
  void RecordShutdown(const listed_server& server, const backend_reply& reply,
                      const std::string& request_id, instant now);
  /// Records the pause that a reply asks for, or that it asks for none.
  void RecordPause(const listed_server& server, const backend_reply& reply,
                   const std::string& request_id, instant now);

  const header_names& names_;
  targets targets_;
};

}  // namespace basilhoist
