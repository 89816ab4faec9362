#include "basilhoist/router/client_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace basilhoist {
namespace {

// Parts of the descriptors. The others are for connections to backend servers,
// the store and peers.
constexpr double kCallerPart = 0.4;
constexpr double kOpsPart = 0.125;
constexpr double kPeerPart = 0.125;
constexpr unsigned kMaxCallerConnections = 3000;
// Each router of a failure domain fetches changes from its readers.
constexpr unsigned kMaxOpsConnections = 1000;
// The load balancer has a few connections. Others must not make its probes
// fail.
constexpr double kReadinessPart = 0.05;
constexpr unsigned kMaxReadinessConnections = 256;
constexpr std::size_t kMaxPeerLinks = 4096;
// A head that is somewhat too large is read, so that its refusal is logged with
// the request's id.
constexpr std::size_t kRawHeadFactor = 2;
constexpr std::size_t kMinRawHeadBytes = std::size_t{16} << 10U;

std::size_t Part(std::size_t descriptors, double part) {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(descriptors) * part));
}

}  // namespace

client_limits ClientLimits(std::size_t memory_bytes, std::size_t descriptors) {
  return {.memory = BudgetFor(memory_bytes),
          .caller_connections = static_cast<unsigned>(std::min<std::size_t>(
              kMaxCallerConnections, Part(descriptors, kCallerPart))),
          .readiness_connections = static_cast<unsigned>(std::min<std::size_t>(
              kMaxReadinessConnections, Part(descriptors, kReadinessPart))),
          .ops_connections = static_cast<unsigned>(std::min<std::size_t>(
              kMaxOpsConnections, Part(descriptors, kOpsPart))),
          .peer_links = std::min(kMaxPeerLinks, Part(descriptors, kPeerPart))};
}

std::size_t DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
  return static_cast<std::size_t>(limit.rlim_cur);
}

std::size_t RawHeadLimit(std::size_t max_header_bytes) {
  return std::max(kMinRawHeadBytes, kRawHeadFactor * max_header_bytes);
}

}  // namespace basilhoist
