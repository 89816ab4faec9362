// Chooses the targets of a gossip round and the peers that it reports.
#pragma once

#include <cstddef>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "basilhoist/knowledge/peer_table.h"

namespace basilhoist {

/// Number of targets of one gossip round, by group of peers.
struct gossip_options {
  std::string failure_domain;  ///< The local failure domain.
  /// Local instances that a reader sends to, in addition to the other readers.
  /// Covers the whole domain up to this number of instances.
  std::size_t local_by_reader = 128;
  /// Local instances that an instance other than a reader sends to, in
  /// addition to the readers.
  std::size_t local = 1;
  /// Readers of other failure domains that a reader sends to. These datagrams
  /// cross failure domains.
  std::size_t remote_readers = 2;
  /// Addresses from which no heartbeat is known yet. Also the number of peers
  /// of other domains that an instance sends to while it does not receive from
  /// any local reader.
  std::size_t unknown = 3;
  /// Replaces `local` in a round with an urgent update. Each instance that
  /// receives the update for the first time starts such a round itself, so that
  /// four hops reach several thousand peers.
  std::size_t urgent_local = 9;

  bool operator==(const gossip_options&) const = default;
};

/// Targets of one gossip round. Few bytes should cross failure domains.
struct gossip_targets {
  std::vector<endpoint> local;
  std::vector<endpoint> remote;  ///< Also addresses whose domain is unknown.

  bool operator==(const gossip_targets&) const = default;
};

/// Chooses the targets of one gossip round.
/// @param is_reader whether this instance follows the store
/// @param has_reader whether this instance receives from a local reader
/// @param urgent whether the update cannot wait for the next periodic round
gossip_targets ChooseGossipTargets(const peer_table& table,
                                   const gossip_options& options,
                                   bool is_reader, bool has_reader, bool urgent,
                                   pcg32& random);

/// Chooses at random the peers to report in one datagram. Readers get at most
/// half of the places.
/// @param preferred_domain failure domain whose instances are preferred
/// @param only_preferred whether peers of other domains are left out
/// @param max_peers limit of the peers reported
/// @param alive_within peers whose heartbeat counter has not grown within this
///   time are left out
/// @return the chosen peers, grouped by failure domain
std::vector<told_domain> ChooseReportedPeers(
    const peer_table& table, const std::string& preferred_domain,
    bool only_preferred, std::size_t max_peers, microseconds alive_within,
    instant now, pcg32& random);

}  // namespace basilhoist
