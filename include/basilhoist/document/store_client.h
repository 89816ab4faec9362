// The platform's object API: conditional updates and watches.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "basilhoist/http/http_client.h"

namespace basilhoist {

/// How a call to the store ended.
enum class store_outcome : std::uint8_t {
  kOk,
  kMissing,      ///< No such object.
  kConflict,     ///< The object has another revision than expected.
  kUnavailable,  ///< Nothing was sent, or the store said it did nothing.
  kUnknown,      ///< The call may have taken effect.
};

/// An object as the store holds it.
struct stored_object {
  std::string key;
  std::uint64_t revision = 0;  ///< Rises with each write; 0: no object.
  std::string content;
};

/// The answer to one call.
struct store_reply {
  store_outcome outcome = store_outcome::kUnavailable;
  std::uint64_t revision = 0;          ///< Of the object, or of the watch.
  std::vector<stored_object> objects;  ///< One for Get; changes for Watch.
};

/// One instance that the platform knows of.
struct platform_instance {
  std::string name;
  std::string link_address;
  bool leaving = false;
};

/// The platform's lagging list of instances.
struct instance_list {
  bool known = false;
  std::vector<platform_instance> instances;
};

/// Calls the platform's store. Never repeats a call by itself.
class store_client {
 public:
  using callback = std::function<void(const store_reply&)>;
  using list_callback = std::function<void(const instance_list&)>;

  /// @param http carries the calls
  /// @param address "IP:port" of the store
  /// @param local_address IP number to call from
  store_client(http_client& http, std::string address,
               std::string local_address);

  void Get(const std::string& key, callback done);

  /// Writes if the object still has this revision; 0 creates.
  void Put(const std::string& key, std::uint64_t if_revision,
           const std::string& content, callback done);

  /// Removes if the object still has this revision.
  void Remove(const std::string& key, std::uint64_t if_revision, callback done);

  /// Waits for changes of objects whose key starts with a prefix.
  /// @param after the revision of the last watch; 0 gives all objects at once
  void Watch(const std::string& prefix, std::uint64_t after, callback done);

  void ListInstances(list_callback done);

  /// @return calls made so far
  [[nodiscard]] std::uint64_t Calls() const { return calls_; }

 private:
  void Call(const std::string& method, const std::string& path,
            const std::string& body, milliseconds timeout, callback done);

  http_client& http_;
  std::string base_url_;
  std::string local_address_;
  std::uint64_t calls_ = 0;
};

}  // namespace basilhoist
