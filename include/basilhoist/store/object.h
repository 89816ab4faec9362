// Objects in the platform's store, and the interface that encodes store calls.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/store/json_repair.h"
#include "basilhoist/store/object_content.h"

namespace basilhoist {

/// A point in the history of the store. When the store comes back from an older
/// copy, its era rises, its revisions go back and are assigned again.
struct store_position {
  std::uint64_t era = 0;  ///< 0 if the store does not state it.
  std::uint64_t revision = 0;

  auto operator<=>(const store_position&) const = default;
};

/// @return the value of a string field; empty if the content is not a JSON
///   object, lacks the field or has another type there. Other writers use the
///   store too, so its contents are not trusted.
std::string TextField(const object_content& content, const char* key);

/// One stored object. Its kind is known from the call that read it.
struct object {
  std::string name;
  /// Store revision of the last change to the object; 0 if not known.
  std::uint64_t revision = 0;
  object_content content;

  bool operator==(const object&) const = default;

  /// @return the content if it is a JSON string, else an empty string
  [[nodiscard]] std::string Text() const {
    const nlohmann::json& value = content.Json();
    return value.is_string() ? value.get<std::string>() : std::string();
  }
};

/// Selects one page of a listing.
struct page_request {
  /// The page starts after this name; empty for the first page.
  std::string after;
  /// Accepts a page that is some seconds old, which costs the store less.
  bool may_be_stale = false;
};

/// One page of a listing.
struct object_page {
  std::vector<object> objects;
  bool has_more = false;
  /// Revision of the store when it answered the call.
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
};

/// One change reported by a watch.
struct object_event {
  object changed;
  bool deleted = false;
};

/// The result of a watch; it has no events if the wait time ran out.
struct object_events {
  std::vector<object_event> events;
  /// The revision from which the next watch continues.
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
};

/// All objects of one kind at one store revision.
struct object_snapshot {
  std::uint64_t revision = 0;
  std::map<std::string, object> objects;
  std::uint64_t era = 0;

  [[nodiscard]] store_position Position() const {
    return {.era = era, .revision = revision};
  }

  /// @return a hash of all names and contents
  [[nodiscard]] std::uint64_t Digest() const;

  bool operator==(const object_snapshot&) const = default;
};

/// Encodes calls to a store and decodes its answers. Each platform provides an
/// implementation.
class object_dialect {
 public:
  virtual ~object_dialect() = default;

  [[nodiscard]] virtual std::string ListTarget(
      std::string_view kind, const page_request& page) const = 0;
  [[nodiscard]] virtual std::string WatchTarget(std::string_view kind,
                                                std::uint64_t revision,
                                                milliseconds wait) const = 0;
  [[nodiscard]] virtual std::string ObjectTarget(
      std::string_view kind, std::string_view name) const = 0;
  [[nodiscard]] virtual std::string KindTarget(std::string_view kind) const = 0;

  /// @param revision the removal is conditional on this revision; 0 removes the
  ///   object unconditionally
  [[nodiscard]] virtual std::string RemoveTarget(
      std::string_view kind, std::string_view name,
      std::uint64_t revision) const = 0;

  /// @return the request body that writes an object; the write is
  ///   conditional on the object's revision unless that is 0
  [[nodiscard]] virtual std::string EncodeObject(const object& value) const = 0;

  /// @return the target of a write of an object's status
  [[nodiscard]] virtual std::string StatusTarget(std::string_view kind,
                                                 std::string_view name) const {
    return ObjectTarget(kind, name) + "/status";
  }

  /// @return the request body that writes `value.content` as an object's
  ///   status; conditional as EncodeObject
  [[nodiscard]] virtual std::string EncodeStatus(const object& value) const {
    return EncodeObject(value);
  }

  /// @return the name of the header that states the store's era in each answer;
  ///   empty if there is none
  [[nodiscard]] virtual std::string EraHeader() const { return {}; }

  /// @return nothing if the body is not a valid answer to the call
  [[nodiscard]] virtual std::optional<object_page> DecodePage(
      std::string_view body) const = 0;
  [[nodiscard]] virtual std::optional<object_events> DecodeEvents(
      std::string_view body) const = 0;
  [[nodiscard]] virtual std::optional<object> DecodeObject(
      std::string_view body) const = 0;
};

/// Parses a body and decodes it with a function that throws if a field is
/// missing. A value that cannot be read does not make the rest unreadable; see
/// RepairJson.
/// @return nothing if the body is invalid; object_store reports the outcome of
///   such a call as unknown
template <typename Value, typename Reader>
std::optional<Value> ReadStoreBody(std::string_view body, Reader read) {
  try {
    nlohmann::json value(nlohmann::json::value_t::discarded);
    if (JsonDepth(body) <= kMaxJsonDepth) {
      value = nlohmann::json::parse(body, nullptr, false);
    }
    if (value.is_discarded()) value = nlohmann::json::parse(RepairJson(body));
    return read(value);
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace basilhoist
