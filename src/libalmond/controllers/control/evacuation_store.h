#ifndef ALMOND_CONTROLLERS_CONTROL_EVACUATION_STORE_H_
#define ALMOND_CONTROLLERS_CONTROL_EVACUATION_STORE_H_

#include "libalmond/controllers/control/byte_buffer.h"
#include "libalmond/core/evacuations.h"

namespace almond {

/// Stores which data centres are evacuated. Deterministic: the same calls give
/// the same state at every replica.
class evacuation_store {
 public:
  /// Applies an operator's change. A change that is already in force changes
  /// nothing and keeps the revision, so that it can be resent.
  /// @returns the revision in which the change is in force
  evacuation_revision Apply(const evacuation_change& change);

  const evacuation_list& Evacuations() const { return list_; }

  /// Serializes the complete state.
  void Save(byte_writer& writer) const;
  /// Replaces the state.
  /// @returns false if the bytes are malformed
  bool Load(byte_reader& reader);

 private:
  evacuation_list list_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_EVACUATION_STORE_H_
