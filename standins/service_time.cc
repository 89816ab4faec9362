#include "service_time.h"

#include <xxhash.h>

namespace basilhoist::standin {
namespace {

// A number in [0, 1) from the upper or lower half of a hash.
double Fraction(std::uint32_t bits) {
  return static_cast<double>(bits) / 4294967296.0;
}

}  // namespace

microseconds ServiceTime(const service_time_options& options,
                         const std::string& request_id,
                         const std::string& shard, const std::string& server) {
  const std::string key = request_id + "|" + shard + "|" + server;
  const auto hash = XXH3_64bits_withSeed(key.data(), key.size(), options.seed);
  const double spread = 0.6 + 0.8 * Fraction(static_cast<std::uint32_t>(hash));
  const bool slow =
      Fraction(static_cast<std::uint32_t>(hash >> 32U)) < options.slow_share;
  const double factor = slow ? options.slow_factor : 1.0;
  return microseconds(static_cast<std::int64_t>(
      static_cast<double>(options.typical.count()) * spread * factor));
}

std::string ExpectedRow(const std::string& shard, std::uint64_t version,
                        const std::string& body) {
  const std::string key = shard + "|" + std::to_string(version) + "|" + body;
  return std::to_string(XXH3_64bits(key.data(), key.size()));
}

}  // namespace basilhoist::standin
