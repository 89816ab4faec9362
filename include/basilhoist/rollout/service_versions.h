// Which versions of a service's servers are in use, apart from orders.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/directory/server_directory.h"

namespace basilhoist {

/// A version whose servers are held.
struct held_version {
  std::string service;
  std::string version;

  auto operator<=>(const held_version&) const = default;
};

/// Follows the versions of all listed servers. A server of a version that is
/// not in use is held, since the order that started it may arrive later than
/// its entry, or not at all at an instance without the store. A version counts
/// as in use when it has been listed for a while and has more than half of the
/// servers: servers are also replaced one by one without an order.
class service_versions {
 public:
  static constexpr milliseconds kUnknownVersionHold{5000};

  /// Called when servers were added to the directory, all at once.
  /// @return the versions that are held from now on
  std::vector<held_version> OnAdded(const std::vector<listed_server_ptr>& added,
                                    instant now);
  void OnRemoved(const listed_server& server);

  /// @return whether servers of this version may be used without an order
  [[nodiscard]] bool InUse(const std::string& service,
                           const std::string& version, instant now) const;

  /// @return whether no service has servers of different versions, and none was
  ///   rejected; a quick check before each send
  [[nodiscard]] bool AllInUse() const { return special_ == 0; }

  /// @return whether any server of the service is listed
  [[nodiscard]] bool Lists(const std::string& service) const;

  /// @return whether a server of another version than the given one is listed
  [[nodiscard]] bool HasOther(const std::string& service,
                              const std::string& version) const;

  /// Marks the version that a completed order has brought into use.
  void SetInUse(const std::string& service, const std::string& version);

  /// Marks the version of an order that was rolled back or withdrawn. It stays
  /// so until its last server is gone, or another order names it.
  void Reject(const std::string& service, const std::string& version);
  void Allow(const std::string& service, const std::string& version);
  [[nodiscard]] bool IsRejected(const std::string& service,
                                const std::string& version) const;

 private:
  struct listed_version {
    std::size_t servers = 0;
    std::int64_t first_start_ms = std::numeric_limits<std::int64_t>::max();
    instant held_until;
    bool in_use = false;  // for certain: the first one, or one of an order
  };
  struct service_record {
    std::map<std::string, listed_version> versions;
    std::set<std::string> rejected;
  };

  static void ChooseFirst(service_record& record);

  [[nodiscard]] static bool IsSpecial(const service_record& record) {
    return record.versions.size() > 1 || !record.rejected.empty();
  }
  // Updates special_ for a record that was special before or not.
  void OnChanged(const service_record& record, bool was_special);

  std::map<std::string, service_record> services_;
  std::size_t special_ = 0;  // services for which IsSpecial holds
};

}  // namespace basilhoist
