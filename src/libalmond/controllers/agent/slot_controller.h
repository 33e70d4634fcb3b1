#ifndef ALMOND_CONTROLLERS_AGENT_SLOT_CONTROLLER_H_
#define ALMOND_CONTROLLERS_AGENT_SLOT_CONTROLLER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "libalmond/core/clock.h"
#include "libalmond/core/dispatch_messages.h"
#include "libalmond/core/identifiers.h"

namespace almond {

/// Owner of the slots of one endpoint. Each free slot is granted to one entry
/// at a time, under a lease; entries with unmet demand come first, in turn.
class slot_controller {
 public:
  static constexpr milliseconds kLease = kGrantLease;
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

  /// Grants for each entry within which one with unmet demand gets its turn,
  /// even if answers to others could carry the grants.
  static constexpr std::uint64_t kTurns = 2;

  explicit slot_controller(const clock_interface& clock) : clock_(clock) {}

  /// @param slots number of slots; a reduction ends no task, but grants beyond
  ///   the capacity are refused when they are used
  void SetCapacity(std::uint32_t slots) { slots_ = slots; }
  /// @param granting false while the endpoint is absent or leaving; grants that
  ///   are out stay valid for their lease
  void SetGranting(bool granting) { granting_ = granting; }
  /// Ends all grants and frees all slots, for another endpoint.
  void Reset();
  /// Ends all grants.
  void Revoke();

  void AddEntry(link_id entry);
  /// Frees the grants of an entry whose connection has ended: starts that used
  /// them can no longer arrive.
  void RemoveEntry(link_id entry);
  /// @param backlog tasks that the entry has queued beyond its grants
  void SetDemand(link_id entry, std::uint32_t backlog);
  /// @param overloaded the entry refuses work for lack of slots
  void SetOverloaded(link_id entry, bool overloaded);
  /// Gives an entry no grant until that time, after a start that could not be
  /// admitted: without it the same start would come back at once.
  void HoldBack(link_id entry, steady_time until);
  void ReturnGrants(link_id entry, const std::vector<grant_id>& grants);

  /// Uses up a grant; its slot is taken until Release is called.
  /// @returns false if the grant is unknown, its lease has ended, or the
  ///   capacity was reduced in the meantime
  bool UseGrant(link_id entry, grant_id grant);
  /// Takes a free slot for a task that is resumed.
  void TakeSlot() { ++busy_; }
  /// Frees the slot of a task that has ended or is suspended.
  void ReleaseSlot() { --busy_; }

  /// Extends the leases of all unused grants. The announcement tells the
  /// entries, so that an idle slot costs no message of its own.
  void RenewLeases();

  /// Grants free slots and ends leases. Costs the number of entries for each
  /// slot that it grants, and once more.
  /// @param answered entries that are about to be sent an answer, once for each
  ///   answer; a grant that goes with it costs no message, so they come first
  ///   unless another entry is clearly worse off
  /// @param grantable bound on new grants, for lack of other resources
  /// @param wanted idle slots that suspended tasks wait for
  /// @returns what to send
  actions Allocate(const std::vector<link_id>& answered = {},
                   std::uint32_t grantable = UINT32_MAX,
                   std::uint32_t wanted = 0);

  /// @returns tasks that entries have queued beyond their grants
  std::uint32_t Unmet() const;
  /// @returns grants that their entries have no queued task for
  std::uint32_t Idle() const;
  /// @returns slots neither taken nor granted
  std::uint32_t Free() const;
  bool Overloaded() const;
  bool Granting() const { return granting_; }
  std::uint32_t Capacity() const { return slots_; }
  std::uint32_t Busy() const { return busy_; }
  std::uint32_t Granted() const { return granted_; }

  /// Ends the leases that are over.
  void EndLeases();

 private:
  struct entry_state {
    std::uint32_t demand = 0;
    std::uint32_t recalled = 0;
    bool overloaded = false;
    steady_time held_until;
    std::uint64_t served = 0;  ///< number of the last grant, for ties
    std::map<grant_id, steady_time> grants;
  };
  using entry_map = std::map<link_id, entry_state>;
  struct lease {
    steady_time end;
    link_id entry;
    grant_id grant;
  };

  static std::uint32_t Unmet(const entry_state& state);
  /// @returns the entry that gets the next free slot, or null without entries
  entry_map::value_type* NextEntry();
  /// @returns true if a grant may go to this entry instead of the next one
  bool MayGoBefore(const entry_state& state, const entry_state& next) const;
  void Issue(entry_map::value_type& entry, actions& result);
  void Recall(std::uint32_t wanted, actions& result);

  const clock_interface& clock_;
  std::uint32_t slots_ = 0;
  bool granting_ = false;
  std::uint32_t busy_ = 0;
  std::uint32_t granted_ = 0;
  grant_id last_grant_;
  entry_map entries_;
  std::deque<lease> leases_;  ///< oldest first; used ones are left in place
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_SLOT_CONTROLLER_H_
