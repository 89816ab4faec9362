#include "basilhoist/dispatch/isolation_monitor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Servers in a sample, from as many failure domains as possible.
constexpr std::size_t kSampleSize = 4;

}  // namespace

isolation_monitor::isolation_monitor(event_loop& loop, request_sender& sender,
                                     const server_directory& directory,
                                     std::uint64_t seed, handlers on)
    : loop_(loop),
      sender_(sender),
      directory_(directory),
      random_(seed),
      on_(std::move(on)) {}

void isolation_monitor::OnConnectFailed(const listed_server& server) {
  detector_.OnConnectFailed(server.key, Now());
  SampleIfWanted();
}

void isolation_monitor::OnOverdue(const listed_server& server,
                                  instant sent_at) {
  detector_.OnOverdue(server.key, sent_at, Now());
  SampleIfWanted();
}

void isolation_monitor::OnRefused(const listed_server_ptr& server) {
  if (Isolated()) return;
  refused_.push_back(server);
  if (!sampling_) TakeSample();
}

void isolation_monitor::SampleIfWanted() {
  if (sampling_) return;
  if (detector_.WantsSample(directory_.Size(), Now())) TakeSample();
}

void isolation_monitor::TakeSample() {
  const std::vector<listed_server_ptr> chosen = ChooseSample();
  detector_.OnSampleStarted(Now());
  sampling_ = true;
  sample_ = {.pending = chosen.size(), .refused = std::exchange(refused_, {})};
  if (chosen.empty()) {
    loop_.Post([this] { FinishSample(); });
    return;
  }
  for (const listed_server_ptr& server : chosen) {
    sender_.CheckListening(*server,
                           [this](listen_state found) { OnChecked(found); });
  }
}

void isolation_monitor::OnChecked(listen_state found) {
  ++sample_.result.checked;
  if (found == listen_state::kListening) ++sample_.result.listening;
  if (--sample_.pending == 0) FinishSample();
}

void isolation_monitor::FinishSample() {
  sampling_ = false;
  const sample_state ended = std::exchange(sample_, {});
  if (detector_.OnSample(ended.result)) {
    event_line("links", Isolated() ? "isolated" : "connected")
        .With("checked", ended.result.checked)
        .With("listening", ended.result.listening);
    on_.on_change(Isolated());
  }
  // Without another server to compare with, the refusal is taken as it is.
  if (ended.result.listening > 0 || ended.result.checked == 0) {
    for (const listed_server_ptr& server : ended.refused) {
      if (!server->removed) on_.on_terminated(*server);
    }
  }
  if (Isolated()) {
    refused_.clear();
    loop_.After(isolation_detector::kSampleInterval,
                [this] { SampleIfWanted(); });
  } else if (!refused_.empty()) {
    TakeSample();
  }
}

// Servers that have just refused a connection say nothing about the links to
// others.
std::vector<listed_server_ptr> isolation_monitor::ChooseSample() {
  std::vector<listed_server_ptr> candidates;
  for (const auto& [id, server] : directory_.All()) {
    if (server->removed || server->missing || server->info.draining) continue;
    if (std::find(refused_.begin(), refused_.end(), server) != refused_.end()) {
      continue;
    }
    candidates.push_back(server);
  }
  std::shuffle(candidates.begin(), candidates.end(), random_);
  std::set<std::string> domains;
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [&domains](const listed_server_ptr& server) {
        return domains.insert(server->info.failure_domain).second;
      });
  if (candidates.size() > kSampleSize) candidates.resize(kSampleSize);
  return candidates;
}

}  // namespace basilhoist
