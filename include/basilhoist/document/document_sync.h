// Brings documents from the store into the table.
#pragma once

#include <functional>
#include <string>

#include "basilhoist/document/document_table.h"
#include "basilhoist/store/object_store.h"

namespace basilhoist {

/// Watches the store while it is this instance's turn to.
class document_sync {
 public:
  /// @param site whose documents to watch
  /// @param is_watcher asked before each watch
  document_sync(event_loop& loop, object_store& store,
                document_table& documents, const std::string& site,
                std::function<bool()> is_watcher);

  void Start();

  /// @return whether the last call to the store went well
  [[nodiscard]] bool StoreUp() const { return store_up_; }

 private:
  void Continue();
  void List(const std::string& after);
  void Watch();
  [[nodiscard]] bool Check(call_outcome outcome);
  void Take(const object& stored);

  event_loop& loop_;
  object_store& store_;
  document_table& documents_;
  std::string kind_;
  std::function<bool()> is_watcher_;
  std::uint64_t revision_ = 0;  // of the store; 0: to be listed
  bool store_up_ = false;
};

}  // namespace basilhoist
