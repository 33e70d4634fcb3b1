#include "libalmond/replication/follower_progress.h"

#include <algorithm>

namespace almond {
namespace {

/// Time after which an unanswered snapshot chunk is sent again.
constexpr milliseconds kChunkTimeout{500};

}  // namespace

void follower_progress::RecordReply(replica_incarnation incarnation,
                                    std::uint64_t round, std::uint64_t current,
                                    steady_time now) {
  if (incarnation != incarnation_) {
    incarnation_ = incarnation;
    match_ = 0;
    round_ = 0;
    incarnation_start_round_ = current;
    sent_offset_.reset();
  }
  round_ = std::max(round_, round);
  last_contact_ = now;
}

void follower_progress::RecordMatch(log_index index) {
  match_ = std::max(match_, index);
  next_ = std::max(next_, match_ + 1);
}

void follower_progress::RecordMismatch(log_index from) {
  next_ = std::max(match_ + 1, std::min(from, next_));
}

bool follower_progress::IsChunkDue(log_index snapshot, std::uint64_t offset,
                                   steady_time now) {
  if (snapshot != snapshot_) sent_offset_.reset();
  snapshot_ = snapshot;
  offset_ = offset;
  if (sent_offset_ == offset && now - chunk_sent_ < kChunkTimeout) return false;
  sent_offset_ = offset;
  chunk_sent_ = now;
  return true;
}

}  // namespace almond
