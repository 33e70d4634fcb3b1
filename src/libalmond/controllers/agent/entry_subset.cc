#include "libalmond/controllers/agent/entry_subset.h"

#include <algorithm>
#include <utility>

#include "libalmond/core/digest.h"

namespace almond {

entry_subset::entry_subset(const clock_interface& clock, agent_id self,
                           data_centre_id own_data_centre, hooks callbacks)
    : clock_(clock),
      self_(std::move(self)),
      own_data_centre_(std::move(own_data_centre)),
      hooks_(std::move(callbacks)) {}

void entry_subset::Update(const std::vector<entry_address>& live,
                          std::size_t alike_agents) {
  KeepKnown(live);
  if (alike_agents > 0) {
    last_degree_ = Degree(candidates_.size(), alike_agents);
  }
  const std::vector<candidate*> ranked = RankedCandidates();
  const std::size_t degree = std::min(last_degree_, ranked.size());
  std::vector<candidate*> own;
  std::vector<candidate*> other;
  for (candidate* next : ranked) {
    const bool is_own = next->entry.data_centre == own_data_centre_;
    (is_own ? own : other).push_back(next);
  }
  const std::size_t own_count = std::min(
      own.size(),
      std::max((degree + 1) / 2, degree - std::min(degree, other.size())));
  const std::size_t other_count = degree - own_count;
  chosen_.clear();
  for (const auto& [candidates, count] :
       {std::pair(&own, own_count), std::pair(&other, other_count)}) {
    for (std::size_t i = 0; i < candidates->size(); ++i) {
      candidate& next = *(*candidates)[i];
      if (i < count) {
        next.left_out.reset();
        chosen_.push_back(next.entry);
      } else if (!next.left_out) {
        next.left_out = clock_.SteadyNow();
      }
    }
  }
}

std::vector<entry_address> entry_subset::Retired() const {
  std::vector<entry_address> retired;
  for (const auto& [id, known] : candidates_) {
    if (known.left_out &&
        clock_.SteadyNow() - *known.left_out >= kRetirementDelay &&
        hooks_.connected(known.entry)) {
      retired.push_back(known.entry);
    }
  }
  return retired;
}

void entry_subset::KeepKnown(const std::vector<entry_address>& live) {
  std::map<entry_id, candidate> kept;
  for (const entry_address& entry : live) {
    auto known = candidates_.extract(entry.entry);
    if (known.empty()) {
      kept[entry.entry] = {entry, Sha256({self_.Value(), entry.entry.Value()}),
                           std::nullopt};
    } else {
      known.mapped().entry = entry;
      kept.insert(std::move(known));
    }
  }
  for (auto& [id, known] : candidates_) {
    if (hooks_.connected(known.entry)) kept[id] = std::move(known);
  }
  candidates_ = std::move(kept);
}

std::vector<entry_subset::candidate*> entry_subset::RankedCandidates() {
  std::vector<candidate*> ranked;
  ranked.reserve(candidates_.size());
  for (auto& [id, known] : candidates_) ranked.push_back(&known);
  std::sort(ranked.begin(), ranked.end(),
            [](const candidate* left, const candidate* right) {
              return left->rank < right->rank;
            });
  return ranked;
}

std::size_t entry_subset::Degree(std::size_t entries,
                                 std::size_t alike_agents) const {
  const std::size_t wanted =
      (kAgentsPerEntry * entries + alike_agents - 1) / alike_agents;
  return std::max(kMinEntries, wanted);
}

}  // namespace almond
