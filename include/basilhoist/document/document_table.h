// Documents that all instances hold: settings, drains, index, member view.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "basilhoist/link/messages.h"

namespace basilhoist {

/// The merged settings of the site.
inline constexpr const char* kConfigDocument = "config";
/// What operators have taken out of service.
inline constexpr const char* kDrainsDocument = "drains";
/// The published index versions and their shard maps.
inline constexpr const char* kIndexDocument = "index";
/// The instances that may own backend servers.
inline constexpr const char* kViewDocument = "view";

/// Keeps the highest version of each document, from whatever source.
class document_table {
 public:
  using subscriber = std::function<void(const document&)>;

  /// Calls a function whenever a document gets a higher version.
  void Subscribe(subscriber on_change);

  /// Takes a document; one that is not newer is ignored.
  /// @return whether it was newer
  bool Offer(const document& offered);

  /// @return the document, or null
  [[nodiscard]] const document* Find(const std::string& name) const;

  /// @return the version held, or 0
  [[nodiscard]] std::uint64_t VersionOf(const std::string& name) const;

  /// @return name and version of all documents
  [[nodiscard]] std::vector<document_version> Versions() const;

  /// @return documents that are newer here than a peer says it has
  [[nodiscard]] std::vector<document> NewerThan(
      const std::vector<document_version>& theirs) const;

 private:
  std::map<std::string, document> documents_;
  std::vector<subscriber> subscribers_;
};

/// @return the kind of a site's documents in the store
std::string DocumentKind(const std::string& site);

/// Reads the version that a document's content states.
/// @return the version, or 0 if there is none
std::uint64_t ContentVersion(const std::string& content);

}  // namespace basilhoist
