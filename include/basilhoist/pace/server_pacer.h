// Which backend servers are paced, and what each of them may get.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "basilhoist/pace/paced_server.h"

namespace basilhoist {

/// Why a server is paced.
enum class pace_reason : std::uint8_t {
  kStarted,      ///< Its entry was listed while others served.
  kWarmingUp,    ///< Its replies say that it warms up.
  kReconnected,  ///< Its connections broke.
  kSilent,       ///< It did not reply for a long time.
  kPaused,       ///< It asked for a pause.
};
inline constexpr std::size_t kPaceReasonCount = 5;
std::string_view Name(pace_reason value);

/// What happened to the pace of a server.
enum class pace_change : std::uint8_t {
  kBegan,
  kCut,               ///< Its share was cut.
  kServesLikeOthers,  ///< The pace ended: the server serves like the others.
  kWarmedUp,          ///< The pace ended: the time to warm up is over.
  kMostAreNew,        ///< The pace ended: most servers of the service are new.
  kExpired,           ///< The pace ended: it had lasted for its longest time.
};
inline constexpr std::size_t kPaceChangeCount = 6;
std::string_view Name(pace_change value);

/// A change of the pace of a server, for logs and counters.
struct pace_event {
  std::uint64_t server = 0;
  pace_change change = pace_change::kBegan;
  pace_reason reason = pace_reason::kStarted;
  double share = 0;
  double ratio = 1;
  microseconds age{0};  ///< Since the pace began.
};

/// The service of a server, as far as its pace depends on it.
struct pace_service {
  std::string name;
  /// Keys of the servers that may be used.
  std::vector<std::uint64_t> servers;
  /// Time that a server of this service needs to warm up.
  microseconds warmup{0};
};

/// Keeps the paced servers of all services. A server is paced only while most
/// of its service's servers are not new: when a fleet starts, or an instance
/// that knows no server yet, the new ones have to take the whole load.
class server_pacer {
 public:
  /// Called when servers of a service start or recover at the same time.
  /// @param chance returns a random number from 0 to less than 1
  void Start(const std::vector<std::uint64_t>& servers,
             const pace_service& service, pace_reason reason,
             const std::function<double()>& chance, instant now);

  /// Called when a request to a service begins at this instance. Ends the pace
  /// of servers that serve like the others.
  void OnRequest(const std::string& service, instant now);

  /// @param in_flight requests of this instance in flight to the server
  /// @return whether the server may get a request now
  [[nodiscard]] bool Allows(std::uint64_t server, unsigned in_flight) const;

  /// Called when a request is sent to the server, allowed or not.
  void OnSent(std::uint64_t server, instant now);

  /// Called when a request was answered.
  /// @param ratio reply time, as a multiple of that of the other servers
  void OnReply(std::uint64_t server, double ratio, instant sent_at,
               instant now);

  /// Called when the server refused a request or failed it.
  void OnFailure(std::uint64_t server, instant sent_at, instant now);

  /// Called when the server has been removed.
  void Forget(std::uint64_t server);

  [[nodiscard]] bool IsPaced(std::uint64_t server) const {
    return paced_.contains(server);
  }
  [[nodiscard]] std::size_t Size() const { return paced_.size(); }

  /// @return the share that the server may get; 1 if it is not paced
  [[nodiscard]] double ShareOf(std::uint64_t server, instant now) const;

  /// @return the changes since the last call
  [[nodiscard]] std::vector<pace_event> TakeEvents();

 private:
  struct record {
    paced_server pace;
    std::string service;
    pace_reason reason = pace_reason::kStarted;
  };

  void Report(std::uint64_t server, const record& of, pace_change change,
              instant now);
  void End(std::uint64_t server, pace_change change, instant now);
  void Erase(std::uint64_t server);
  void Add(std::uint64_t server, const pace_service& service,
           pace_reason reason, double chance, instant now);
  [[nodiscard]] std::size_t CountNew(const pace_service& service) const;

  std::unordered_map<std::uint64_t, record> paced_;
  std::map<std::string, std::vector<std::uint64_t>> by_service_;
  // Servers that are new and not paced, and until when they count as new.
  std::unordered_map<std::uint64_t, instant> exempt_until_;
  std::vector<pace_event> events_;
};

}  // namespace basilhoist
