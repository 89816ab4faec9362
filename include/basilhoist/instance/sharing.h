// Ways for instances to share the backend servers among them.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "basilhoist/member/ownership.h"
#include "basilhoist/settings/site_settings.h"

namespace basilhoist {

/// Decides which instance sends to a backend server, and within what limits.
class sharing_strategy {
 public:
  virtual ~sharing_strategy() = default;

  /// @return the name that the command line uses
  [[nodiscard]] virtual std::string_view Name() const = 0;

  /// @return one sentence
  [[nodiscard]] virtual std::string_view Description() const = 0;

  /// @return the instance to send a sub-request to; empty if there is none
  [[nodiscard]] virtual std::string OwnerOf(const ownership& owners,
                                            const owned_server& server) = 0;

  /// @return whether this instance may send to the server now
  [[nodiscard]] virtual bool MaySend(ownership& owners,
                                     const owned_server& server,
                                     instant now) = 0;

  /// @return the part of a server's limits that one sender may use
  [[nodiscard]] virtual server_limits Share(
      const server_limits& whole) const = 0;
};

/// One owner for each server at a time: what is used.
std::unique_ptr<sharing_strategy> MakeOneOwner();

/// Every instance sends with an equal share: kept for measurement.
/// @param instances how many share
std::unique_ptr<sharing_strategy> MakeShares(std::uint32_t instances);

/// Two owners with half of the limits each: kept for measurement.
std::unique_ptr<sharing_strategy> MakeTwoOwners();

/// @return the strategy of that name, or null
std::unique_ptr<sharing_strategy> MakeSharing(std::string_view name);

}  // namespace basilhoist
