#ifndef ALMOND_CONTROLLERS_AGENT_SLOT_CONTROLLER_H_
#define ALMOND_CONTROLLERS_AGENT_SLOT_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/identifiers.h"

namespace almond {

/// Owner of the slots of one endpoint. Each free slot is granted to one entry
/// at a time, under a lease; entries with unmet demand come first.
class slot_controller {
 public:
  /// Time for which a grant may be used.
  static constexpr milliseconds kLease{2000};

  /// Grants to send to one entry.
  struct grant_action {
    link_id entry;
    std::vector<grant_id> grants;
  };
  /// Unused grants to ask back from one entry.
  struct recall_action {
    link_id entry;
    std::uint32_t count = 0;
  };
  struct actions {
    std::vector<grant_action> grants;
    std::vector<recall_action> recalls;
  };

  explicit slot_controller(const clock_interface& clock) : clock_(clock) {}

  /// @param slots number of slots; 0 while the endpoint is absent or leaving,
  ///   which stops all granting at once
  void SetSlots(std::uint32_t slots) { slots_ = slots; }

  void AddEntry(link_id entry);
  /// Frees the grants of an entry whose connection has ended: starts that used
  /// them can no longer arrive.
  void RemoveEntry(link_id entry);
  /// @param backlog tasks that the entry has queued beyond its grants
  void SetDemand(link_id entry, std::uint32_t backlog);
  void Return(link_id entry, const std::vector<grant_id>& grants);

  /// Uses up a grant; its slot is taken until Release is called.
  /// @returns false if the grant is unknown or its lease has ended
  bool Use(link_id entry, grant_id grant);
  /// Frees the slot of a task that has ended.
  void Release();

  /// Grants free slots and ends leases.
  /// @returns what to send
  actions Allocate();

  std::uint32_t Busy() const { return busy_; }
  std::uint32_t Granted() const { return granted_; }

 private:
  struct entry_state {
    std::uint32_t demand = 0;
    std::uint32_t recalled = 0;
    std::map<grant_id, steady_time> grants;
  };

  void EndLeases();
  /// @returns the entry that gets the next free slot, or null without entries
  std::pair<const link_id, entry_state>* NextEntry();
  void RecallSurplus(actions& result);

  const clock_interface& clock_;
  std::uint32_t slots_ = 0;
  std::uint32_t busy_ = 0;
  std::uint32_t granted_ = 0;
  grant_id last_grant_;
  std::map<link_id, entry_state> entries_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_SLOT_CONTROLLER_H_
