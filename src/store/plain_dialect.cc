#include "basilhoist/store/plain_dialect.h"

#include "basilhoist/http/url_escape.h"

namespace basilhoist {
namespace {

using nlohmann::json;

constexpr const char* kObjectsPath = "/v1/objects/";
constexpr const char* kWatchPath = "/v1/watch/";

class plain_dialect : public object_dialect {
 public:
  std::string ListTarget(std::string_view kind,
                         const page_request& page) const override {
    std::string target = KindTarget(kind);
    if (!page.after.empty()) target += "?after=" + EscapeForUrl(page.after);
    return target;
  }

  std::string WatchTarget(std::string_view kind, std::uint64_t revision,
                          milliseconds wait) const override {
    return kWatchPath + std::string(kind) +
           "?after=" + std::to_string(revision) +
           "&wait_ms=" + std::to_string(wait.count());
  }

  std::string ObjectTarget(std::string_view kind,
                           std::string_view name) const override {
    return KindTarget(kind) + "/" + EscapeForUrl(name);
  }

  std::string KindTarget(std::string_view kind) const override {
    return kObjectsPath + std::string(kind);
  }

  std::string RemoveTarget(std::string_view kind, std::string_view name,
                           std::uint64_t revision) const override {
    return ObjectTarget(kind, name) + "?revision=" + std::to_string(revision);
  }

  std::string EncodeObject(const object& value) const override {
    return EncodePlainObject(value).dump();
  }

  std::optional<object_page> DecodePage(std::string_view body) const override {
    return ReadStoreBody<object_page>(body, [](const json& value) {
      object_page page{.has_more = value.value("has_more", false),
                       .revision = value.at("revision")};
      for (const json& encoded : value.at("objects")) {
        page.objects.push_back(DecodePlainObject(encoded));
      }
      return page;
    });
  }

  std::optional<object_events> DecodeEvents(
      std::string_view body) const override {
    return ReadStoreBody<object_events>(body, [](const json& value) {
      object_events events{.revision = value.at("revision")};
      for (const json& each : value.at("events")) {
        events.events.push_back(
            {.changed = DecodePlainObject(each.at("object")),
             .deleted = each.value("deleted", false)});
      }
      return events;
    });
  }

  std::optional<object> DecodeObject(std::string_view body) const override {
    return ReadStoreBody<object>(body, DecodePlainObject);
  }
};

}  // namespace

std::shared_ptr<const object_dialect> MakePlainDialect() {
  return std::make_shared<plain_dialect>();
}

json EncodePlainObject(const object& value) {
  return {{"name", value.name},
          {"revision", value.revision},
          {"content", value.content.Json()}};
}

json EncodePlainPage(const object_page& value) {
  json objects = json::array();
  for (const object& each : value.objects)
    objects.push_back(EncodePlainObject(each));
  return {{"objects", std::move(objects)},
          {"has_more", value.has_more},
          {"revision", value.revision}};
}

json EncodePlainEvents(const object_events& value) {
  json events = json::array();
  for (const object_event& each : value.events) {
    events.push_back({{"object", EncodePlainObject(each.changed)},
                      {"deleted", each.deleted}});
  }
  return {{"events", std::move(events)}, {"revision", value.revision}};
}

object DecodePlainObject(const json& value) {
  return {.name = value.at("name"),
          .revision = value.value("revision", std::uint64_t{0}),
          .content = value.value("content", json())};
}

}  // namespace basilhoist
