#include "libalmond/controllers/agent/endpoint_controller.h"

#include <utility>

namespace almond {

endpoint_controller::change endpoint_controller::OnAnnouncement(
    const endpoint_announcement& announced) {
  const steady_time now = clock_.SteadyNow();
  const bool same_address = last_ && last_->address == announced.address;
  const bool same_service = last_ && last_->service == announced.service;
  announced_at_ = now;
  const bool left = left_at_.has_value();
  if (left && same_address && same_service &&
      now - *left_at_ < kLeaveHoldTime) {
    present_ = true;
    return change::held;
  }
  left_at_.reset();
  const bool was_present = std::exchange(present_, true);
  const bool same = last_ && *last_ == announced;
  last_ = announced;
  if (!same_address) return change::replaced;
  if (!same_service) return change::service;
  if (!was_present || left) return change::appeared;
  return same ? change::none : change::updated;
}

bool endpoint_controller::OnLeaving() {
  if (!present_) return false;
  if (!left_at_) left_at_ = clock_.SteadyNow();
  return true;
}

bool endpoint_controller::MarkUnreachable(const socket_address& address) {
  if (!present_ || last_->address != address) return false;
  present_ = false;
  return true;
}

bool endpoint_controller::Expire() {
  if (!present_ || clock_.SteadyNow() - announced_at_ < kTimeout) return false;
  present_ = false;
  return true;
}

}  // namespace almond
