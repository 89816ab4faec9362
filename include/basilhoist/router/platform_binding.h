// What a platform brings so that routers can run on it.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/directory/backend_server.h"
#include "basilhoist/dispatch/header_names.h"
#include "basilhoist/routing/routing_table.h"
#include "basilhoist/store/object.h"

namespace basilhoist {

/// Kinds of objects in the store.
struct object_kinds {
  std::string routing;      ///< The newest routing table.
  std::string servers;      ///< One object for each backend server.
  std::string evacuations;  ///< One for each evacuated failure domain.
  std::string instances;    ///< One for each instance of the tier.
  std::string suspects;     ///< One for each request that crashes servers.

  bool operator==(const object_kinds&) const = default;
};

/// Reads contents of objects. What cannot be read is logged and left out.
class content_decoder {
 public:
  virtual ~content_decoder() = default;

  /// @return the routing table, or null if there is none that can be read
  [[nodiscard]] virtual routing_table_ptr Routing(
      const object_snapshot& snapshot) const = 0;
  [[nodiscard]] virtual std::vector<backend_server> Servers(
      const object_snapshot& snapshot) const = 0;
  [[nodiscard]] virtual std::set<std::string> EvacuatedDomains(
      const object_snapshot& snapshot) const = 0;
};

/// A platform's names and formats.
struct platform_binding {
  std::shared_ptr<const object_dialect> dialect;
  std::shared_ptr<const content_decoder> decoder;
  header_names headers;
  object_kinds kinds;
  std::string readiness_path;
};

}  // namespace basilhoist
