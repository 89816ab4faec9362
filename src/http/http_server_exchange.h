// One request at the HTTP server; used by its sources only.
#pragma once

#include <string>
#include <vector>

#include "http_server_state.h"

namespace basilhoist {

/// A request whose connection is suspended until the reply is there.
class http_server::state::exchange : public http_exchange {
 public:
  exchange(state& server, MHD_Connection* connection, std::string target);

  void SetRequestLine(const char* method, const char* path) {
    method_ = method;
    path_ = path;
  }
  [[nodiscard]] bool HasRequestLine() const { return !method_.empty(); }

  bool FirstOnConnection() const override { return first_; }

  const std::string& Method() const override { return method_; }
  const std::string& Path() const override { return path_; }
  const std::string& Target() const override { return target_; }
  const std::string& Body() const override { return body_; }

  std::vector<http_header> Headers() const override;

  void OnGone(std::function<void()> gone) override { gone_ = std::move(gone); }

  std::string Header(const char* name) const override {
    return Lookup(MHD_HEADER_KIND, name);
  }
  std::string Argument(const char* name) const override {
    return Lookup(MHD_GET_ARGUMENT_KIND, name);
  }

  std::string PeerAddress() const override;

  void Reply(http_reply reply) override;

  /// Lets the library go on with a suspended connection.
  void Resume();

  /// Takes a part of the body; a size of 0 is its end, or follows a reply.
  MHD_Result Continue(const std::shared_ptr<exchange>& self, const char* data,
                      size_t* size);

  /// Replies to what need not be read whole to be refused.
  /// @return whether it was
  bool RefuseEarly();

  void QueueNow();

  /// Ends the use of a connection that the library is done with.
  void Detach();

 private:
  [[nodiscard]] int Socket() const;
  void WatchCaller();
  void PeekAtCaller();
  [[nodiscard]] bool CallerClosed() const;
  void GiveUpCaller();
  void TellGone();
  std::string Lookup(MHD_ValueKind kind, const char* name) const;
  void Refuse(int status, std::string_view text);
  void Handle(const std::shared_ptr<exchange>& self);

  state& server_;
  MHD_Connection* connection_;
  std::string method_;
  std::string path_;
  std::string target_;
  std::string body_;
  http_reply reply_;
  instant body_due_;
  fd_watch caller_watch_;
  timer_id next_peek_ = 0;
  std::function<void()> gone_;
  bool first_ = false;
  bool oversize_ = false;
  bool handled_ = false;
  bool suspended_ = false;
  bool replied_ = false;
};

}  // namespace basilhoist
