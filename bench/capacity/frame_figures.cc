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

/// Bytes of length and type before each payload.
constexpr std::size_t kFrameHeader = 5;

void PrintRow(const std::string& name, const frame& encoded) {
  std::printf("  %-58s %8zu\n", name.c_str(),
              encoded.payload.size() + kFrameHeader);
}

void PrintDispatchFrames(const task& work, const answer_message& answer) {
  const std::vector<task_name> names(40, work.name);
  const std::vector<grant_id> grants(kSlots, grant_id(100000));
  PrintRow("announce", EncodeAgentMessage(SampleAnnouncement(1234)));
  PrintRow("grant, 1",
           EncodeAgentMessage(grant_message{{grants[0]}, kGrantLease}));
  PrintRow("grant, 8", EncodeAgentMessage(grant_message{grants, kGrantLease}));
  PrintRow("recall", EncodeAgentMessage(recall_message{8}));
  PrintRow("answer with next grant, body 200", EncodeAgentMessage(answer));
  const task_report report{work.name, task_state::ended, answer};
  PrintRow("query_answer, 40 answers of 200",
           EncodeAgentMessage(query_answer_message{
               1, agent_id("agent-1234"), incarnation_id(1700000000000),
               std::vector<task_report>(40, report)}));
  PrintRow("start, body 200",
           EncodeEntryMessage(SampleStart(work, grant_id(100000))));
  PrintRow("return_grants, 8",
           EncodeEntryMessage(return_grants_message{grants}));
  PrintRow("demand", EncodeEntryMessage(demand_message{100, true}));
  query_message query;
  query.names = names;
  query.incarnation = incarnation_id(1700000000000);
  PrintRow("query, 40 names", EncodeEntryMessage(query));
  PrintRow("cancel, 40 names", EncodeEntryMessage(cancel_message{names}));
  PrintRow("forget, 1 name",
           EncodeEntryMessage(acknowledge_message{{work.name}}));
  PrintRow("forget, 40 names", EncodeEntryMessage(acknowledge_message{names}));
  PrintRow("entry_hello",
           EncodeEntryMessage(entry_hello_message{entry_id("entry-123"),
                                                  incarnation_id(1700000000000),
                                                  config_version(12000)}));
  PrintRow("config_request", EncodeEntryMessage(config_request_message{}));
  PrintRow(
      "config_snapshot, without its document",
      EncodeEntryMessage(config_snapshot_message{config_version(12000), ""}));
}

void PrintControlFrames(wall_time now) {
  PrintRow("heartbeat of an agent",
           EncodeControlRequest(1000, SampleHeartbeat(process_role::agent, 1)));
  PrintRow("heartbeat of an entry",
           EncodeControlRequest(1000, SampleHeartbeat(process_role::entry, 1)));
  for (const std::size_t entries : {0U, 1U, 101U}) {
    heartbeat_reply_message reply;
    reply.newest = config_version(12000);
    for (std::size_t i = 0; i < entries; ++i) {
      const auto beat = SampleHeartbeat(process_role::entry, i);
      reply.entries.push_back({entry_id(beat.id), beat.incarnation,
                               beat.data_centre, beat.peer_address});
    }
    PrintRow("heartbeat_reply, " + std::to_string(entries) + " entries",
             EncodeControlReply(1000, reply));
  }
  const ledger_claim_message claim = SampleClaim(1, now);
  PrintRow("fetch_config", EncodeControlRequest(1000, fetch_config_message{}));
  PrintRow("fetch_config_reply, without its document",
           EncodeControlReply(
               1000, fetch_config_reply_message{config_version(9), ""}));
  PrintRow("ledger_claim", EncodeControlRequest(1000, claim));
  ledger_record record;
  record.submission = claim.submission;
  record.digest = claim.digest;
  record.service = claim.service;
  record.task_count = claim.task_count;
  record.owner = claim.owner;
  record.owner_incarnation = claim.owner_incarnation;
  record.accepted = now;
  record.deadline = claim.deadline;
  PrintRow("ledger_claim_reply",
           EncodeControlReply(1000, ledger_claim_reply_message{
                                        claim_outcome::accepted, record}));
  ledger_finish_message finish;
  finish.submission = claim.submission;
  PrintRow("ledger_finish", EncodeControlRequest(1000, finish));
  PrintRow("ledger_finish_reply",
           EncodeControlReply(1000, ledger_finish_reply_message{true}));
  PrintRow("ledger_read",
           EncodeControlRequest(1000, ledger_read_message{claim.submission}));
  PrintRow("ledger_read_reply",
           EncodeControlReply(1000, ledger_read_reply_message{record}));
  PrintRow("not_leader",
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
  PrintRow("append_request, heartbeat",
           EncodeReplicaMessage(message, "almond"));
  log_entry entry;
  entry.kind = log_entry_kind::command;
  entry.command.assign(100, 'c');
  append.entries.assign(10, entry);
  message.body = append;
  PrintRow("append_request, 10 commands of 100",
           EncodeReplicaMessage(message, "almond"));
  const manual_clock clock;
  entry.command =
      EncodeCommand({clock.WallNow(), SampleClaim(1, clock.WallNow())});
  append.entries.assign(1, entry);
  message.body = append;
  PrintRow("append_request, 1 claim", EncodeReplicaMessage(message, "almond"));
  message.body = append_reply{1000000, true, 1000000};
  PrintRow("append_reply", EncodeReplicaMessage(message, "almond"));
  message.body = vote_request{};
  PrintRow("vote_request", EncodeReplicaMessage(message, "almond"));
  message.body = vote_reply{};
  PrintRow("vote_reply", EncodeReplicaMessage(message, "almond"));
  message.body = snapshot_chunk{};
  PrintRow("snapshot_chunk, without data",
           EncodeReplicaMessage(message, "almond"));
  message.body = snapshot_reply{};
  PrintRow("snapshot_reply", EncodeReplicaMessage(message, "almond"));
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
