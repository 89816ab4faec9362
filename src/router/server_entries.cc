#include "basilhoist/router/server_entries.h"

#include <algorithm>
#include <string>
#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Limits of a log line about entries: how many it names, and with how many
// bytes of their names.
constexpr std::size_t kMaxLoggedEntries = 8;
constexpr std::size_t kMaxLoggedName = 64;

}  // namespace

// Both lists are in the order of names, so one pass finds what both have.
const std::vector<backend_server>& server_entries::Decode(
    const object_snapshot& snapshot) {
  std::vector<decoded_entry> entries;
  std::vector<backend_server> servers;
  entries.reserve(snapshot.objects.size());
  servers.reserve(snapshot.objects.size());
  auto former = entries_.begin();
  auto former_server = servers_.begin();
  const auto skip_former = [&] {
    if (former->valid) ++former_server;
    ++former;
  };
  for (const auto& [name, entry] : snapshot.objects) {
    while (former != entries_.end() && former->name < name) skip_former();
    const bool unchanged = former != entries_.end() && former->name == name &&
                           former->content.IsSame(entry.content);
    if (unchanged) {
      if (former->valid) servers.push_back(std::move(*former_server));
      entries.push_back(*former);
      skip_former();
      continue;
    }
    auto server = decoder_->Server(entry);
    entries.push_back(
        {.name = name, .content = entry.content, .valid = server.has_value()});
    if (server) servers.push_back(std::move(*server));
  }
  entries_ = std::move(entries);
  servers_ = std::move(servers);
  LogMalformed();
  return servers_;
}

void server_entries::LogMalformed() const {
  const std::size_t malformed = entries_.size() - servers_.size();
  if (malformed == 0) return;
  std::vector<std::string> examples;
  for (const decoded_entry& each : entries_) {
    if (each.valid) continue;
    examples.push_back(each.name.substr(0, kMaxLoggedName));
    if (examples.size() == kMaxLoggedEntries) break;
  }
  event_line("platform", "server_entries_left_out")
      .With("count", malformed)
      .With("entries", examples);
}

}  // namespace basilhoist
