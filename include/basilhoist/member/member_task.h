// Keeps this instance a member: heartbeats, fences, and proposals of views.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "basilhoist/document/document_table.h"
#include "basilhoist/member/ownership.h"
#include "basilhoist/member/peer_mesh.h"
#include "basilhoist/store/object_store.h"

namespace basilhoist {

/// How the member task is set up.
struct member_options {
  std::string site;
  ownership_options spans;
  microseconds heartbeat_period = milliseconds(400);
};

/// What a member knows of another instance from its heartbeats.
struct known_instance {
  member who;
  instant heard_at;
  bool ready = false;
  bool retired = false;
};

/// Runs ownership over the mesh and the store.
class member_task {
 public:
  member_task(event_loop& loop, peer_mesh& mesh, object_store& store,
              document_table& documents, member self, member_options options);

  /// Starts heartbeats and proposals.
  void Start();

  /// The link to a peer stands.
  void OnPeer(const member& peer);

  void OnHeartbeat(const frame_source& source, const heartbeat& beat);
  void OnDocument(const document& arrived);

  /// A document has changed here; the view is taken over.
  void OnChange(const document& changed);

  /// Takes the site's servers.
  void SetServers(std::vector<owned_server> servers) {
    servers_ = std::move(servers);
  }

  /// Tells peers whether this instance takes requests.
  void SetReady(bool ready) { ready_ = ready; }

  /// Gives up all servers; peers hear of it at once.
  void Retire();

  /// Hands a server over that went to another owner and that nothing of ours
  /// runs on.
  void Release(const std::string& server);

  /// @return whether this instance should watch the store for all others
  [[nodiscard]] bool IsWatcher() const;

  /// @return whether any other instance was heard lately
  [[nodiscard]] bool HearsAnyone() const;

  /// @return other instances by name, as heard from
  [[nodiscard]] const std::map<std::string, known_instance>& Known() const {
    return known_;
  }

  /// @return bytes of heartbeats and documents sent so far
  [[nodiscard]] std::uint64_t ControlBytes() const { return control_bytes_; }

  ownership& Owners() { return ownership_; }
  [[nodiscard]] const ownership& Owners() const { return ownership_; }

 private:
  struct told_state {
    std::uint64_t changes = 0;
    instant at;
  };

  void SendHeartbeats();
  void SendHeartbeat(const std::string& to, instant now);
  void PushDocument(const document& changed);
  void PostHeartbeats();
  void Tick();
  void Propose();
  void WriteView(const member_view& proposed, std::uint64_t revision);
  void OnStoredView(const member_view& next, call_outcome outcome,
                    const object& found);
  void ReadInstances();
  void ReadInstances(const std::string& after,
                     const std::shared_ptr<std::set<std::string>>& present);
  void OnInstances(const std::set<std::string>& present);
  [[nodiscard]] bool NeedsList() const;
  [[nodiscard]] bool MayPropose() const;
  [[nodiscard]] std::optional<member_view> NextView() const;
  [[nodiscard]] bool HeardLately(const std::string& name) const;

  event_loop& loop_;
  peer_mesh& mesh_;
  object_store& store_;
  document_table& documents_;
  member_options options_;
  ownership ownership_;
  std::map<std::string, known_instance> known_;
  std::map<std::string, std::uint64_t> answered_epoch_;
  std::vector<owned_server> servers_;
  std::set<std::string> listed_;  // by the platform, at some time
  std::optional<member_view> wanted_;
  instant wanted_since_;
  instant started_;
  instant list_read_at_;
  std::map<std::string, told_state> told_;
  std::uint64_t changes_ = 1;  // of documents
  std::uint64_t control_bytes_ = 0;
  bool from_peer_ = false;  // while a peer's document is taken
  bool proposing_ = false;
  bool heartbeat_posted_ = false;
  bool ready_ = false;
  bool retired_ = false;
};

}  // namespace basilhoist
