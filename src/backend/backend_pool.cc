#include "basilhoist/backend/backend_pool.h"

#include <algorithm>
#include <utility>

namespace basilhoist {
namespace {

// Interval between searches for surplus idle connections.
constexpr milliseconds kSurplusCheckInterval{200};

}  // namespace

backend_pool::backend_pool(event_loop& loop, const memory_budget_ptr& memory)
    : loop_(loop) {
  if (memory) {
    reply_share_.emplace(memory, memory_use::kServerReplies);
    reply_budget_.OnChange([this, memory](std::size_t used) {
      reply_share_->Resize(used);
      memory->Enforce();
    });
  }
  loop_.Every(kSurplusCheckInterval, [this] { CloseSurplus(); });
}

std::uint64_t backend_pool::Send(const listed_server& server,
                                 unsigned max_connections, bool fresh,
                                 backend_request request, reply_handler done) {
  server_connections& pooled = by_server_[server.key];
  pooled_connection* chosen = fresh ? nullptr : FindIdle(pooled);
  if (chosen == nullptr) {
    // At the limit, an idle connection is closed to make room for the new one.
    if (fresh && pooled.connections.size() >= max_connections) {
      const auto idle = std::find_if(
          pooled.connections.begin(), pooled.connections.end(),
          [](const pooled_connection& candidate) {
            return candidate.request == 0 && candidate.connection->Open();
          });
      if (idle != pooled.connections.end()) pooled.connections.erase(idle);
    }
    if (pooled.connections.size() >= max_connections) return 0;
    chosen = &OpenConnection(server, pooled);
  }
  const std::uint64_t id = ++last_id_;
  const connection_key key{.server_key = server.key, .number = chosen->number};
  chosen->request = id;
  requests_.emplace(id, key);
  chosen->connection->Send(
      std::move(request),
      [this, id, key, done = std::move(done)](backend_reply reply) {
        requests_.erase(id);
        OnReply(key.server_key, key.number);
        done(std::move(reply));
      });
  return id;
}

bool backend_pool::CanSend(const listed_server& server,
                           unsigned max_connections) const {
  const auto found = by_server_.find(server.key);
  if (found == by_server_.end()) return true;
  const auto& connections = found->second.connections;
  if (connections.size() < max_connections) return true;
  const instant now = Now();
  return std::any_of(connections.begin(), connections.end(),
                     [now](const pooled_connection& candidate) {
                       return candidate.request == 0 &&
                              candidate.connection->Idle(now);
                     });
}

void backend_pool::CheckListening(const listed_server& server,
                                  listen_check::handler done) {
  const std::uint64_t id = ++last_id_;
  checks_[id] = std::make_unique<listen_check>(
      loop_, server.info.address,
      [this, id, done = std::move(done)](listen_state found) {
        // The check is still executing, so it is destroyed later.
        loop_.Post([this, id] { checks_.erase(id); });
        done(found);
      });
}

void backend_pool::Abandon(std::uint64_t id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const connection_key key = found->second;
  requests_.erase(found);
  CloseConnection(key.server_key, key.number);
}

void backend_pool::RemoveServer(const listed_server& server) {
  const auto found = by_server_.find(server.key);
  if (found == by_server_.end()) return;
  auto& connections = found->second.connections;
  std::erase_if(connections, [](const pooled_connection& candidate) {
    return candidate.request == 0;
  });
  found->second.removed = true;
  if (connections.empty()) by_server_.erase(found);
}

// Returns the most recently used idle connection, so that the others reach
// their idle timeout and are closed; null if there is none. First erases the
// connections whose idle timeout has passed.
backend_pool::pooled_connection* backend_pool::FindIdle(
    server_connections& pooled) {
  const instant now = Now();
  // A closed connection may still be executing; its on_closed handler removes
  // it.
  std::erase_if(pooled.connections, [now](const pooled_connection& candidate) {
    return candidate.request == 0 && candidate.connection->Open() &&
           !candidate.connection->Idle(now);
  });
  for (auto candidate = pooled.connections.rbegin();
       candidate != pooled.connections.rend(); ++candidate) {
    if (candidate->request == 0 && candidate->connection->Idle(now)) {
      return &*candidate;
    }
  }
  return nullptr;
}

backend_pool::pooled_connection& backend_pool::OpenConnection(
    const listed_server& server, server_connections& pooled) {
  const std::uint64_t number = ++opened_;
  const std::uint64_t key = server.key;
  pooled.connections.push_back(
      {.number = number,
       .connection = std::make_unique<backend_connection>(
           loop_, server.info.address,
           [this, key, number] { CloseConnection(key, number); },
           reply_budget_)});
  return pooled.connections.back();
}

// Marks the connection of a finished request as idle, or closes it if its
// server was removed.
void backend_pool::OnReply(std::uint64_t server_key, std::uint64_t number) {
  const auto found = by_server_.find(server_key);
  if (found == by_server_.end()) return;
  auto& connections = found->second.connections;
  const auto at = std::find_if(connections.begin(), connections.end(),
                               [number](const pooled_connection& candidate) {
                                 return candidate.number == number;
                               });
  if (at == connections.end()) return;
  at->request = 0;
  at->idle_since = Now();
  // The most recently used connection is the last in the list.
  std::rotate(at, at + 1, connections.end());
  // The connection is still executing, so it is destroyed later.
  if (found->second.removed) {
    loop_.Post(
        [this, server_key, number] { CloseConnection(server_key, number); });
  }
}

void backend_pool::CloseConnection(std::uint64_t server_key,
                                   std::uint64_t number) {
  const auto found = by_server_.find(server_key);
  if (found == by_server_.end()) return;
  auto& connections = found->second.connections;
  std::erase_if(connections, [number](const pooled_connection& candidate) {
    return candidate.number == number;
  });
  if (connections.empty()) by_server_.erase(found);
}

// Closes connections that have been idle too long, except the most recently
// used one of each server, which is the last in its list.
void backend_pool::CloseSurplus() {
  const instant now = Now();
  for (auto& [key, server_pool] : by_server_) {
    if (server_pool.connections.size() < 2) continue;
    const std::uint64_t last = server_pool.connections.back().number;
    std::erase_if(server_pool.connections,
                  [now, last](const pooled_connection& candidate) {
                    return candidate.request == 0 && candidate.number != last &&
                           now - candidate.idle_since > kSurplusIdleTimeout;
                  });
  }
}

}  // namespace basilhoist
