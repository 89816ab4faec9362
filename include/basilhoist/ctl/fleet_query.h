// Calls of the operators' tool to instances.
#pragma once

#include <string>
#include <vector>

#include "basilhoist/http/http_client.h"
#include "basilhoist/rpc/rpc_codec.h"

namespace basilhoist {

/// What one instance said of itself.
struct instance_status {
  std::string where;  ///< "IP:port" of its ops port.
  bool reached = false;
  std::string status;  ///< JSON.
};

/// An instance's answer to a plain request.
struct http_answer {
  int status = 0;  ///< 0 if the instance could not be reached.
  std::string body;

  bool operator==(const http_answer&) const = default;
};

/// Asks instances over JSON-RPC. Runs the loop until each call is over.
class fleet_query {
 public:
  /// @param instances "IP:port,IP:port" of ops ports; may be empty
  fleet_query(event_loop& loop, http_client& http,
              const std::string& instances);

  [[nodiscard]] const std::vector<std::string>& Instances() const {
    return instances_;
  }

  rpc_result Call(const std::string& where, const std::string& method,
                  const std::string& parameter);

  /// Sends a plain request to the ops port of an instance.
  http_answer Ask(const std::string& where, const std::string& method,
                  const std::string& path, const std::string& body);

  std::vector<instance_status> StatusOfAll();

  /// @return the highest version of a document that any instance holds
  std::uint64_t HighestVersion(const std::string& document);

  /// Hands an accepted document to every instance, so that it is in force
  /// even if the store goes away before they have read it.
  void Offer(const std::string& document, const std::string& content);

  /// Waits until every instance holds a version.
  /// @return the instances that do not after the time given
  std::vector<std::string> WaitForVersion(const std::string& document,
                                          std::uint64_t version,
                                          microseconds at_most);

 private:
  event_loop& loop_;
  http_client& http_;
  std::vector<std::string> instances_;
};

}  // namespace basilhoist
