#include "basilhoist/backend/backend_pool.h"

#include <algorithm>
#include <utility>

namespace basilhoist {
namespace {

constexpr milliseconds kSurplusPeriod{200};

}  // namespace

backend_pool::backend_pool(event_loop& loop) : loop_(loop) {
  loop_.Every(kSurplusPeriod, [this] { CloseSurplus(); });
}

std::uint64_t backend_pool::Send(const listed_server& server, unsigned most,
                                 bool fresh, backend_request request,
                                 reply_handler done) {
  server_links& links = by_server_[server.key];
  link* chosen = fresh ? nullptr : TakeIdle(links);
  if (chosen == nullptr) {
    // An idle connection that may not be used makes room for a fresh one.
    if (fresh && links.links.size() >= most) {
      const auto idle = std::find_if(
          links.links.begin(), links.links.end(), [](const link& each) {
            return each.request == 0 && each.connection->Open();
          });
      if (idle != links.links.end()) links.links.erase(idle);
    }
    if (links.links.size() >= most) return 0;
    chosen = &OpenLink(server, links);
  }
  const std::uint64_t id = ++last_id_;
  const place where{.server_key = server.key, .number = chosen->number};
  chosen->request = id;
  requests_.emplace(id, where);
  chosen->connection->Send(
      std::move(request),
      [this, id, where, done = std::move(done)](backend_reply reply) {
        requests_.erase(id);
        OnReply(where.server_key, where.number);
        done(std::move(reply));
      });
  return id;
}

bool backend_pool::CanSend(const listed_server& server, unsigned most) const {
  const auto found = by_server_.find(server.key);
  if (found == by_server_.end()) return true;
  const auto& links = found->second.links;
  if (links.size() < most) return true;
  const instant now = Now();
  return std::any_of(links.begin(), links.end(), [now](const link& each) {
    return each.request == 0 && each.connection->Idle(now);
  });
}

void backend_pool::CheckListening(const listed_server& server,
                                  listen_check::handler done) {
  const std::uint64_t id = ++last_id_;
  checks_[id] = std::make_unique<listen_check>(
      loop_, server.info.address,
      [this, id, done = std::move(done)](listen_state found) {
        // The check is still on the stack.
        loop_.Post([this, id] { checks_.erase(id); });
        done(found);
      });
}

void backend_pool::Abandon(std::uint64_t id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const place where = found->second;
  requests_.erase(found);
  Remove(where.server_key, where.number);
}

void backend_pool::RemoveServer(const listed_server& server) {
  const auto found = by_server_.find(server.key);
  if (found == by_server_.end()) return;
  auto& links = found->second.links;
  std::erase_if(links, [](const link& each) { return each.request == 0; });
  found->second.gone = true;
  if (links.empty()) by_server_.erase(found);
}

// The latest used one goes first, so that the others can grow old and close.
backend_pool::link* backend_pool::TakeIdle(server_links& links) {
  const instant now = Now();
  // A closed one may be on the stack and is removed by its own handler.
  std::erase_if(links.links, [now](const link& each) {
    return each.request == 0 && each.connection->Open() &&
           !each.connection->Idle(now);
  });
  for (auto each = links.links.rbegin(); each != links.links.rend(); ++each) {
    if (each->request == 0 && each->connection->Idle(now)) return &*each;
  }
  return nullptr;
}

backend_pool::link& backend_pool::OpenLink(const listed_server& server,
                                           server_links& links) {
  const std::uint64_t number = ++opened_;
  const std::uint64_t key = server.key;
  links.links.push_back(
      {.number = number,
       .connection = std::make_unique<backend_connection>(
           loop_, server.info.address,
           [this, key, number] { Remove(key, number); }, replies_)});
  return links.links.back();
}

void backend_pool::OnReply(std::uint64_t server_key, std::uint64_t number) {
  const auto found = by_server_.find(server_key);
  if (found == by_server_.end()) return;
  auto& links = found->second.links;
  const auto at = std::find_if(
      links.begin(), links.end(),
      [number](const link& each) { return each.number == number; });
  if (at == links.end()) return;
  at->request = 0;
  at->idle_since = Now();
  std::rotate(at, at + 1, links.end());
  // The connection is still on the stack here, so it is removed later.
  if (found->second.gone) {
    loop_.Post([this, server_key, number] { Remove(server_key, number); });
  }
}

void backend_pool::Remove(std::uint64_t server_key, std::uint64_t number) {
  const auto found = by_server_.find(server_key);
  if (found == by_server_.end()) return;
  auto& links = found->second.links;
  std::erase_if(links,
                [number](const link& each) { return each.number == number; });
  if (links.empty()) by_server_.erase(found);
}

// The latest used connection stands last and stays.
void backend_pool::CloseSurplus() {
  const instant now = Now();
  for (auto& [key, server] : by_server_) {
    if (server.links.size() < 2) continue;
    const std::uint64_t last = server.links.back().number;
    std::erase_if(server.links, [now, last](const link& each) {
      return each.request == 0 && each.number != last &&
             now - each.idle_since > kSurplusIdleTimeout;
    });
  }
}

}  // namespace basilhoist
