// The list of backend servers, and the failure domains that are evacuated.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/directory/backend_server.h"

namespace basilhoist {

/// One server incarnation in the directory. Senders share ownership of it.
struct listed_server {
  /// Unlike the id, the key is never reused for another incarnation.
  std::uint64_t key = 0;
  std::uint64_t incarnation = 0;  ///< info.IncarnationHash().
  backend_server info;
  /// End of the server's warm-up, according to its entry.
  instant cold_until;
  /// The server has been removed from the directory and gets no new requests.
  bool removed = false;
  /// The server's entry has disappeared from the store. The server stays in the
  /// directory for kMissingGrace.
  bool missing = false;
  /// Earliest time at which the entry can have disappeared.
  instant missing_since;
};

using listed_server_ptr = std::shared_ptr<listed_server>;

/// Tracks the backend servers through successive snapshots of their entries.
class server_directory {
 public:
  /// How long a server stays in the directory after its entry disappeared
  /// without a drain. While the store is unavailable, entries expire although
  /// their servers run; they reappear within about 2 s after the store is
  /// available again. A server that really shuts down goes on serving for
  /// longer than this period.
  static constexpr milliseconds kMissingGrace{2200};

  /// Applies a snapshot of all server entries.
  /// @param missing_since the earliest time at which an entry that the snapshot
  ///   lacks can have disappeared
  void Apply(const std::vector<backend_server>& servers, instant now,
             instant missing_since);
  void Apply(const std::vector<backend_server>& servers, instant now) {
    Apply(servers, now, now);
  }

  /// Applies the final entries of servers that the next snapshot lacks. Apply()
  /// removes those that were draining at once, without the grace period.
  void ApplyFinalEntries(const std::vector<backend_server>& servers);

  /// Sets the failure domains that get no new requests.
  void SetEvacuated(std::set<std::string> failure_domains) {
    evacuated_ = std::move(failure_domains);
  }
  [[nodiscard]] const std::set<std::string>& Evacuated() const {
    return evacuated_;
  }

  /// Removes missing servers whose grace period is over.
  /// @return whether any server was removed
  bool Expire(instant now);

  /// @return all listed servers of a service, including those that get no new
  ///   requests
  [[nodiscard]] const std::vector<listed_server_ptr>& ServersOf(
      const std::string& service) const;

  /// @return all listed servers by id
  [[nodiscard]] const std::map<std::string, listed_server_ptr>& All() const {
    return by_id_;
  }

  [[nodiscard]] bool IsEvacuated(const listed_server& server) const {
    return evacuated_.contains(server.info.failure_domain);
  }

  /// @return whether the server may get new requests according to the store
  [[nodiscard]] bool MayUse(const listed_server& server) const {
    return !server.removed && !server.info.draining && !IsEvacuated(server);
  }

  [[nodiscard]] std::size_t Size() const { return by_id_.size(); }

  /// @return the number of listed servers whose entries have disappeared
  [[nodiscard]] std::size_t MissingCount() const;

  /// Sets a function that is called for each server incarnation that is
  /// removed.
  void OnRemoved(std::function<void(const listed_server&)> on_removed) {
    on_removed_ = std::move(on_removed);
  }

  /// Sets a function that is called with the server incarnations that a
  /// snapshot added.
  void OnAdded(std::function<void(const std::vector<listed_server_ptr>&)> on) {
    on_added_ = std::move(on);
  }

 private:
  static void Update(listed_server& server, const backend_server& entry,
                     instant now);
  listed_server_ptr Add(const backend_server& entry, instant now);
  /// Keeps servers that `servers` lacks, unless they are known to have ended.
  void RetainMissing(const std::vector<backend_server>& servers,
                     instant missing_since,
                     std::map<std::string, listed_server_ptr>& next);
  void RebuildServiceIndex();
  void Remove(listed_server& server);

  std::map<std::string, listed_server_ptr> by_id_;
  std::map<std::string, std::vector<listed_server_ptr>> by_service_;
  std::set<std::string> evacuated_;
  std::function<void(const listed_server&)> on_removed_;
  std::function<void(const std::vector<listed_server_ptr>&)> on_added_;
  std::uint64_t last_key_ = 0;
};

}  // namespace basilhoist
