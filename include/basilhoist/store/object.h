// Objects of the platform's store, and how they are spelled on its wire.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// An object's content; its parts are read where its kind is known.
using object_content = nlohmann::json;

/// @return a text field, or empty if the content is no object, or lacks the
///   field, or has another type there: anybody may have written it
std::string TextField(const object_content& content, const char* key);

/// One object of a kind.
struct object {
  std::string name;
  /// Revision of its last change; 0: unknown.
  std::uint64_t revision = 0;
  object_content content;

  bool operator==(const object&) const = default;

  /// @return the content if it is one text, else nothing
  [[nodiscard]] std::string Text() const {
    return content.is_string() ? content.get<std::string>() : std::string();
  }
};

/// Which page of a listing to read.
struct page_request {
  std::string after;          ///< Name after which it starts; empty: first.
  bool may_be_stale = false;  ///< It may be seconds old, for a lower price.
};

/// One page of a listing.
struct object_page {
  std::vector<object> objects;
  bool has_more = false;
  /// The store's revision when it answered.
  std::uint64_t revision = 0;
};

/// A change that a watch reports.
struct object_event {
  object changed;
  bool deleted = false;
};

/// What a watch reports; no events when its time was up.
struct object_events {
  std::vector<object_event> events;
  /// Where the next watch continues.
  std::uint64_t revision = 0;
};

/// All objects of one kind at one revision of the store.
struct object_snapshot {
  std::uint64_t revision = 0;
  std::map<std::string, object> objects;

  /// @return a digest of names and contents
  [[nodiscard]] std::uint64_t Digest() const;

  bool operator==(const object_snapshot&) const = default;
};

/// Spells calls to a store. A platform provides one of these.
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

  /// @param revision the condition; 0: none
  [[nodiscard]] virtual std::string RemoveTarget(
      std::string_view kind, std::string_view name,
      std::uint64_t revision) const = 0;

  /// @return the body that writes an object; its revision, unless 0, is the
  ///   condition
  [[nodiscard]] virtual std::string EncodeObject(const object& value) const = 0;

  /// @return nothing if the body is not what the call should answer
  [[nodiscard]] virtual std::optional<object_page> DecodePage(
      std::string_view body) const = 0;
  [[nodiscard]] virtual std::optional<object_events> DecodeEvents(
      std::string_view body) const = 0;
  [[nodiscard]] virtual std::optional<object> DecodeObject(
      std::string_view body) const = 0;
};

/// Reads a body by a function that throws where a part is missing.
/// @return nothing if one is; the store's client reports it as unknown
template <typename Value, typename Reader>
std::optional<Value> ReadStoreBody(std::string_view body, Reader read) {
  try {
    return read(nlohmann::json::parse(body));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace basilhoist
