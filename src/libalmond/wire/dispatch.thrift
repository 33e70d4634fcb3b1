// Messages between entry and agent. Times are milliseconds, UUIDs are 16 bytes.
namespace cpp almond.wire

struct TaskName { 1: binary submission, 2: i32 index }
struct Controls { 1: bool pause, 2: bool checkpoint, 3: bool stop }
struct Announce {
  1: string agent, 2: i64 incarnation, 3: string data_centre, 4: string service_name,
  5: i32 slots, 6: i32 cpu_milli, 7: i32 memory_mib, 8: Controls controls,
  9: bool leaving, 10: i64 version
}
struct Grant { 1: list<i64> grants, 2: i64 lease_ms }
struct Recall { 1: i32 count }
struct Answer {
  1: TaskName name, 2: i8 outcome, 3: i16 status, 4: binary body,
  5: i64 run_time_ms, 6: optional i64 next_grant
}
struct TaskReport { 1: TaskName name, 2: i8 state, 3: optional Answer answer }
struct QueryAnswer { 1: i64 query, 2: string agent, 3: i64 incarnation, 4: list<TaskReport> tasks }
struct Start {
  1: i64 grant, 2: TaskName name, 3: i64 epoch, 4: string kind, 5: binary body,
  6: i64 time_left_ms, 7: i64 declared_ms, 8: i32 cpu_milli, 9: i32 memory_mib,
  10: bool named_submission, 11: i32 backlog
}
struct ReturnGrants { 1: list<i64> grants }
struct Demand { 1: i32 backlog, 2: bool overloaded }
struct Query {
  1: i64 query, 2: i64 incarnation, 3: list<TaskName> names, 4: optional binary submission,
  5: i32 task_count, 6: bool fence, 7: i64 epoch
}
struct Cancel { 1: list<TaskName> names }
struct Forget { 1: list<TaskName> names }
struct EntryHello { 1: string entry, 2: i64 incarnation, 3: i64 version }
struct ConfigRequest { }
struct ConfigSnapshot { 1: i64 version, 2: binary document }
