// How much a backend server that starts or recovers may get from this instance.
#pragma once

#include <cstdint>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Where the pace of a server starts and how long it lasts.
struct pace_options {
  /// Share of this instance's requests to the service that the server would get
  /// if all servers got the same, above 0 and at most 1.
  double even_share = 1;
  /// Time that the server needs to warm up. Without replies, its share grows to
  /// the even share in this time.
  microseconds ramp = milliseconds(3000);
  /// Credit at the start, 0 to less than 1. Instances draw it at random, so
  /// that their first requests to the server are spread over time.
  double initial_credit = 0;

  auto operator<=>(const pace_options&) const = default;
};

/// What a reply led to.
enum class pace_step : std::uint8_t { kGrown, kHeld, kCut };

/// Limits the sends to one server to a share of this instance's requests to its
/// service. The instances' demands add up to the demand for the service, so
/// their shares of it add up to the same share, however it is divided among
/// them.
class paced_server {
 public:
  /// Fraction of the even share with which a server starts.
  static constexpr double kInitialPart = 1.0 / 3;
  /// Fraction of the even share that a server always gets.
  static constexpr double kMinPart = 1.0 / 16;
  /// Replies let the share grow up to this multiple of the reply time of the
  /// other servers: the slowest and the fastest machines differ by a factor of
  /// 1.6, as do cold and warm servers.
  static constexpr double kNearRatio = 2;
  /// Above this multiple, the share is cut. One request ahead in the queue
  /// doubles the reply time.
  static constexpr double kFarRatio = 3;
  /// Growth of the share by a reply as fast as those of the other servers.
  static constexpr double kReplyGrowth = 1.5;
  static constexpr double kCut = 0.5;
  /// Replies to requests that were in flight together report the same overload,
  /// so the share is cut at most once in this time.
  static constexpr milliseconds kCutInterval{100};
  /// The share does not grow by itself for this time after a reply that gave no
  /// reason to let it grow.
  static constexpr milliseconds kHold{250};
  /// A server that is paced for this long is slow for another reason than its
  /// start, which is left to the choice of servers.
  static constexpr milliseconds kMaxDuration{10000};

  paced_server(const pace_options& options, instant now);

  /// Called when a request to the service begins at this instance.
  void OnRequest(instant now);

  /// @param in_flight requests of this instance in flight to the server
  /// @return whether the server may get a request now
  [[nodiscard]] bool Allows(unsigned in_flight) const;

  /// Called when a request is sent to the server, allowed or not.
  void OnSent(instant now);

  /// Called when a request was answered.
  /// @param ratio reply time, as a multiple of that of the other servers
  pace_step OnReply(double ratio, instant now);

  /// Called when the server refused a request or failed it.
  /// @return whether the share was cut
  bool OnFailure(instant now);

  /// Called when the server has to start again, because its connections broke
  /// or it fell silent.
  void Restart(instant now);

  /// @return share of this instance's requests that the server may get, above 0
  ///   and at most 1
  [[nodiscard]] double Share(instant now) const;

  /// @return whether the server serves like the others, so that its share has
  ///   grown to 1 and limits it no more
  [[nodiscard]] bool ServesLikeOthers(instant now) const;

  /// @return whether the server has had time to warm up, and nothing tells that
  ///   it needs more
  [[nodiscard]] bool HasWarmedUp(instant now) const;

  /// @return whether kMaxDuration is over
  [[nodiscard]] bool Expired(instant now) const;

  [[nodiscard]] instant StartedAt() const { return started_at_; }
  /// @return moving average of the ratios; 1 before the first reply
  [[nodiscard]] double Ratio() const { return ratio_; }
  /// @return whether it has replied since the last start
  [[nodiscard]] bool HasReplied() const { return replied_; }

 private:
  // Sets the share from which growth by time continues after the hold.
  void SetShare(double share, instant grows_from);
  bool Cut(instant now);

  pace_options options_;
  instant started_at_;
  double credit_ = 0;  // requests that may be sent now
  double share_ = 0;   // until grows_from_
  instant grows_from_;
  instant cut_at_;
  double ratio_ = 1;
  bool replied_ = false;
  bool unanswered_ = false;  // a request was sent, and none was answered
};

}  // namespace basilhoist
