#ifndef ALMOND_CONTROLLERS_AGENT_ENDPOINT_CONTROLLER_H_
#define ALMOND_CONTROLLERS_AGENT_ENDPOINT_CONTROLLER_H_

#include <optional>

#include "libalmond/controllers/agent/endpoint_announcement.h"
#include "libalmond/core/clock.h"

namespace almond {

/// Owner of the endpoint's announcement: whether it is present, leaving or
/// gone.
class endpoint_controller {
 public:
  /// An endpoint that is not announced for so long counts as gone.
  static constexpr milliseconds kTimeout{3000};
  /// An endpoint that said it leaves gets no work for so long, even if it goes
  /// on announcing itself: its timers may race with its shutdown. An
  /// announcement with another address or service is another process, and
  /// counts at once.
  static constexpr milliseconds kLeaveHold{10000};

  /// What an announcement has changed.
  enum class change {
    none,
    appeared,  ///< was absent or leaving; same address and service as before
    updated,   ///< other slots, resources or controls
    replaced,  ///< the first endpoint, or one with another address
    service,   ///< same address, other service
    held       ///< it said it leaves less than kLeaveHold ago
  };

  explicit endpoint_controller(const clock_interface& clock) : clock_(clock) {}

  change Announce(const endpoint_announcement& announced);
  /// The endpoint says that it leaves.
  /// @returns false if no endpoint is present
  bool Leave();
  /// @returns true if the endpoint has become absent by this call
  bool Expire();
  /// A connection to the endpoint was refused: it is absent until its next
  /// announcement. Without it, a dead endpoint would refuse start after start
  /// for the rest of kTimeout.
  /// @returns true if the endpoint has become absent by this call
  bool Unreachable(const socket_address& address);

  /// @returns true if tasks can be started there; also while it leaves, since
  ///   grants may be out
  bool Present() const { return present_; }
  bool Leaving() const { return left_at_.has_value(); }
  /// @returns the last announcement; valid if an endpoint was ever announced
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
