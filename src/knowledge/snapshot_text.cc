#include "basilhoist/knowledge/snapshot_text.h"

#include <algorithm>

namespace basilhoist {
namespace {

using nlohmann::json;

json EncodeObject(const object& value) {
  return {{"name", value.name},
          {"revision", value.revision},
          {"content", value.content.Json()}};
}

object DecodeObject(const json& value) {
  return {.name = value.at("name"),
          .revision = value.at("revision"),
          .content = value.at("content")};
}

std::optional<peer_snapshot> Decode(const json& value,
                                    const object_snapshot& base, instant now) {
  peer_snapshot result;
  const std::uint64_t since = value.at("since");
  if (since > 0) {
    if (base.revision < since) return std::nullopt;
    result.snapshot = base;
    result.changed.emplace();
  }
  result.snapshot.revision = value.at("revision");
  // Instances of older builds state no era.
  result.snapshot.era = value.value("era", base.era);
  for (const json& each : value.value("ended", json::array())) {
    result.ended.push_back(DecodeObject(each));
  }
  result.kept = value.value("kept", std::set<std::string>());
  result.beliefs_left =
      milliseconds(value.value("beliefs_left_ms", std::int64_t{0}));
  for (const json& each : value.at("removed")) {
    object last = DecodeObject(each);
    const auto age =
        std::max(each.at("gone_us").get<std::int64_t>(), std::int64_t{0});
    result.snapshot.objects.erase(last.name);
    result.removed.push_back({.last = std::move(last),
                              .revision = result.snapshot.revision,
                              .earliest_removal = now - microseconds(age)});
  }
  for (const json& each : value.at("objects")) {
    object changed = DecodeObject(each);
    std::string name = changed.name;
    if (result.changed) result.changed->insert(name);
    result.snapshot.objects.insert_or_assign(std::move(name),
                                             std::move(changed));
  }
  return result;
}

}  // namespace

std::string FormatSnapshot(const feed_state& state, std::uint64_t since,
                           instant now, std::optional<std::uint64_t> era) {
  const object_snapshot& snapshot = state.Snapshot();
  const bool same_era = era.value_or(snapshot.era) == snapshot.era;
  // What is believed since the store came back is not in the revisions.
  if (!same_era || state.Beliefs().Active() ||
      !state.Removals().CoversSince(since)) {
    since = 0;
  }
  json objects = json::array();
  json removed = json::array();
  for (const auto& [name, each] : snapshot.objects) {
    // An object without a revision may have changed at any time and is always
    // sent.
    if (each.revision != 0 && each.revision <= since) continue;
    objects.push_back(EncodeObject(each));
  }
  if (since > 0) {
    for (const removed_object& each : state.Removals().Since(since)) {
      json removal = EncodeObject(each.last);
      removal["gone_us"] = (now - each.earliest_removal).count();
      removed.push_back(std::move(removal));
    }
  }
  json ended = json::array();
  for (const auto& [name, each] : state.Beliefs().Ended()) {
    ended.push_back(EncodeObject(each));
  }
  return json{{"revision", snapshot.revision},
              {"era", snapshot.era},
              {"ended", std::move(ended)},
              {"kept", state.Beliefs().Kept()},
              {"beliefs_left_ms", state.Beliefs().TimeLeft(now).count()},
              {"since", since},
              {"objects", std::move(objects)},
              {"removed", std::move(removed)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<peer_snapshot> ParseSnapshot(std::string_view text,
                                           const object_snapshot& base,
                                           instant now) {
  try {
    return Decode(json::parse(text), base, now);
  } catch (const json::exception&) {
    return std::nullopt;  // The caller logs the malformed text.
  }
}

}  // namespace basilhoist
