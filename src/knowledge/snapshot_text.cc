#include "basilhoist/knowledge/snapshot_text.h"

#include <algorithm>

namespace basilhoist {
namespace {

using nlohmann::json;

json Write(const object& value) {
  return {{"name", value.name},
          {"revision", value.revision},
          {"content", value.content}};
}

object ReadObject(const json& value) {
  return {.name = value.at("name"),
          .revision = value.at("revision"),
          .content = value.at("content")};
}

std::optional<peer_snapshot> Read(const json& value,
                                  const object_snapshot& base, instant now) {
  peer_snapshot made;
  const std::uint64_t since = value.at("since");
  if (since > 0) {
    if (base.revision < since) return std::nullopt;
    made.snapshot = base;
  }
  made.snapshot.revision = value.at("revision");
  for (const json& each : value.at("removed")) {
    object last = ReadObject(each);
    const auto age =
        std::max(each.at("gone_us").get<std::int64_t>(), std::int64_t{0});
    made.snapshot.objects.erase(last.name);
    made.removed.push_back({.last = std::move(last),
                            .revision = made.snapshot.revision,
                            .earliest_removal = now - microseconds(age)});
  }
  for (const json& each : value.at("objects")) {
    object changed = ReadObject(each);
    std::string name = changed.name;
    made.snapshot.objects.insert_or_assign(std::move(name), std::move(changed));
  }
  return made;
}

}  // namespace

std::string FormatSnapshot(const feed_state& held, std::uint64_t since,
                           instant now) {
  const object_snapshot& snapshot = held.Snapshot();
  if (!held.Removals().CoversSince(since)) since = 0;
  json objects = json::array();
  json removed = json::array();
  for (const auto& [name, each] : snapshot.objects) {
    // An object without a revision may have changed at any time.
    if (each.revision != 0 && each.revision <= since) continue;
    objects.push_back(Write(each));
  }
  if (since > 0) {
    for (const removed_object& each : held.Removals().Since(since)) {
      json gone = Write(each.last);
      gone["gone_us"] = (now - each.earliest_removal).count();
      removed.push_back(std::move(gone));
    }
  }
  return json{{"revision", snapshot.revision},
              {"since", since},
              {"objects", std::move(objects)},
              {"removed", std::move(removed)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<peer_snapshot> ParseSnapshot(std::string_view text,
                                           const object_snapshot& base,
                                           instant now) {
  try {
    return Read(json::parse(text), base, now);
  } catch (const json::exception&) {
    return std::nullopt;  // The caller logs that it was not readable.
  }
}

}  // namespace basilhoist
