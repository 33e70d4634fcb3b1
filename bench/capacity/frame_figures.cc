#include <cstdio>
#include <string>
#include <vector>

#include "bench/capacity/figures.h"
#include "bench/capacity/samples.h"
#include "libalmond/controllers/control/command_codec.h"
#include "libalmond/wire/control_codec.h"
#include "libalmond/wire/dispatch_codec.h"
#include "libalmond/wire/replication_codec.h"

namespace almond::bench {
namespace {

/// Length and type in front of each payload.
constexpr std::size_t kFrameHeader = 5;

void Row(const std::string& name, const frame& encoded) {
  std::printf("  %-58s %8zu\n", name.c_str(),
              encoded.payload.size() + kFrameHeader);
}

void PrintDispatchFrames(const task& work, const answer_message& answer) {
  const std::vector<task_name> names(40, work.name);
  const std::vector<grant_id> grants(kSlots, grant_id(100000));
  Row("announce", EncodeAgentMessage(SampleAnnouncement(1234)));
  Row("grant, 1", EncodeAgentMessage(grant_message{{grants[0]}, kGrantLease}));
  Row("grant, 8", EncodeAgentMessage(grant_message{grants, kGrantLease}));
  Row("recall", EncodeAgentMessage(recall_message{8}));
  Row("answer with next grant, body 200", EncodeAgentMessage(answer));
  const task_report report{work.name, task_state::ended, answer};
  Row("query_answer, 40 answers of 200",
      EncodeAgentMessage(query_answer_message{
          1, agent_id("agent-1234"), incarnation_id(1700000000000),
          std::vector<task_report>(40, report)}));
  Row("start, body 200",
      EncodeEntryMessage(SampleStart(work, grant_id(100000))));
  Row("return_grants, 8", EncodeEntryMessage(return_grants_message{grants}));
  Row("demand", EncodeEntryMessage(demand_message{100, true}));
  query_message query;
  query.names = names;
  query.incarnation = incarnation_id(1700000000000);
  Row("query, 40 names", EncodeEntryMessage(query));
  Row("cancel, 40 names", EncodeEntryMessage(cancel_message{names}));
  Row("forget, 1 name", EncodeEntryMessage(acknowledge_message{{work.name}}));
  Row("forget, 40 names", EncodeEntryMessage(acknowledge_message{names}));
  Row("entry_hello", EncodeEntryMessage(entry_hello_message{
                         entry_id("entry-123"), incarnation_id(1700000000000),
                         config_version(12000)}));
  Row("config_request", EncodeEntryMessage(config_request_message{}));
  Row("config_snapshot, without its document",
      EncodeEntryMessage(config_snapshot_message{config_version(12000), ""}));
}

void PrintControlFrames(wall_time now) {
  Row("heartbeat of an agent",
      EncodeControlRequest(1000, SampleHeartbeat(process_role::agent, 1)));
  Row("heartbeat of an entry",
      EncodeControlRequest(1000, SampleHeartbeat(process_role::entry, 1)));
  for (const std::size_t entries : {0U, 1U, 101U}) {
    heartbeat_reply_message reply;
    reply.newest = config_version(12000);
    for (std::size_t i = 0; i < entries; ++i) {
      const auto beat = SampleHeartbeat(process_role::entry, i);
      reply.entries.push_back({entry_id(beat.id), beat.incarnation,
                               beat.data_centre, beat.peer_address});
    }
    Row("heartbeat_reply, " + std::to_string(entries) + " entries",
        EncodeControlReply(1000, reply));
  }
  const ledger_claim_message claim = SampleClaim(1, now);
  Row("fetch_config", EncodeControlRequest(1000, fetch_config_message{}));
  Row("fetch_config_reply, without its document",
      EncodeControlReply(1000,
                         fetch_config_reply_message{config_version(9), ""}));
  Row("ledger_claim", EncodeControlRequest(1000, claim));
  ledger_record record;
  record.submission = claim.submission;
  record.digest = claim.digest;
  record.service = claim.service;
  record.task_count = claim.task_count;
  record.owner = claim.owner;
  record.owner_incarnation = claim.owner_incarnation;
  record.accepted = now;
  record.deadline = claim.deadline;
  Row("ledger_claim_reply",
      EncodeControlReply(
          1000, ledger_claim_reply_message{claim_outcome::accepted, record}));
  ledger_finish_message finish;
  finish.submission = claim.submission;
  Row("ledger_finish", EncodeControlRequest(1000, finish));
  Row("ledger_finish_reply",
      EncodeControlReply(1000, ledger_finish_reply_message{true}));
  Row("ledger_read",
      EncodeControlRequest(1000, ledger_read_message{claim.submission}));
  Row("ledger_read_reply",
      EncodeControlReply(1000, ledger_read_reply_message{record}));
  Row("not_leader",
      EncodeControlReply(1000, not_leader_message{"10.20.30.40:7070"}));
}

void PrintReplicaFrames() {
  replica_message message;
  message.from = replica_id("c1");
  message.to = replica_id("c2");
  message.term = 7;
  append_request append;
  append.previous_index = 1000000;
  append.commit_index = 1000000;
  message.body = append;
  Row("append_request, heartbeat", EncodeReplicaMessage(message, "almond"));
  log_entry entry;
  entry.kind = log_entry_kind::command;
  entry.command.assign(100, 'c');
  append.entries.assign(10, entry);
  message.body = append;
  Row("append_request, 10 commands of 100",
      EncodeReplicaMessage(message, "almond"));
  const manual_clock clock;
  entry.command =
      EncodeCommand({clock.WallNow(), SampleClaim(1, clock.WallNow())});
  append.entries.assign(1, entry);
  message.body = append;
  Row("append_request, 1 claim", EncodeReplicaMessage(message, "almond"));
  message.body = append_reply{1000000, true, 1000000};
  Row("append_reply", EncodeReplicaMessage(message, "almond"));
  message.body = vote_request{};
  Row("vote_request", EncodeReplicaMessage(message, "almond"));
  message.body = vote_reply{};
  Row("vote_reply", EncodeReplicaMessage(message, "almond"));
  message.body = snapshot_chunk{};
  Row("snapshot_chunk, without data", EncodeReplicaMessage(message, "almond"));
  message.body = snapshot_reply{};
  Row("snapshot_reply", EncodeReplicaMessage(message, "almond"));
}

}  // namespace

void PrintFrames(std::size_t /*repeats*/) {
  const manual_clock clock;
  const task work = SampleTask(1, clock);
  std::printf("  %-58s %8s\n", "message", "bytes");
  PrintDispatchFrames(work, SampleAnswer(work.name, grant_id(100000)));
  PrintControlFrames(clock.WallNow());
  PrintReplicaFrames();
}

}  // namespace almond::bench
