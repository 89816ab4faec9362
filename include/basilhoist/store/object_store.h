// A client for the platform's object store: lists, watches and conditional
// writes.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "basilhoist/http/http_client.h"
#include "basilhoist/store/object.h"

namespace basilhoist {

/// The outcome of a call to the store.
enum class call_outcome : std::uint8_t {
  kOk,
  kMissing,      ///< The object does not exist.
  kConflict,     ///< The object exists already or has another revision.
  kHistoryGone,  ///< The store has discarded the revision to watch from.
  kNotDone,      ///< The store did not execute the call, or it was not sent.
  kUnknown,      ///< A write may have taken effect or may still do so.
};

/// @return the name of the outcome in logs
std::string_view Name(call_outcome value);

/// Options of an object_store.
struct object_store_options {
  std::string address;  ///< The store's address as "IP:port".
  std::shared_ptr<const object_dialect> dialect;
  /// Timeout of every call but a watch. The store typically answers within
  /// milliseconds, and within a few hundred milliseconds while it is slow.
  milliseconds call_timeout{1500};
  /// IP address to connect from; empty for any.
  std::string local_address;
};

/// Sends calls to the store over HTTP. It never retries a call.
class object_store {
 public:
  template <typename Value>
  using callback = std::function<void(call_outcome, const Value&)>;

  object_store(http_client& http, object_store_options options);

  /// Reads one page of a listing of all objects of a kind.
  /// @return the call's id for Abandon()
  std::uint64_t List(const std::string& kind, const page_request& page,
                     callback<object_page> done);

  /// Waits for changes to objects of a kind after a revision.
  /// @param wait time after which the store answers without a change
  /// @return the call's id for Abandon()
  std::uint64_t Watch(const std::string& kind, std::uint64_t revision,
                      milliseconds wait, callback<object_events> done);

  /// Reads one object.
  void Get(const std::string& kind, const std::string& name,
           callback<object> done);

  /// Creates an object. The outcome is kConflict if it exists.
  void Create(const std::string& kind, const object& value,
              callback<object> done);

  /// Replaces an object, on condition that the store has the revision in
  /// `value` unless that is 0.
  void Replace(const std::string& kind, const object& value,
               callback<object> done);

  /// Replaces the status of an object, on condition that the store has the
  /// revision in `value` unless that is 0.
  void ReplaceStatus(const std::string& kind, const object& value,
                     callback<object> done);

  /// Creates an object if its revision is 0, else replaces that revision of it.
  void Put(const std::string& kind, const object& value, callback<object> done);

  /// Removes an object, on condition that the store has the given revision
  /// unless that is 0.
  void Remove(const std::string& kind, const std::string& name,
              std::uint64_t revision, callback<object> done);

  /// Abandons a call: its callback is not called, but a write may still take
  /// effect.
  void Abandon(std::uint64_t call) { http_.Abandon(call); }

  /// Sets a handler that is called when an answer states a higher era than all
  /// before it, with both eras.
  void OnEraChange(std::function<void(std::uint64_t, std::uint64_t)> handler) {
    on_era_change_ = std::move(handler);
  }

  /// @return the highest era that an answer has stated; 0 if none has
  [[nodiscard]] std::uint64_t Era() const { return era_; }

  /// @return the number of calls started so far
  [[nodiscard]] std::uint64_t Calls() const { return calls_; }

 private:
  template <typename Value>
  std::uint64_t Call(
      http_call call,
      std::optional<Value> (object_dialect::*decode)(std::string_view) const,
      callback<Value> done);

  /// Reads the era of an answer.
  /// @return whether the answer is of the present era; an answer that states
  ///   none, or one that cannot be parsed, counts as such
  bool IsOfPresentEra(const http_result& result);

  http_client& http_;
  object_store_options options_;
  std::uint64_t calls_ = 0;
  std::uint64_t era_ = 0;
  std::function<void(std::uint64_t, std::uint64_t)> on_era_change_ =
      [](std::uint64_t, std::uint64_t) {};
};

}  // namespace basilhoist
