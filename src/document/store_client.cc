#include "basilhoist/document/store_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace basilhoist {
namespace {

using nlohmann::json;

constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kWatchTimeout{15000};
constexpr int kWatchWaitMs = 10000;

store_outcome OutcomeOf(http_result& result) {
  if (!result.Answered()) {
    return result.Sent() ? store_outcome::kUnknown
                         : store_outcome::kUnavailable;
  }
  switch (result.Status()) {
    case 200:
      return store_outcome::kOk;
    case 404:
      return store_outcome::kMissing;
    case 409:
      return store_outcome::kConflict;
    case 503:
      return store_outcome::kUnavailable;
    default:
      return store_outcome::kUnknown;
  }
}

store_reply ReadReply(http_result& result) {
  store_reply reply{.outcome = OutcomeOf(result)};
  if (reply.outcome != store_outcome::kOk) return reply;
  const json value = json::parse(result.Body(), nullptr, false);
  if (!value.is_object()) {
    reply.outcome = store_outcome::kUnknown;
    return reply;
  }
  reply.revision = value.value("revision", std::uint64_t{0});
  for (const auto& each : value.value("objects", json::array())) {
    reply.objects.push_back(
        {.key = each.value("key", ""),
         .revision = each.value("revision", std::uint64_t{0}),
         .content = each.value("content", "")});
  }
  return reply;
}

}  // namespace

store_client::store_client(http_client& http, std::string address,
                           std::string local_address)
    : http_(http),
      base_url_("http://" + std::move(address)),
      local_address_(std::move(local_address)) {}

void store_client::Call(const std::string& method, const std::string& path,
                        const std::string& body, milliseconds timeout,
                        callback done) {
  ++calls_;
  http_.Start({.method = method,
               .url = base_url_ + path,
               .body = body,
               .timeout = timeout,
               .local_address = local_address_},
              [done = std::move(done)](http_result& result) {
                done(ReadReply(result));
              });
}

void store_client::Get(const std::string& key, callback done) {
  Call("GET", "/v1/objects/" + key, "", kCallTimeout, std::move(done));
}

void store_client::Put(const std::string& key, std::uint64_t if_revision,
                       const std::string& content, callback done) {
  Call("PUT",
       "/v1/objects/" + key + "?if_revision=" + std::to_string(if_revision),
       content, kCallTimeout, std::move(done));
}

void store_client::Remove(const std::string& key, std::uint64_t if_revision,
                          callback done) {
  Call("DELETE",
       "/v1/objects/" + key + "?if_revision=" + std::to_string(if_revision), "",
       kCallTimeout, std::move(done));
}

void store_client::Watch(const std::string& prefix, std::uint64_t after,
                         callback done) {
  Call("GET",
       "/v1/watch?prefix=" + prefix + "&after=" + std::to_string(after) +
           "&wait_ms=" + std::to_string(kWatchWaitMs),
       "", kWatchTimeout, std::move(done));
}

void store_client::ListInstances(list_callback done) {
  ++calls_;
  http_.Start(
      {.url = base_url_ + "/v1/instances",
       .timeout = kCallTimeout,
       .local_address = local_address_},
      [done = std::move(done)](http_result& result) {
        instance_list list;
        const json value = result.Answered() && result.Status() == 200
                               ? json::parse(result.Body(), nullptr, false)
                               : json();
        list.known = value.is_object();
        if (!list.known) return done(list);
        for (const auto& each : value.value("instances", json::array())) {
          list.instances.push_back(
              {.name = each.value("name", ""),
               .link_address = each.value("link", ""),
               .leaving = each.value("state", "") == "leaving"});
        }
        done(list);
      });
}

}  // namespace basilhoist
