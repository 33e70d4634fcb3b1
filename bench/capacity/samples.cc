#include "bench/capacity/samples.h"

#include <random>
#include <string>

namespace almond::bench {

uuid SampleId(std::uint64_t number, wall_time time) {
  std::mt19937_64 random(number);
  return uuid::MakeV7(time, random);
}

task SampleTask(std::uint64_t number, const clock_interface& clock) {
  task result;
  result.name = {SampleId(number, clock.WallNow()), 0};
  result.epoch = owner_epoch(1);
  result.service = service_id("geurmatch");
  result.team = team_id("geurproef");
  result.kind = request_kind("stock-check");
  result.body.assign(kBodyBytes, 'b');
  result.size = {milliseconds(200), 500, 256};
  result.deadline = clock.SteadyNow() + std::chrono::hours(1);
  return result;
}

announce_message SampleAnnouncement(std::size_t number) {
  announce_message result;
  result.agent = agent_id("agent-" + std::to_string(number));
  result.incarnation = incarnation_id(1700000000000 + number);
  result.data_centre = data_centre_id("nl-west-1");
  result.service = service_id("geurmatch");
  result.slots = kSlots;
  result.cpu_milli = 16000;
  result.memory_mib = 32768;
  result.controls = {true, true, true};
  result.version = config_version(12000);
  return result;
}

start_message SampleStart(const task& work, grant_id grant) {
  start_message result;
  result.grant = grant;
  result.name = work.name;
  result.epoch = work.epoch;
  result.kind = work.kind;
  result.body = work.body;
  result.time_left = milliseconds(5000);
  result.size = work.size;
  result.named_submission = work.named_submission;
  result.backlog = 100;
  return result;
}

answer_message SampleAnswer(const task_name& name, grant_id next) {
  answer_message result;
  result.name = name;
  result.outcome = start_outcome::done;
  result.status = 200;
  result.body.assign(kBodyBytes, 'a');
  result.run_time = milliseconds(200);
  result.next_grant = next;
  return result;
}

heartbeat_message SampleHeartbeat(process_role role, std::size_t number) {
  heartbeat_message result;
  const bool entry = role == process_role::entry;
  result.role = role;
  result.id = (entry ? "entry-" : "agent-") + std::to_string(10000 + number);
  result.incarnation = incarnation_id(1700000000000 + number);
  result.data_centre = data_centre_id("nl-west-1");
  if (entry) result.peer_address = "10.20.30.40:7080";
  result.http_address = "10.20.30.40:8080";
  result.version = config_version(12000);
  return result;
}

ledger_claim_message SampleClaim(std::uint64_t number, wall_time now) {
  ledger_claim_message result;
  result.submission = SampleId(number, now);
  result.digest.assign(64, 'd');
  result.service = service_id("geurmatch");
  result.task_count = 390;
  result.owner = entry_id("entry-" + std::to_string(10000 + number % 200));
  result.owner_incarnation = incarnation_id(1700000000000);
  result.deadline = now + std::chrono::seconds(60);
  return result;
}

}  // namespace almond::bench
