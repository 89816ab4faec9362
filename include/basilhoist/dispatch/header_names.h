// Names of the HTTP headers that carry request metadata.
#pragma once

#include <string>

namespace basilhoist {

/// Names of the headers exchanged with callers and backend servers. The
/// platform binding sets them.
struct header_names {
  /// Identifies one attempt of a caller; replies echo it.
  std::string request_id;
  /// How long the sender of the request waits for the reply, in milliseconds.
  std::string timeout_ms;
  /// Id of the only backend server that may run the request.
  std::string target_server;
  /// Marks a reply of a backend server that did not run the request.
  std::string not_executed;
  /// The backend server's proof that it produced the reply.
  std::string signature;
  /// Signatures of the shard results that a merged answer contains.
  std::string shard_signatures;
  /// Number of shards that are missing from a merged answer.
  std::string missing_shards;
  /// Remaining cold-start time of a backend server, in milliseconds.
  std::string warmup_remaining_ms;
  /// Time after which the request may be retried, in seconds.
  std::string retry_after;
  /// "1" if the backend server is about to shut down.
  std::string shutting_down;
  /// Requests per second that the backend server accepts from all instances
  /// together, as a decimal number.
  std::string rate_limit;
  /// Carries the API key of a caller; never sent to backend servers.
  std::string authorization = "Authorization";
  /// Tells backend servers the name of the workspace that sent the request.
  std::string workspace;

  bool operator==(const header_names&) const = default;
};

}  // namespace basilhoist
