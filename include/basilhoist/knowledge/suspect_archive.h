// Requests that crash servers, kept in the store for instances that restart.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "basilhoist/link/messages.h"
#include "basilhoist/loop/event_loop.h"
#include "basilhoist/store/object_store.h"

namespace basilhoist {

/// Writes and reads objects of one kind, one for each request that is refused.
class suspect_archive {
 public:
  using handler = std::function<void(const std::vector<suspect_report>&)>;

  /// Between two tries of a call that failed.
  static constexpr milliseconds kRetry{1500};

  /// @param kind of the objects
  /// @param keep_for reports older than this are neither told nor kept
  /// @param on_read called with the reports that the store holds
  suspect_archive(event_loop& loop, object_store& store, std::string kind,
                  milliseconds keep_for, handler on_read)
      : loop_(loop),
        store_(store),
        kind_(std::move(kind)),
        keep_for_(keep_for),
        on_read_(std::move(on_read)) {}

  /// Reads what other instances, or earlier runs of this one, have written.
  /// @param may_be_stale a cheap answer will do
  void Read(bool may_be_stale) { ReadPage({}, may_be_stale); }

  /// Writes a report; one of the same request is replaced.
  void Write(const suspect_report& report);

 private:
  enum class write_call : std::uint8_t { kCreate, kReplace };

  void ReadPage(const std::string& after, bool may_be_stale);
  void TakePage(const object_page& page);
  void Put(const object& value, write_call call, instant give_up);

  event_loop& loop_;
  object_store& store_;
  std::string kind_;
  milliseconds keep_for_;
  handler on_read_;
};

/// @param now_ms the time of day, in milliseconds since 1970
/// @return the report as an object's content, with the time it was blamed
object_content EncodeSuspect(const suspect_report& report, std::int64_t now_ms);

/// @return the report, or nothing if the content is malformed
std::optional<suspect_report> DecodeSuspect(const object_content& content,
                                            std::int64_t now_ms);

}  // namespace basilhoist
