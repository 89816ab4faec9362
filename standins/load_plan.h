// What the load tool sends, and what the best policies would have reached.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "basilhoist/link/messages.h"
#include "basilhoist/settings/site_settings.h"
#include "service_time.h"

namespace basilhoist::standin {

/// One stream of requests at a fixed rate.
struct load_stream {
  std::string group;
  operation kind = operation::kQuery;
  double rate = 1;  ///< Requests a second.
};

/// Reads "group:operation:rate,group:operation:rate".
/// @return the streams; empty if the text is not of that form
std::vector<load_stream> ParseMix(const std::string& text);

/// A server that is slower than others throughout.
struct slow_server {
  std::string name;
  double factor = 1;
};

/// Latencies that policies would reach on the service times of a run.
class reference_latency {
 public:
  reference_latency(service_time_options times, slow_server slow,
                    microseconds distance);

  /// Notes one query.
  /// @param entry_address IP number of the entry that took it
  void Add(const service_group& group, const std::string& request_id,
           const std::string& entry_address);

  /// @return latencies in microseconds of a policy that knows each shard's
  ///     quicker replica beforehand
  [[nodiscard]] std::vector<double> Oracle() const;

  /// @return latencies of one delayed second attempt within 5% extra load
  [[nodiscard]] std::vector<double> Bound() const;

 private:
  struct shard_times {
    double first = 0;  // of the replica that a good policy tries first
    double second = 0;
  };

  [[nodiscard]] double TimeOf(const backend_server& server,
                              const std::string& shard,
                              const std::string& request_id,
                              const std::string& entry_address) const;

  service_time_options times_;
  slow_server slow_;
  microseconds distance_;
  std::vector<std::vector<shard_times>> queries_;
};

/// @param samples is sorted in place
/// @return the quantile, or 0 without samples
double Quantile(std::vector<double>& samples, double quantile);

}  // namespace basilhoist::standin
