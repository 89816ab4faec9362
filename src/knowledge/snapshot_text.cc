#include "basilhoist/knowledge/snapshot_text.h"

namespace basilhoist {
namespace {

using nlohmann::json;

object ReadObject(const json& value) {
  return {.name = value.at("name"),
          .revision = value.at("revision"),
          .content = value.at("content")};
}

object_snapshot Read(const json& value, const object_snapshot& base) {
  object_snapshot made{.revision = value.at("revision")};
  for (const json& each : value.at("objects")) {
    object changed = ReadObject(each);
    std::string name = changed.name;
    made.objects.emplace(std::move(name), std::move(changed));
  }
  for (const json& each : value.at("unchanged")) {
    const auto name = each.get<std::string>();
    made.objects.emplace(name, base.objects.at(name));
  }
  return made;
}

}  // namespace

std::string FormatSnapshot(const object_snapshot& snapshot,
                           std::uint64_t since) {
  json objects = json::array();
  json unchanged = json::array();
  for (const auto& [name, each] : snapshot.objects) {
    // An object without a revision may have changed at any time.
    if (each.revision != 0 && each.revision <= since) {
      unchanged.push_back(name);
      continue;
    }
    objects.push_back({{"name", name},
                       {"revision", each.revision},
                       {"content", each.content}});
  }
  return json{{"revision", snapshot.revision},
              {"objects", std::move(objects)},
              {"unchanged", std::move(unchanged)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<object_snapshot> ParseSnapshot(std::string_view text,
                                             const object_snapshot& base) {
  try {
    return Read(json::parse(text), base);
  } catch (const json::exception&) {
    return std::nullopt;  // The caller logs that it was not readable.
  } catch (const std::out_of_range&) {
    return std::nullopt;  // Another fetch has changed the base.
  }
}

}  // namespace basilhoist
