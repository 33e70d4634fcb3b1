// Messages between a process and the control leader. Wall-clock times are
// milliseconds since 1970, UUIDs are 16 bytes.
namespace cpp almond.wire

struct Refusal { 1: i8 reason, 2: i8 outcome, 3: string detail }
struct LedgerRecord {
  1: binary submission, 2: binary digest, 3: string service_name, 4: i32 task_count,
  5: string owner, 6: i64 owner_incarnation, 7: i64 epoch, 8: i8 state,
  9: Refusal failure, 10: i64 accepted_ms, 11: i64 deadline_ms
}
struct Heartbeat {
  1: i64 request, 2: i8 role, 3: string id, 4: i64 incarnation, 5: string data_centre,
  6: string peer_address, 7: string http_address, 8: i64 version, 9: bool leaving,
  10: i64 entries_digest, 11: string endpoint_kind
}
struct EntryAddress { 1: string entry, 2: i64 incarnation, 3: string data_centre, 4: string peer_address }
struct HeartbeatReply {
  1: i64 request, 2: i64 newest, 3: list<EntryAddress> entries, 4: list<LedgerRecord> takeovers,
  5: i64 entries_digest, 6: bool entries_omitted, 7: i32 alike_agents,
  8: i64 evacuation_revision, 9: list<string> evacuated_data_centres
}
struct FetchConfig { 1: i64 request }
struct FetchConfigReply { 1: i64 request, 2: i64 version, 3: binary document }
struct LedgerClaim {
  1: i64 request, 2: binary submission, 3: binary digest, 4: string service_name, 5: i32 task_count,
  6: string owner, 7: i64 owner_incarnation, 8: i64 deadline_ms
}
struct LedgerClaimReply { 1: i64 request, 2: i8 outcome, 3: LedgerRecord record }
struct LedgerFinish { 1: i64 request, 2: binary submission, 3: i64 epoch, 4: i8 state, 5: Refusal failure }
struct LedgerFinishReply { 1: i64 request, 2: bool stored }
struct LedgerRead { 1: i64 request, 2: binary submission }
struct LedgerReadReply { 1: i64 request, 2: optional LedgerRecord record }
struct NotLeader { 1: i64 request, 2: string leader_address }
