// The agreed list of instances that may own backend servers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "basilhoist/base/error.h"
#include "basilhoist/link/frame_link.h"

namespace basilhoist {

/// One run of one instance.
struct member {
  std::string name;
  std::uint64_t incarnation = 0;  ///< Another one after each start.
  std::string failure_domain;
  endpoint link;  ///< Where it takes links of other instances.
  endpoint ops;   ///< Where it takes operators.

  auto operator<=>(const member&) const = default;
};

/// One agreed list. Agreed on by a conditional write to the platform's store
/// and nowhere else.
struct member_view {
  std::uint64_t epoch = 0;
  std::vector<member> members;   ///< Sorted by name.
  std::vector<member> previous;  ///< Those of epoch - 1.

  auto operator<=>(const member_view&) const = default;

  /// @return the member of that name, or null
  [[nodiscard]] const member* Find(const std::string& name) const;
};

/// @return the view's text as a document
std::string FormatMemberView(const member_view& view);

/// @return the view, or error_code::kProtocol
leaf::result<member_view> ParseMemberView(const std::string& json);

/// Orders members by their claim on a backend server: those in the server's
/// own failure domain first, then by rendezvous hashing.
/// @return names; the first is the owner, the others succeed it in turn
std::vector<std::string> OwnerOrder(const member_view& view,
                                    const std::string& server,
                                    const std::string& failure_domain);

}  // namespace basilhoist
