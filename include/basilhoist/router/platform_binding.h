// The platform-specific names and formats that routers use.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/directory/backend_server.h"
#include "basilhoist/dispatch/header_names.h"
#include "basilhoist/knowledge/restore_policy.h"
#include "basilhoist/rollout/rollout_order.h"
#include "basilhoist/routing/routing_table.h"
#include "basilhoist/store/object.h"

namespace basilhoist {

/// Kinds of objects in the store.
struct object_kinds {
  std::string routing;      ///< One object: the newest routing table.
  std::string servers;      ///< One object for each backend server.
  std::string evacuations;  ///< One object for each evacuated failure domain.
  std::string instances;    ///< One object for each registered instance.
  std::string rollouts;     ///< One object for each service with an order.
  std::string suspects;     ///< One object for each request that is refused
                            ///< because it crashes servers.

  bool operator==(const object_kinds&) const = default;
};

/// Decodes the contents of objects. Objects that cannot be decoded are logged
/// and skipped.
class content_decoder {
 public:
  virtual ~content_decoder() = default;

  /// @return the routing table, or null if the snapshot has none that can be
  ///   decoded
  [[nodiscard]] virtual routing_table_ptr Routing(
      const object_snapshot& snapshot) const = 0;
  /// @return the server that an entry describes; nothing if the entry is
  ///   malformed
  [[nodiscard]] virtual std::optional<backend_server> Server(
      const object& entry) const = 0;
  [[nodiscard]] virtual std::set<std::string> EvacuatedDomains(
      const object_snapshot& snapshot) const = 0;

  /// @return the order in an object; nothing if it is malformed, or the
  ///   platform has none
  [[nodiscard]] virtual std::optional<rollout_order> Rollout(
      const object& entry) const {
    static_cast<void>(entry);
    return std::nullopt;
  }
  /// @return the content of a rollout's status
  [[nodiscard]] virtual nlohmann::json EncodeRolloutStatus(
      rollout_state state, const std::string& target_version) const {
    return {{"state", Name(state)}, {"target_version", target_version}};
  }

  /// @return the version of a routing table; nothing if it is malformed
  [[nodiscard]] virtual std::optional<object_rank> RoutingRank(
      const object& entry) const = 0;
  /// @return the start and the status report of a backend server; nothing if
  ///   they are malformed
  [[nodiscard]] virtual std::optional<object_rank> ServerRank(
      const object& entry) const = 0;
};

/// The names and formats of one platform.
struct platform_binding {
  std::shared_ptr<const object_dialect> dialect;
  std::shared_ptr<const content_decoder> decoder;
  header_names headers;
  object_kinds kinds;
  std::string readiness_path;  ///< Path of the load balancer's probes.
};

}  // namespace basilhoist
