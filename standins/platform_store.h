// Stand-in for the platform's object API: the objects, without HTTP.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilhoist/document/store_client.h"

namespace basilhoist::standin {

/// Objects with revisions and conditional updates, and saved copies of all.
class platform_store {
 public:
  /// @return the object, or revision 0
  [[nodiscard]] stored_object Get(const std::string& key) const;

  /// @return kOk with the new revision, or kConflict
  store_reply Put(const std::string& key, std::uint64_t if_revision,
                  const std::string& content);

  /// @return kOk, kMissing or kConflict
  store_reply Remove(const std::string& key, std::uint64_t if_revision);

  /// @return objects under a prefix that changed after a revision
  [[nodiscard]] std::vector<stored_object> ChangedSince(
      const std::string& prefix, std::uint64_t after) const;

  /// Keeps a copy of all objects, or brings one back, revisions included.
  void Save() { saved_ = objects_; }
  void Restore() { objects_ = saved_; }

  [[nodiscard]] std::uint64_t Revision() const { return revision_; }
  [[nodiscard]] std::size_t Count(const std::string& prefix) const;

 private:
  std::map<std::string, stored_object> objects_;
  std::map<std::string, stored_object> saved_;
  std::uint64_t revision_ = 0;
};

}  // namespace basilhoist::standin
