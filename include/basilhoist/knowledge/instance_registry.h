// Registrations of instances in the store, by which they find each other.
#pragma once

#include <functional>
#include <string>

#include "basilhoist/base/endpoint.h"
#include "basilhoist/loop/event_loop.h"
#include "basilhoist/store/object_store.h"

namespace basilhoist {

/// Writes the registration of this instance, and reads those of others.
class instance_registry {
 public:
  /// Delay before a failed call is retried.
  static constexpr milliseconds kRetryDelay{1500};

  struct options {
    std::string kind;  ///< Kind of the stored objects.
    std::string name;  ///< Name of this instance.
    endpoint address;  ///< Address at which peers reach this instance.
  };

  struct handlers {
    /// Called with the address of each other instance that is registered.
    std::function<void(const endpoint&)> on_address;
    /// Called after the addresses of each page.
    std::function<void()> on_page;
  };

  instance_registry(event_loop& loop, object_store& store, options the_options,
                    handlers callbacks);

  /// Registers this instance, replacing an earlier registration, and then lists
  /// the others.
  void Register() { Write(write_method::kCreate); }

  /// Registers this instance again, unless the store has its registration.
  void Restore();

  /// Lists the registered instances, page by page.
  /// @param may_be_stale accepts stale pages; a failed call is not retried then
  void List(bool may_be_stale) { ListPage({}, may_be_stale); }

 private:
  enum class write_method : std::uint8_t { kCreate, kReplace };

  [[nodiscard]] object OwnRegistration() const;
  void Write(write_method method);
  void ListPage(const std::string& after, bool may_be_stale);
  void ProcessPage(const object_page& page) const;

  event_loop& loop_;
  object_store& store_;
  options options_;
  handlers callbacks_;
};

}  // namespace basilhoist
