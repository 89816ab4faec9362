#include "basilhoist/instance/sharing.h"

#include <algorithm>

namespace basilhoist {
namespace {

constexpr std::uint32_t kInstancesToday = 8;

// A share of less than one slot cannot be used, so it is rounded up. That is
// the trouble with shares: eight instances at two slots may send eight.
server_limits Divide(const server_limits& whole, std::uint32_t parts) {
  server_limits share = whole;
  share.slots = std::max<std::uint32_t>(1, whole.slots / parts);
  share.connections =
      std::max<std::uint32_t>(share.slots + 1, whole.connections / parts);
  share.cold_in_flight =
      std::max<std::uint32_t>(1, whole.cold_in_flight / parts);
  return share;
}

class one_owner : public sharing_strategy {
 public:
  [[nodiscard]] std::string_view Name() const override { return "one-owner"; }
  [[nodiscard]] std::string_view Description() const override {
    return "One instance at a time holds a server's slots and connections.";
  }
  std::string OwnerOf(const ownership& owners,
                      const owned_server& server) override {
    return owners.OwnerOf(server);
  }
  bool MaySend(ownership& owners, const owned_server& server,
               instant now) override {
    return owners.MaySend(server, now);
  }
  [[nodiscard]] server_limits Share(const server_limits& whole) const override {
    return whole;
  }
};

class shares : public sharing_strategy {
 public:
  explicit shares(std::uint32_t instances) : instances_(instances) {}

  [[nodiscard]] std::string_view Name() const override { return "shares"; }
  [[nodiscard]] std::string_view Description() const override {
    return "Every instance sends directly, with an equal share.";
  }
  std::string OwnerOf(const ownership& owners, const owned_server&) override {
    return owners.Self().name;
  }
  bool MaySend(ownership&, const owned_server&, instant) override {
    return true;
  }
  [[nodiscard]] server_limits Share(const server_limits& whole) const override {
    return Divide(whole, instances_);
  }

 private:
  std::uint32_t instances_;
};

// Without leases: two owners of halves are only here to be measured.
class two_owners : public sharing_strategy {
 public:
  [[nodiscard]] std::string_view Name() const override { return "two-owners"; }
  [[nodiscard]] std::string_view Description() const override {
    return "Two instances hold half of a server's limits each.";
  }
  std::string OwnerOf(const ownership& owners,
                      const owned_server& server) override {
    const auto order =
        OwnerOrder(owners.View(), server.name, server.failure_domain);
    if (order.empty()) return {};
    return order[++turn_ % std::min<std::size_t>(2, order.size())];
  }
  bool MaySend(ownership& owners, const owned_server& server,
               instant) override {
    const auto order =
        OwnerOrder(owners.View(), server.name, server.failure_domain);
    const auto last =
        order.begin() +
        static_cast<std::ptrdiff_t>(std::min<std::size_t>(2, order.size()));
    return std::find(order.begin(), last, owners.Self().name) != last;
  }
  [[nodiscard]] server_limits Share(const server_limits& whole) const override {
    return Divide(whole, 2);
  }

 private:
  std::size_t turn_ = 0;
};

}  // namespace

std::unique_ptr<sharing_strategy> MakeOneOwner() {
  return std::make_unique<one_owner>();
}

std::unique_ptr<sharing_strategy> MakeShares(std::uint32_t instances) {
  return std::make_unique<shares>(instances);
}

std::unique_ptr<sharing_strategy> MakeTwoOwners() {
  return std::make_unique<two_owners>();
}

std::unique_ptr<sharing_strategy> MakeSharing(std::string_view name) {
  if (name == "one-owner") return MakeOneOwner();
  if (name == "shares") return MakeShares(kInstancesToday);
  if (name == "two-owners") return MakeTwoOwners();
  return nullptr;
}

}  // namespace basilhoist
