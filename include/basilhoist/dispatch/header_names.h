// Headers that the tier reads and sets; a platform gives their names.
#pragma once

#include <string>

namespace basilhoist {

/// Names of headers between callers, the tier and backend servers.
struct header_names {
  std::string request_id;     ///< Of one attempt of a caller; echoed.
  std::string time_left_ms;   ///< How long the sender will wait.
  std::string target_server;  ///< Id of the only server that may run it.
  std::string not_executed;   ///< The server did not run the request.
  std::string signature;      ///< The server's proof that the reply is its own.
  std::string part_signatures;  ///< Proofs of the parts of a merged answer.
  std::string missing_shards;   ///< Shards that a merged answer leaves out.
  std::string warmup_left_ms;   ///< How long the server stays cold.
  std::string retry_after;      ///< Seconds until the caller may come back.
  std::string leaving;          ///< "1": the server is about to end.

  bool operator==(const header_names&) const = default;
};

}  // namespace basilhoist
