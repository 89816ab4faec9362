#include "basilhoist/dispatch/crash_confirmer.h"

namespace basilhoist {

void crash_confirmer::OnLost(const listed_server_ptr& server) {
  if (!checking_.insert(server->key).second) return;
  Check(server, 0);
}

void crash_confirmer::Check(const listed_server_ptr& server,
                            std::size_t number) {
  if (number == kCheckDelays.size() || server->removed) {
    checking_.erase(server->key);
    return;
  }
  const milliseconds wait =
      number == 0 ? kCheckDelays[0]
                  : kCheckDelays[number] - kCheckDelays[number - 1];
  loop_.After(wait, [this, server, number] {
    sender_.CheckListening(*server, [this, server, number](listen_state state) {
      if (state != listen_state::kRefused) {
        Check(server, number + 1);
        return;
      }
      checking_.erase(server->key);
      on_refused_(server);
    });
  });
}

}  // namespace basilhoist
