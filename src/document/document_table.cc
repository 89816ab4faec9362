#include "basilhoist/document/document_table.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace basilhoist {

void document_table::Subscribe(subscriber on_change) {
  subscribers_.push_back(std::move(on_change));
}

bool document_table::Offer(const document& offered) {
  if (offered.version <= VersionOf(offered.name)) return false;
  documents_[offered.name] = offered;
  const document kept = offered;
  for (const auto& each : subscribers_) each(kept);
  return true;
}

const document* document_table::Find(const std::string& name) const {
  const auto found = documents_.find(name);
  return found == documents_.end() ? nullptr : &found->second;
}

std::uint64_t document_table::VersionOf(const std::string& name) const {
  const document* found = Find(name);
  return found == nullptr ? 0 : found->version;
}

std::vector<document_version> document_table::Versions() const {
  std::vector<document_version> result;
  for (const auto& [name, held] : documents_) {
    result.push_back({name, held.version});
  }
  return result;
}

std::vector<document> document_table::NewerThan(
    const std::vector<document_version>& theirs) const {
  std::map<std::string, std::uint64_t> known;
  for (const auto& each : theirs) known[each.name] = each.version;
  std::vector<document> result;
  for (const auto& [name, held] : documents_) {
    if (held.version > known[name]) result.push_back(held);
  }
  return result;
}

std::string DocumentKind(const std::string& site) { return site + ".doc"; }

std::uint64_t ContentVersion(const std::string& content) {
  const auto value = nlohmann::json::parse(content, nullptr, false);
  if (!value.is_object() || !value.contains("version")) return 0;
  const auto& version = value.at("version");
  return version.is_number_unsigned() ? version.get<std::uint64_t>() : 0;
}

}  // namespace basilhoist
