#include "libalmond/replication/persistent_records.h"

namespace almond {

bool persistent_state::Apply(const persistent_record& record) {
  if (const auto* written = std::get_if<vote_record>(&record)) {
    vote = *written;
    return true;
  }
  if (const auto* written = std::get_if<append_record>(&record)) {
    const log_index base = snapshot ? snapshot->index : 0;
    if (written->first <= base || written->first > base + entries.size() + 1) {
      return false;
    }
    entries.resize(written->first - base - 1);
    entries.insert(entries.end(), written->entries.begin(),
                   written->entries.end());
    return true;
  }
  const auto& written = std::get<snapshot_record>(record);
  snapshot = written.snapshot;
  vote = written.vote;
  entries = written.entries;
  return true;
}

}  // namespace almond
