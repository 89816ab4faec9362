// The workspaces of one version of the configuration.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/workspace/api_key.h"
#include "basilhoist/workspace/workspace.h"

namespace basilhoist {

/// An immutable set of workspaces, found by API key or by name.
class workspace_directory {
 public:
  /// @param workspaces must have no fault (see FindFault)
  explicit workspace_directory(std::vector<workspace> workspaces);

  /// Checks what the lookups rely on: each workspace has a name, no two have
  /// the same one, and no key is empty or belongs to two of them.
  /// @return the first fault with the field that has it, without any key;
  ///   nothing if there is none
  static std::optional<std::string> FindFault(
      const std::vector<workspace>& workspaces);

  /// @return the workspace that holds the key, or null if none does
  [[nodiscard]] const workspace* FindByKey(std::string_view key) const;
  /// @return the workspace that holds the key with this digest, or null if none
  ///   does; only for digests of keys that FindByKey has found before
  [[nodiscard]] const workspace* FindByDigest(
      const api_key_digest& digest) const;
  /// @return the workspace of that name, or null if there is none
  [[nodiscard]] const workspace* FindByName(const std::string& name) const;
  [[nodiscard]] const std::vector<workspace>& Workspaces() const {
    return workspaces_;
  }

  bool operator==(const workspace_directory& other) const {
    return workspaces_ == other.workspaces_;
  }

 private:
  struct key_holder {
    const workspace* holder = nullptr;
    const std::string* key = nullptr;
  };

  std::vector<workspace> workspaces_;
  std::map<api_key_digest, key_holder> by_digest_;
  std::map<std::string, const workspace*> by_name_;
};

using workspace_directory_ptr = std::shared_ptr<const workspace_directory>;

}  // namespace basilhoist
