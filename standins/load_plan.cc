#include "load_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace basilhoist::standin {
namespace {

constexpr double kBoundExtraLoad = 0.05;

std::string DomainPart(const std::string& address) {
  std::istringstream stream(address);
  std::string part;
  for (int i = 0; i < 3; ++i) std::getline(stream, part, '.');
  return part;
}

}  // namespace

std::vector<load_stream> ParseMix(const std::string& text) {
  std::vector<load_stream> streams;
  std::istringstream stream(text);
  for (std::string each; std::getline(stream, each, ',');) {
    std::istringstream fields(each);
    load_stream parsed;
    std::string kind;
    std::string rate;
    std::getline(fields, parsed.group, ':');
    std::getline(fields, kind, ':');
    std::getline(fields, rate, ':');
    parsed.rate = std::strtod(rate.c_str(), nullptr);
    parsed.kind = kind == "query"    ? operation::kQuery
                  : kind == "lookup" ? operation::kLookup
                                     : operation::kOnce;
    if (parsed.rate <= 0) return {};
    streams.push_back(parsed);
  }
  return streams;
}

reference_latency::reference_latency(service_time_options times,
                                     slow_server slow, microseconds distance)
    : times_(times), slow_(std::move(slow)), distance_(distance) {}

double reference_latency::TimeOf(const backend_server& server,
                                 const std::string& shard,
                                 const std::string& request_id,
                                 const std::string& entry_address) const {
  double time = static_cast<double>(
      ServiceTime(times_, request_id, shard, server.name).count());
  if (server.name == slow_.name) time *= slow_.factor;
  const bool far =
      DomainPart(entry_address) != DomainPart(server.where.address);
  if (far) time += 2.0 * static_cast<double>(distance_.count());
  return time;
}

void reference_latency::Add(const service_group& group,
                            const std::string& request_id,
                            const std::string& entry_address) {
  std::vector<shard_times> shards;
  for (const auto& each : group.services) {
    shard_times times;
    const auto& servers = each.servers;
    // A policy can learn which server is slow throughout and which is near,
    // but not which sub-request will be slow.
    std::size_t first =
        XXH3_64bits(request_id.data(), request_id.size()) % servers.size();
    if (servers[first].name == slow_.name) first = (first + 1) % servers.size();
    const std::size_t second = (first + 1) % servers.size();
    times.first = TimeOf(servers[first], each.name, request_id, entry_address);
    times.second =
        TimeOf(servers[second], each.name, request_id, entry_address);
    shards.push_back(times);
  }
  queries_.push_back(std::move(shards));
}

std::vector<double> reference_latency::Oracle() const {
  std::vector<double> latencies;
  for (const auto& query : queries_) {
    double worst = 0;
    for (const auto& shard : query) {
      worst = std::max(worst, std::min(shard.first, shard.second));
    }
    latencies.push_back(worst);
  }
  return latencies;
}

std::vector<double> reference_latency::Bound() const {
  std::vector<double> firsts;
  for (const auto& query : queries_) {
    for (const auto& shard : query) firsts.push_back(shard.first);
  }
  const double delay = Quantile(firsts, 1.0 - kBoundExtraLoad);
  std::vector<double> latencies;
  for (const auto& query : queries_) {
    double worst = 0;
    for (const auto& shard : query) {
      const double time = std::min(shard.first, delay + shard.second);
      worst = std::max(worst, time);
    }
    latencies.push_back(worst);
  }
  return latencies;
}

double Quantile(std::vector<double>& samples, double quantile) {
  if (samples.empty()) return 0;
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<std::size_t>(quantile * last)];
}

}  // namespace basilhoist::standin
