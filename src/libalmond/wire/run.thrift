// Messages between an entry and an agent about runs, which are placed by free
// resources. Times are milliseconds.
namespace cpp almond.wire

struct Room { 1: i64 cpu_milli, 2: i64 memory_mib, 3: i64 accelerators }
struct RunKey { 1: string job, 2: i32 occurrence, 3: i32 step, 4: i32 task_index, 5: i32 run }
struct RunStart {
  1: string endpoint, 2: RunKey key, 3: string service_name, 4: binary spec, 5: Room needed,
  6: i64 heard, 7: i64 order, 8: i64 slack_ms, 9: bool begun,
  10: i32 priority, 11: i64 estimate_ms
}
struct RunStop { 1: string endpoint, 2: RunKey key }
struct RunWithdraw { 1: string endpoint, 2: RunKey key }
struct EndpointState {
  1: string endpoint, 2: string service_name, 3: string data_centre, 4: Room total, 5: Room unused,
  6: bool accepting, 7: i64 stamp, 8: i64 orders_seen, 9: i32 waiting,
  10: i32 waiting_priority, 11: i64 cold_ms
}
struct RunEnd { 1: string endpoint, 2: RunKey key, 3: i8 kind, 4: i64 ran_ms }
