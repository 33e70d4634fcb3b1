// Messages between replicas of the control log, and the records that they
// store.
namespace cpp almond.wire

struct ReplicaHeader { 1: string cluster, 2: string sender, 3: i64 incarnation, 4: string receiver, 5: i64 term }
struct ReplicaPlace { 1: string replica, 2: i64 incarnation }
struct ReplicaMembers {
  1: list<ReplicaPlace> voters, 2: list<ReplicaPlace> successors, 3: list<ReplicaPlace> retired, 4: i32 places
}
struct LogEntry { 1: i64 term, 2: i8 kind, 3: binary command, 4: ReplicaPlace place }
struct ReplicaVoteRequest {
  1: ReplicaHeader header, 2: bool pre_vote, 3: i64 last_index, 4: i64 last_term, 5: i64 voter
}
struct ReplicaVoteReply { 1: ReplicaHeader header, 2: bool pre_vote, 3: bool granted }
struct ReplicaAppendRequest {
  1: ReplicaHeader header, 2: i64 round, 3: i64 previous_index, 4: i64 previous_term, 5: i64 commit_index,
  6: list<LogEntry> entries
}
struct ReplicaAppendReply { 1: ReplicaHeader header, 2: i64 round, 3: bool success, 4: i64 index }
struct ReplicaSnapshotChunk {
  1: ReplicaHeader header, 2: i64 round, 3: i64 last_index, 4: i64 last_term, 5: ReplicaMembers members,
  6: i64 total, 7: i64 offset, 8: binary data
}
struct ReplicaSnapshotReply { 1: ReplicaHeader header, 2: i64 round, 3: i64 last_index, 4: i64 next_offset }

struct LogVoteRecord { 1: i64 term, 2: ReplicaPlace voted_for }
struct LogEntryRecord { 1: i64 index, 2: LogEntry entry }
struct LogBaseRecord { 1: i64 index, 2: i64 term }
struct SnapshotHeader { 1: i64 index, 2: i64 term, 3: ReplicaMembers members }
