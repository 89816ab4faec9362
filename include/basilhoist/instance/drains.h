// What operators have taken out of service.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "basilhoist/base/error.h"
#include "basilhoist/settings/site_settings.h"

namespace basilhoist {

/// What a drain takes out.
enum class drain_kind : std::uint8_t { kFailureDomain, kBackendServer };

/// One thing that gets no new work.
struct drain {
  drain_kind kind = drain_kind::kFailureDomain;
  std::string name;

  auto operator<=>(const drain&) const = default;
};

/// The content of the "drains" document.
struct drain_list {
  std::uint64_t version = 0;
  std::string operation_id;  ///< Of the change that made this version.
  std::set<drain> drains;

  bool operator==(const drain_list&) const = default;
};

/// @return the kind's name in documents and on the command line
std::string_view Name(drain_kind kind);

leaf::result<drain_list> ParseDrains(const std::string& json);
std::string FormatDrains(const drain_list& list);

/// @return names of the servers that get no new work
std::set<std::string> BarredServers(const drain_list& list,
                                    const site_settings& settings);

}  // namespace basilhoist
