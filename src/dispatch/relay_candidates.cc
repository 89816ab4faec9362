#include "basilhoist/dispatch/relay_candidates.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace basilhoist {
namespace {

using server_list = std::vector<listed_server_ptr>;

// Servers in the relay's failure domain first, then by a hash of the request
// and the server.
void SortForRelay(server_list& servers, const relay_rule& rule) {
  const auto order = [&rule](const listed_server_ptr& server) {
    const bool remote = server->info.failure_domain != rule.relay_domain;
    const std::string& id = rule.request_id;
    return std::pair(remote, XXH64(id.data(), id.size(), server->incarnation));
  };
  std::sort(
      servers.begin(), servers.end(),
      [&order](const listed_server_ptr& left, const listed_server_ptr& right) {
        return order(left) < order(right);
      });
}

}  // namespace

std::vector<listed_server_ptr> RelayCandidates(
    std::vector<listed_server_ptr> usable, const std::set<std::uint64_t>& tried,
    const relay_rule& rule) {
  const std::size_t limit = rule.max_servers;
  if (rule.part == relay_part::kNone || usable.size() <= limit) return usable;
  SortForRelay(usable, rule);
  if (rule.part == relay_part::kFixedRelay) {
    usable.resize(limit);
    return usable;
  }
  // The first server is most likely the choice of the relay, so it is not among
  // those that are kept for the sender unless the limit is 1.
  const auto first = usable.begin() + (limit > 1 ? 1 : 0);
  server_list reserved(first, first + static_cast<std::ptrdiff_t>(
                                          std::max<std::size_t>(1, limit - 1)));
  if (rule.part == relay_part::kSenderAfter) return reserved;
  const auto tried_others = static_cast<std::size_t>(
      std::count_if(tried.begin(), tried.end(), [&reserved](std::uint64_t key) {
        return std::none_of(reserved.begin(), reserved.end(),
                            [key](const listed_server_ptr& server) {
                              return server->key == key;
                            });
      }));
  return tried_others + reserved.size() < limit ? usable : reserved;
}

}  // namespace basilhoist
