// Stand-in for the platform's object API: the objects, without HTTP.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilhoist/store/object_store.h"

namespace basilhoist::standin {

/// How a write ended.
struct write_result {
  call_outcome outcome = call_outcome::kOk;
  object value;
};

/// Objects with revisions and conditional updates, and saved copies of all.
class platform_store {
 public:
  /// @return the object, or revision 0
  [[nodiscard]] object Get(const std::string& kind,
                           const std::string& name) const;

  /// Writes an object that has the revision given; 0: that does not exist.
  /// @return kOk, or kConflict; and the object as it is then
  write_result Put(const std::string& kind, const object& value);

  /// @return kOk, kMissing or kConflict; and the object as it was
  write_result Remove(const std::string& kind, const std::string& name,
                      std::uint64_t revision);

  /// @return objects of a kind that changed after a revision
  [[nodiscard]] std::vector<object> ChangedSince(const std::string& kind,
                                                 std::uint64_t after) const;

  /// Keeps a copy of all objects, or brings one back, revisions included.
  void Save() { saved_ = kinds_; }
  void Restore() { kinds_ = saved_; }

  [[nodiscard]] std::uint64_t Revision() const { return revision_; }

 private:
  using objects_by_name = std::map<std::string, object>;

  std::map<std::string, objects_by_name> kinds_;
  std::map<std::string, objects_by_name> saved_;
  std::uint64_t revision_ = 0;
};

}  // namespace basilhoist::standin
