#ifndef ALMOND_CONTROLLERS_CONTROL_EVACUATION_CONTROLLER_H_
#define ALMOND_CONTROLLERS_CONTROL_EVACUATION_CONTROLLER_H_

#include <functional>
#include <vector>

#include "libalmond/controllers/control/change_answer.h"
#include "libalmond/controllers/control/evacuation_store.h"
#include "libalmond/controllers/control/pending_answers.h"
#include "libalmond/controllers/control/process_directory.h"
#include "libalmond/core/clock.h"
#include "libalmond/replication/replica_results.h"

namespace almond {

/// Handles operators' evacuations of data centres on the control leader. A
/// change is acknowledged once it is committed. One that is in force already is
/// acknowledged after a confirmed read, so that resends do not fill the log.
class evacuation_controller {
 public:
  /// Time after which a change is answered with change_outcome_unknown.
  static constexpr milliseconds kChangeTimeout{5000};

  struct hooks {
    /// Proposes the change; see control_service::hooks.
    std::function<void(const evacuation_change&, proposal_hook)> propose;
    std::function<void(read_hook)> confirm_read;
    std::function<bool()> is_leader;
    /// @returns the data centres named by settings and configuration; empty if
    ///   neither names any
    std::function<std::vector<data_centre_id>()> data_centres;
  };
  using answer_hook = pending_answers<evacuation_answer>::answer_hook;

  /// All references outlive the controller.
  /// @param store the replicated state
  /// @param directory the live processes, whose data centres are known as well
  evacuation_controller(const clock_interface& clock,
                        const evacuation_store& store,
                        const process_directory& directory, hooks callbacks);

  /// @param on_answer called once
  void Change(const evacuation_change& change, answer_hook on_answer);
  /// To be called regularly; answers changes that have reached their timeout.
  void Tick();

 private:
  enum class knowledge : std::uint8_t {
    known,
    unknown,
    undetermined  ///< some processes may not have sent a heartbeat yet
  };

  bool InForce(const evacuation_change& change) const;
  knowledge Find(const data_centre_id& data_centre) const;
  void OnRead(const evacuation_change& change, const answer_hook& answer);
  void Propose(const evacuation_change& change, const answer_hook& answer);

  const clock_interface& clock_;
  const evacuation_store& store_;
  const process_directory& directory_;
  hooks hooks_;
  pending_answers<evacuation_answer> pending_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_EVACUATION_CONTROLLER_H_
