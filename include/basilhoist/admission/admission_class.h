// The requests that admission treats alike.
#pragma once

#include <cstdint>

namespace basilhoist {

/// Requests of one workspace with one priority that use the same services.
struct admission_class {
  std::uint64_t service_set = 0;  ///< Hash of the services.
  unsigned priority = 0;          ///< 0 is the highest.
  std::uint64_t workspace = 0;    ///< Hash of the name; 0 without workspaces.

  auto operator<=>(const admission_class&) const = default;
};

}  // namespace basilhoist
