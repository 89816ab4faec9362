// Whom an instance tells what it holds, and which others it passes on.
#pragma once

#include <cstddef>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "basilhoist/knowledge/peer_table.h"

namespace basilhoist {

/// How many are told in one round, by where they stand.
struct tell_options {
  std::string failure_domain;  ///< The own one.
  /// Of the own domain, by a reader: all of them up to some hundred machines.
  std::size_t near_by_reader = 128;
  /// Of the own domain beside its readers, by others.
  std::size_t near = 1;
  /// Readers of other domains, by a reader. Their bytes cross domains.
  std::size_t far = 2;
  /// Addresses that nobody has told of, and peers anywhere while no reader of
  /// the own domain is heard.
  std::size_t unknown = 3;
  /// Of the own domain beside its readers, at once with news. Whoever hears it
  /// for the first time tells as many, so that four steps reach several
  /// thousand peers.
  std::size_t news = 9;

  bool operator==(const tell_options&) const = default;
};

/// Peers to tell. Few bytes should go to those of other domains.
struct tell_targets {
  std::vector<endpoint> near;
  std::vector<endpoint> far;

  bool operator==(const tell_targets&) const = default;
};

/// Plans one round.
/// @param reads_store whether this instance is a reader
/// @param has_reader whether a reader of the own domain is heard
/// @param news whether what is told cannot wait
tell_targets PlanTelling(const peer_table& table, const tell_options& options,
                         bool reads_store, bool has_reader, bool news,
                         pcg32& random);

/// Chooses peers to tell another one of, by their domains.
/// @param first domain whose instances go first
/// @param only_first whether only these are told
/// @param lately_within peers whose beat has grown within this time
std::vector<told_domain> ChooseTold(const peer_table& table,
                                    const std::string& first, bool only_first,
                                    std::size_t most,
                                    microseconds lately_within, instant now,
                                    pcg32& random);

}  // namespace basilhoist
