#ifndef ALMOND_CONTROLLERS_AGENT_ENDPOINT_CONTROLLER_H_
#define ALMOND_CONTROLLERS_AGENT_ENDPOINT_CONTROLLER_H_

#include <optional>

#include "libalmond/controllers/agent/endpoint_announcement.h"
#include "libalmond/core/clock.h"

namespace almond {

/// Tracks whether the endpoint is present or absent, and whether it is leaving.
/// A leaving endpoint stays present until Expire or MarkUnreachable marks it as
/// absent.
class endpoint_controller {
 public:
  /// Time without an announcement after which the endpoint is absent.
  static constexpr milliseconds kTimeout{3000};
  /// Time after a leave message in which announcements with the same address
  /// and service do not end the leaving state: the announcement timer of the
  /// endpoint may race with its shutdown. Another address or service means
  /// another process, so it ends the leaving state at once.
  static constexpr milliseconds kLeaveHoldTime{10000};

  /// Effect of an announcement.
  enum class change {
    none,
    appeared,  ///< was absent or leaving; same address and service
    updated,   ///< changed slots, resources or controls
    replaced,  ///< first endpoint, or another address
    service,   ///< same address, another service
    held       ///< the endpoint left less than kLeaveHoldTime ago and stays
               ///< leaving; changes that it announces are ignored
  };

  explicit endpoint_controller(const clock_interface& clock) : clock_(clock) {}

  change OnAnnouncement(const endpoint_announcement& announced);
  /// Handles a leave message of the endpoint.
  /// @returns false if no endpoint is present
  bool OnLeaving();
  /// Marks the endpoint as absent if it was not announced for kTimeout.
  /// @returns true if this call has made it absent
  bool Expire();
  /// Marks the endpoint as absent until its next announcement, after a refused
  /// connection. Otherwise a dead endpoint would refuse one start after another
  /// for the rest of kTimeout.
  /// @returns true if this call has made the endpoint absent
  bool MarkUnreachable(const socket_address& address);

  /// @returns true if tasks can be started; also while the endpoint leaves,
  ///   since entries may still hold grants
  bool Present() const { return present_; }
  bool Leaving() const { return left_at_.has_value(); }
  /// Must not be called before the first announcement.
  const endpoint_announcement& LastAnnouncement() const { return *last_; }

 private:
  const clock_interface& clock_;
  std::optional<endpoint_announcement> last_;
  bool present_ = false;
  steady_time announced_at_;
  std::optional<steady_time> left_at_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_ENDPOINT_CONTROLLER_H_
