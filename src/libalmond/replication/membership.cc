#include "libalmond/replication/membership.h"

#include <algorithm>

namespace almond {

membership membership::Bootstrap(const std::vector<replica_id>& founders,
                                 std::size_t places) {
  membership result;
  for (const replica_id& id : founders) {
    result.voters[id] = kBootstrapIncarnation;
  }
  result.places = places;
  return result;
}

bool membership::IsVoter(const replica_id& id,
                         replica_incarnation incarnation) const {
  const auto found = voters.find(id);
  return found != voters.end() && found->second == incarnation;
}

bool membership::IsRetired(const replica_id& id,
                           replica_incarnation incarnation) const {
  const auto found = retired.find(id);
  return found != retired.end() &&
         std::find(found->second.begin(), found->second.end(), incarnation) !=
             found->second.end();
}

replica_incarnation membership::VoterOf(const replica_id& id) const {
  const auto found = voters.find(id);
  return found == voters.end() ? replica_incarnation() : found->second;
}

void membership::Replace(const replica_id& id, replica_incarnation successor) {
  if (const auto old = voters.find(id); old != voters.end()) {
    retired[id].push_back(old->second);
    voters.erase(old);
  }
  const auto named = successors.find(id);
  if (named != successors.end() && named->second != successor) {
    retired[id].push_back(named->second);
  }
  successors[id] = successor;
}

void membership::Add(const replica_id& id, replica_incarnation incarnation) {
  if (HasPlace(id)) return;
  voters[id] = incarnation;
  ++places;
}

void membership::Admit(const replica_id& id, replica_incarnation incarnation) {
  voters[id] = incarnation;
  successors.erase(id);
}

}  // namespace almond
