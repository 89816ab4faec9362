#include "basilhoist/backend/listen_check.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "basilhoist/backend/backend_connection.h"

namespace basilhoist {

listen_check::listen_check(event_loop& loop, const endpoint& to, handler done)
    : loop_(loop),
      done_(std::move(done)),
      watch_(loop, [this](bool, bool) { OnConnected(); }),
      fd_(ConnectSocket({}, to)) {
  const milliseconds timeout =
      fd_ < 0 ? milliseconds(0) : backend_connection::kConnectTimeout;
  // Without a socket the timer reports kUnknown from the event loop, since the
  // handler must not be called from the constructor.
  timer_ = loop_.After(timeout, [this] {
    timer_ = 0;
    End(listen_state::kUnknown);
  });
  if (fd_ >= 0) watch_.Set(fd_, false, true);
}

listen_check::~listen_check() { Close(); }

void listen_check::OnConnected() {
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error == 0) {
    End(listen_state::kListening);
  } else {
    End(error == ECONNREFUSED ? listen_state::kRefused
                              : listen_state::kUnknown);
  }
}

// Calls the handler, which may destroy this object.
void listen_check::End(listen_state result) {
  Close();
  const handler done = std::move(done_);
  done(result);
}

void listen_check::Close() {
  loop_.Cancel(timer_);
  timer_ = 0;
  watch_.Set(-1, false, false);
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

}  // namespace basilhoist
