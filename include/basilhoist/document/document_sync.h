// Brings documents from the store into the table.
#pragma once

#include <functional>
#include <string>

#include "basilhoist/document/document_table.h"
#include "basilhoist/document/store_client.h"

namespace basilhoist {

/// Watches the store while it is this instance's turn to.
class document_sync {
 public:
  /// @param site prefix of the site's keys
  /// @param is_watcher asked before each watch
  document_sync(event_loop& loop, store_client& store,
                document_table& documents, std::string site,
                std::function<bool()> is_watcher);

  void Start();

  /// @return whether the last call to the store went well
  [[nodiscard]] bool StoreUp() const { return store_up_; }

 private:
  void Watch();
  void OnWatch(const store_reply& reply);

  event_loop& loop_;
  store_client& store_;
  document_table& documents_;
  std::string site_;
  std::function<bool()> is_watcher_;
  std::uint64_t after_ = 0;
  bool store_up_ = false;
};

}  // namespace basilhoist
