#include "basilhoist/settings/site_settings.h"

#include <algorithm>
#include <set>
#include <utility>

#include "settings_reader.h"

namespace basilhoist {
namespace {

using internal::settings_reader;

constexpr std::uint32_t kMostSlots = 1000;
constexpr std::uint32_t kMostConnections = 100000;
constexpr std::uint32_t kMostSpanMs = 60000;
// A takeover waits for the longest sub-request to end; see docs/design.md.
constexpr std::uint32_t kMostAttemptMs = 1000;
constexpr std::uint32_t kMostInFlight = 100000;

server_limits ReadShape(const settings_reader& shape) {
  shape.OnlyKeys({"slots", "connections", "connect_ms", "cold_start_in_flight",
                  "successes_per_step"});
  server_limits limits{
      .slots = shape.Whole("slots", 1, 1, kMostSlots),
      .connections = shape.Whole("connections", 2, 1, kMostConnections),
      .connect_time = shape.Span("connect_ms", milliseconds(1), kMostSpanMs),
      .cold_in_flight = shape.Whole("cold_start_in_flight", 1, 1, kMostSlots),
      .successes_per_step =
          shape.Whole("successes_per_step", 10, 1, kMostInFlight)};
  if (limits.cold_in_flight > limits.slots) {
    shape.Fault("cold_start_in_flight", "it must not exceed slots (" +
                                            std::to_string(limits.slots) + ")");
  }
  if (limits.connections <= limits.slots) {
    shape.Fault("connections", "it must exceed slots (" +
                                   std::to_string(limits.slots) +
                                   "): cancellations need one more");
  }
  return limits;
}

request_policy ReadPolicy(const settings_reader& policy) {
  policy.OnlyKeys({"default_deadline_ms", "attempt_timeout_ms",
                   "second_attempt_percent", "retry_percent",
                   "partial_after_ms", "max_in_flight"});
  const request_policy defaults;
  request_policy read{
      .default_deadline = policy.Span("default_deadline_ms",
                                      defaults.default_deadline, kMostSpanMs),
      .attempt_timeout = policy.Span("attempt_timeout_ms",
                                     defaults.attempt_timeout, kMostAttemptMs),
      .second_attempt_share = policy.Percent("second_attempt_percent",
                                             defaults.second_attempt_share),
      .retry_share = policy.Percent("retry_percent", defaults.retry_share),
      .partial_after =
          policy.Span("partial_after_ms", defaults.partial_after, kMostSpanMs),
      .max_in_flight = policy.Whole("max_in_flight", defaults.max_in_flight, 1,
                                    kMostInFlight)};
  if (read.partial_after > read.default_deadline) {
    policy.Fault("partial_after_ms",
                 "it must not exceed default_deadline_ms (" +
                     std::to_string(read.default_deadline.count()) + ")");
  }
  return read;
}

// Reads every child of an object with one function.
template <typename Value>
std::map<std::string, Value> ReadNamed(const settings_reader& parent,
                                       const std::string& key,
                                       Value (*read)(const settings_reader&)) {
  std::map<std::string, Value> result;
  const settings_reader object = parent.Object(key);
  for (const auto& [name, value] : object.Value().items()) {
    result[name] = read(object.Object(name));
  }
  return result;
}

class site_reader {
 public:
  site_reader(const settings_reader& root, std::vector<std::string> domains)
      : root_(root),
        domains_(std::move(domains)),
        shapes_(ReadNamed<server_limits>(root, "server_shapes", &ReadShape)),
        policies_(ReadNamed<request_policy>(root, "policies", &ReadPolicy)) {}

  std::vector<service_group> ReadGroups() {
    std::vector<service_group> groups;
    const settings_reader all = root_.Object("service_groups");
    for (const auto& [name, value] : all.Value().items()) {
      groups.push_back(ReadGroup(name, all.Object(name)));
    }
    if (groups.empty()) all.Fault("", "at least one service group is needed");
    return groups;
  }

 private:
  service_group ReadGroup(const std::string& name,
                          const settings_reader& reader) {
    reader.OnlyKeys({"shape", "policy", "operations", "services"});
    service_group group{.name = name,
                        .limits = Pick(reader, "shape", shapes_),
                        .policy = Pick(reader, "policy", policies_)};
    for (const auto& allowed : reader.Texts("operations")) {
      if (allowed == "query") {
        group.queries = true;
      } else if (allowed == "lookup") {
        group.lookups = true;
      } else if (allowed == "once") {
        group.once = true;
      } else {
        reader.Fault("operations",
                     "'" + allowed + "' must be query, lookup or once");
      }
    }
    const settings_reader services = reader.Object("services");
    for (const auto& [service_name, value] : services.Value().items()) {
      group.services.push_back(
          ReadService(service_name, services.Object(service_name)));
    }
    if (group.services.empty()) {
      services.Fault("", "at least one service is needed");
    }
    return group;
  }

  service ReadService(const std::string& name, const settings_reader& reader) {
    service result{.name = name};
    std::set<std::string> used;
    for (const auto& [server_name, value] : reader.Value().items()) {
      const auto server = ReadServer(server_name, reader.Object(server_name));
      if (!used.insert(server.failure_domain).second) {
        reader.Fault(server_name,
                     "another server of this service is in failure domain " +
                         server.failure_domain + "; they must differ");
      }
      result.servers.push_back(server);
    }
    if (result.servers.empty()) {
      reader.Fault("", "at least one backend server is needed");
    }
    return result;
  }

  backend_server ReadServer(const std::string& name,
                            const settings_reader& reader) {
    reader.OnlyKeys({"address", "failure_domain"});
    backend_server server{.name = name,
                          .where = ParseEndpoint(reader.Text("address")),
                          .failure_domain = reader.Text("failure_domain")};
    if (server.where.port == 0) {
      reader.Fault("address",
                   "an IP number and port is needed, as 10.0.0.1:80");
    }
    if (std::find(domains_.begin(), domains_.end(), server.failure_domain) ==
        domains_.end()) {
      reader.Fault("failure_domain", "'" + server.failure_domain +
                                         "' is not listed in failure_domains");
    }
    NoteOnce(names_, name, reader, "", "this server name");
    NoteOnce(addresses_, Format(server.where), reader, "address",
             "this address");
    return server;
  }

  static void NoteOnce(std::map<std::string, std::string>& seen,
                       const std::string& what, const settings_reader& reader,
                       const std::string& key, const std::string& noun) {
    const auto [found, fresh] = seen.emplace(what, reader.Pointer());
    if (!fresh) {
      reader.Fault(key, noun + " is also used at " + found->second.substr(1));
    }
  }

  template <typename Value>
  static Value Pick(const settings_reader& reader, const std::string& key,
                    const std::map<std::string, Value>& choices) {
    const std::string name = reader.Text(key);
    const auto found = choices.find(name);
    if (found != choices.end()) return found->second;
    std::string known;
    for (const auto& [choice, value] : choices) known += " " + choice;
    reader.Fault(key, "'" + name + "' is not defined; defined are:" + known);
    return {};
  }

  const settings_reader& root_;
  std::vector<std::string> domains_;
  std::map<std::string, server_limits> shapes_;
  std::map<std::string, request_policy> policies_;
  std::map<std::string, std::string> names_;
  std::map<std::string, std::string> addresses_;
};

}  // namespace

std::map<std::string, server_entry> IndexServers(
    const site_settings& settings) {
  std::map<std::string, server_entry> result;
  for (const auto& group : settings.groups) {
    for (const auto& each : group.services) {
      for (const auto& server : each.servers) {
        result[server.name] = {.server = server,
                               .group = group.name,
                               .service = each.name,
                               .limits = group.limits,
                               .policy = group.policy};
      }
    }
  }
  return result;
}

leaf::result<site_settings> CheckSettings(const json_source& merged) {
  std::vector<fault> faults;
  const settings_reader root(merged, faults);
  root.OnlyKeys({"site", "region", "failure_domains", "server_shapes",
                 "policies", "service_groups"});
  site_settings settings{.site = root.Text("site"),
                         .region = root.Text("region"),
                         .failure_domains = root.Texts("failure_domains")};
  const std::set<std::string> distinct(settings.failure_domains.begin(),
                                       settings.failure_domains.end());
  if (distinct.size() != settings.failure_domains.size()) {
    root.Fault("failure_domains", "a failure domain is listed twice");
  }
  site_reader reader(root, settings.failure_domains);
  settings.groups = reader.ReadGroups();
  if (!faults.empty()) {
    return leaf::new_error(error_code::kSettings, fault_list{faults});
  }
  return settings;
}

leaf::result<site_settings> LoadSettings(const std::string& base_path,
                                         const std::string& overlay_path) {
  BOOST_LEAF_AUTO(base, ReadJsonSource(base_path));
  BOOST_LEAF_AUTO(overlay, ReadJsonSource(overlay_path));
  return CheckSettings(MergeJsonSources(std::move(base), overlay));
}

std::vector<fault> FindSharedServers(const std::vector<site_settings>& halves,
                                     const std::vector<json_source>& sources) {
  std::map<std::string, std::string> owner_of;
  std::vector<fault> faults;
  for (std::size_t i = 0; i < halves.size(); ++i) {
    for (const auto& [name, entry] : IndexServers(halves[i])) {
      const std::string where = Format(entry.server.where);
      const auto [found, fresh] = owner_of.emplace(where, halves[i].site);
      if (fresh) continue;
      const std::string pointer = "/service_groups/" + entry.group +
                                  "/services/" + entry.service + "/" + name;
      const source_position at = FindPosition(sources[i], pointer);
      faults.push_back({at.file, at.line, pointer.substr(1),
                        "backend server " + where + " is also named by half " +
                            found->second + "; remove it from one"});
    }
  }
  return faults;
}

}  // namespace basilhoist
