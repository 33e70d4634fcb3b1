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

/// Manages the slots of one endpoint. Each free slot is granted to one entry at
/// a time, under a lease; entries with unmet demand are served first, in turn.
class slot_controller {
 public:
  static constexpr milliseconds kLease = kGrantLease;
  /// Grants to send to one entry.
  struct grant_action {
    link_id entry;
    std::vector<grant_id> grants;
  };
  /// Number of unused grants that one entry is asked to return.
  struct recall_action {
    link_id entry;
    std::uint32_t count = 0;
  };
  struct actions {
    std::vector<grant_action> grants;
    std::vector<recall_action> recalls;
  };

  /// Number of grants per entry after which an entry with unmet demand is no
  /// longer passed over in favour of entries that are about to be sent an
  /// answer.
  static constexpr std::uint64_t kGrantsPerTurn = 2;

  explicit slot_controller(const clock_interface& clock) : clock_(clock) {}

  /// @param slots number of slots; a reduction ends no task, but grants beyond
  ///   the new capacity are refused when they are used
  void SetCapacity(std::uint32_t slots) { slots_ = slots; }
  /// @param granting false while the endpoint is absent or leaving; grants that
  ///   were issued stay valid until their lease ends
  void SetGranting(bool granting) { granting_ = granting; }
  /// Revokes all grants and frees all slots, after the endpoint was replaced.
  void Reset();
  /// Revokes all grants.
  void Revoke();

  void AddEntry(link_id entry);
  /// Revokes the grants of an entry whose connection is closed: starts that use
  /// them can no longer arrive.
  void RemoveEntry(link_id entry);
  /// @param backlog tasks that the entry has queued in excess of its grants
  void SetDemand(link_id entry, std::uint32_t backlog);
  /// @param overloaded true if the entry refuses requests for lack of slots
  void SetOverloaded(link_id entry, bool overloaded);
  /// Issues no grants to an entry before the time `until`. Called after a start
  /// of the entry was refused, since it would send the start again at once.
  void BackOff(link_id entry, steady_time until);
  void ReturnGrants(link_id entry, const std::vector<grant_id>& grants);

  /// Uses up a grant; its slot is busy until ReleaseSlot is called.
  /// @returns false if the grant is unknown, its lease has ended, or the
  ///   capacity was reduced in the meantime
  bool UseGrant(link_id entry, grant_id grant);
  /// Takes a free slot for a resumed task.
  void TakeSlot() { ++busy_; }
  /// Frees the slot of a task that has ended or is suspended.
  void ReleaseSlot() { --busy_; }

  /// Extends the leases of all unused grants. Entries do the same when they
  /// receive the announcement, so that an idle slot needs no message of its
  /// own.
  void RenewLeases();

  /// Grants free slots and ends expired leases. Takes time proportional to the
  /// number of entries for each issued grant, and once more for the recalls.
  /// @param answered entries that are about to be sent an answer, once for each
  ///   answer. A grant in an answer needs no message of its own, so they are
  ///   preferred, see MayPrecede.
  /// @param max_grants limit on new grants, for lack of other resources
  /// @param wanted_slots idle slots needed to resume suspended tasks
  /// @returns the messages to send
  actions Allocate(const std::vector<link_id>& answered = {},
                   std::uint32_t max_grants = UINT32_MAX,
                   std::uint32_t wanted_slots = 0);

  /// @returns number of tasks that entries have queued beyond their grants
  std::uint32_t UnmetDemand() const;
  /// @returns number of grants for which the entries have no queued tasks
  std::uint32_t IdleGrants() const;
  /// @returns number of slots that are neither busy nor granted
  std::uint32_t FreeSlots() const;
  bool Overloaded() const;
  bool Granting() const { return granting_; }
  std::uint32_t Capacity() const { return slots_; }
  std::uint32_t Busy() const { return busy_; }
  std::uint32_t GrantedSlots() const { return granted_; }

  /// Ends the leases that have expired.
  void ExpireLeases();

 private:
  struct entry_state {
    std::uint32_t demand = 0;
    std::uint32_t recalled = 0;
    bool overloaded = false;
    steady_time backoff_end;
    std::uint64_t last_served_grant = 0;  ///< breaks ties between entries
    std::map<grant_id, steady_time> grants;
  };
  using entry_map = std::map<link_id, entry_state>;
  struct lease {
    steady_time end;
    link_id entry;
    grant_id grant;
  };

  static std::uint32_t UnmetDemand(const entry_state& state);
  /// @returns the entry that gets the next free slot, or null if there is none
  entry_map::value_type* NextEntry();
  /// @param state an entry that is about to be sent an answer
  /// @param next the entry chosen by NextEntry
  /// @returns true if the grant may go to `state` instead of `next`
  bool MayPrecede(const entry_state& state, const entry_state& next) const;
  void IssueGrant(entry_map::value_type& entry, actions& result);
  void RecallGrants(std::uint32_t wanted_slots, actions& result);

  const clock_interface& clock_;
  std::uint32_t slots_ = 0;
  bool granting_ = false;
  std::uint32_t busy_ = 0;
  std::uint32_t granted_ = 0;
  grant_id last_grant_;
  entry_map entries_;
  std::deque<lease> leases_;  ///< oldest first; also those of used grants
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_AGENT_SLOT_CONTROLLER_H_
