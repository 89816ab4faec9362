// The platform's store of objects: lists, watches and conditional writes.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "basilhoist/http/http_client.h"
#include "basilhoist/store/object.h"

namespace basilhoist {

/// How a call to the store ended.
enum class call_outcome : std::uint8_t {
  kOk,
  kMissing,      ///< No such object.
  kConflict,     ///< The object exists, or has another revision.
  kHistoryGone,  ///< The revision to watch from is no longer known.
  kNotDone,      ///< The store did nothing, or nothing was sent.
  kUnknown,      ///< A write may have taken effect, now or later.
};

/// @return one short name for logs
std::string_view Name(call_outcome value);

/// How an object_store is set up.
struct object_store_options {
  std::string address;  ///< "IP:port".
  std::shared_ptr<const object_dialect> dialect;
  /// For a call that is answered at once. The store answers in milliseconds,
  /// and in some hundred while it is slow.
  milliseconds call_timeout{1500};
  /// How long a watch may wait for a change. Each call has its price;
  /// platforms end a watch after half a minute.
  milliseconds watch_wait{25000};
  std::string local_address;  ///< IP number to call from; empty: any.
};

/// Calls the store. Never repeats a call by itself.
class object_store {
 public:
  template <typename Value>
  using answer = std::function<void(call_outcome, const Value&)>;

  object_store(http_client& http, object_store_options options);

  /// Reads one page of a kind.
  std::uint64_t List(const std::string& kind, const page_request& page,
                     answer<object_page> done);

  /// Waits for changes of a kind.
  std::uint64_t Watch(const std::string& kind, std::uint64_t revision,
                      answer<object_events> done);

  /// Reads one object.
  void Get(const std::string& kind, const std::string& name,
           answer<object> done);

  /// Creates an object; kConflict if it exists.
  void Create(const std::string& kind, const object& value,
              answer<object> done);

  /// Replaces an object; its revision, unless 0, is the condition.
  void Replace(const std::string& kind, const object& value,
               answer<object> done);

  /// Creates an object if its revision is 0, else replaces that revision.
  void Put(const std::string& kind, const object& value, answer<object> done);

  /// Removes an object; its revision, unless 0, is the condition.
  void Remove(const std::string& kind, const std::string& name,
              std::uint64_t revision, answer<object> done);

  /// Drops a call; it may still take effect.
  void Abandon(std::uint64_t call) { http_.Abandon(call); }

  /// @return calls made so far
  [[nodiscard]] std::uint64_t Calls() const { return calls_; }

 private:
  template <typename Value>
  std::uint64_t Call(
      http_call call,
      std::optional<Value> (object_dialect::*decode)(std::string_view) const,
      answer<Value> done);

  http_client& http_;
  object_store_options options_;
  std::uint64_t calls_ = 0;
};

}  // namespace basilhoist
