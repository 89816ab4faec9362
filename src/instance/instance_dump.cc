#include "basilhoist/instance/instance_dump.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace basilhoist {
namespace {

using nlohmann::json;

json StatusJson(const dump_sources& from) {
  const ownership& owners = from.members.Owners();
  json documents = json::object();
  for (const auto& each : from.documents.Versions()) {
    documents[each.name] = each.version;
  }
  json members = json::array();
  for (const auto& each : owners.View().members) {
    members.push_back({{"name", each.name},
                       {"failure_domain", each.failure_domain},
                       {"ops", Format(each.ops)}});
  }
  return {{"name", from.self.name},
          {"failure_domain", from.self.failure_domain},
          {"incarnation", from.self.incarnation},
          {"ready", from.ready},
          {"stopping", from.stopping},
          {"store_up", from.store_up},
          {"lease_valid", owners.LeaseValid(Now())},
          {"epoch", owners.View().epoch},
          {"members", members},
          {"out", owners.Out()},
          {"documents", documents}};
}

json EntryJson(const entry_task& entry) {
  const entry_counters& counts = entry.Counters();
  json groups = json::array();
  for (const auto& each : entry.Groups()) {
    groups.push_back(
        {{"name", each.name},
         {"second_attempt_delay_ms", ToMilliseconds(each.second_attempt_delay)},
         {"in_flight", each.in_flight},
         {"admission_limit", each.admission_limit}});
  }
  return {{"groups", groups},
          {"in_flight", entry.InFlight()},
          {"requests", counts.requests},
          {"full_answers", counts.full_answers},
          {"partial_answers", counts.partial_answers},
          {"not_run", counts.not_run},
          {"may_have_run", counts.may_have_run},
          {"first_attempts", counts.first_attempts},
          {"extra_attempts", counts.extra_attempts},
          {"late_replies", counts.late_replies}};
}

json OwnerJson(const owner_task& owner) {
  const owner_counters& counts = owner.Counters();
  json servers = json::array();
  for (const auto& each : owner.States()) {
    if (!each.permitted) continue;
    servers.push_back({{"name", each.name},
                       {"in_flight", each.load.in_flight},
                       {"queued", each.load.queued},
                       {"window", each.load.window},
                       {"barred", each.barred}});
  }
  return {{"sent", counts.sent},       {"answered", counts.answered},
          {"refused", counts.refused}, {"shed", counts.shed},
          {"failed", counts.failed},   {"cancelled", counts.cancelled},
          {"servers", servers}};
}

json InstancesJson(const member_task& members) {
  json result = json::array();
  const instant now = Now();
  for (const auto& [name, known] : members.Known()) {
    result.push_back({{"name", name},
                      {"incarnation", known.who.incarnation},
                      {"heard_ms_ago", ToMilliseconds(now - known.heard_at)},
                      {"ready", known.ready},
                      {"retired", known.retired}});
  }
  return result;
}

}  // namespace

std::string FormatStatus(const dump_sources& from) {
  return StatusJson(from).dump();
}

std::string FormatDump(const dump_sources& from) {
  json dump = StatusJson(from);
  const once_counters& once = from.once.Counters();
  dump["entry"] = EntryJson(from.entry);
  dump["owner"] = OwnerJson(from.owner);
  dump["once"] = {{"claimed", once.claimed},
                  {"repeated", once.repeated},
                  {"not_claimed", once.not_claimed},
                  {"recorded", once.recorded}};
  dump["instances"] = InstancesJson(from.members);
  dump["control_bytes"] = from.members.ControlBytes();
  dump["store_calls"] = from.store_calls;
  return dump.dump();
}

std::string FormatMetrics(const dump_sources& from) {
  prometheus::Registry registry;
  const auto add = [&](const std::string& name, const std::string& help,
                       double value) {
    prometheus::BuildGauge()
        .Name("basilhoist_" + name)
        .Help(help)
        .Register(registry)
        .Add({})
        .Set(value);
  };
  const entry_counters& entry = from.entry.Counters();
  const owner_counters& owner = from.owner.Counters();
  const once_counters& once = from.once.Counters();
  const auto count = [](std::uint64_t n) { return static_cast<double>(n); };
  add("ready", "1 while callers are served", from.ready ? 1 : 0);
  add("epoch", "Epoch of the member view",
      count(from.members.Owners().View().epoch));
  add("requests_total", "Requests of callers", count(entry.requests));
  add("full_answers_total", "Answers that lack no shard",
      count(entry.full_answers));
  add("partial_answers_total", "Answers that lack shards",
      count(entry.partial_answers));
  add("not_run_total", "Requests refused without running",
      count(entry.not_run));
  add("may_have_run_total", "Requests whose outcome is not known",
      count(entry.may_have_run));
  add("first_attempts_total", "First sub-requests",
      count(entry.first_attempts));
  add("extra_attempts_total", "Second attempts and retries",
      count(entry.extra_attempts));
  add("late_replies_total", "Replies nobody waited for",
      count(entry.late_replies));
  add("in_flight", "Requests being worked on",
      static_cast<double>(from.entry.InFlight()));
  add("sent_total", "Sub-requests sent to backend servers", count(owner.sent));
  add("refused_total", "Sub-requests refused by the owner",
      count(owner.refused));
  add("shed_total", "Sub-requests shed by backend servers", count(owner.shed));
  add("failed_total", "Sub-requests that failed at backend servers",
      count(owner.failed));
  add("claims_total", "Claims on requests not to be repeated",
      count(once.claimed));
  add("repeats_total", "Arrivals that found a claim", count(once.repeated));
  add("store_calls_total", "Calls to the platform's store",
      count(from.store_calls));
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace basilhoist
