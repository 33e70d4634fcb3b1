#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bench/capacity/figures.h"
#include "bench/capacity/samples.h"
#include "bench/capacity/slope.h"
#include "libalmond/controllers/control/command_codec.h"
#include "libalmond/controllers/control/control_service.h"
#include "libalmond/controllers/control/control_state_machine.h"
#include "libalmond/wire/control_codec.h"

namespace almond::bench {
namespace {

std::string ClaimCommand(std::uint64_t number, wall_time now) {
  return EncodeCommand({now, SampleClaim(number, now)});
}

std::string FinishCommand(std::uint64_t number, wall_time now) {
  ledger_finish_message finish;
  finish.submission = SampleId(number, now);
  finish.epoch = ledger::kFirstEpoch;
  finish.state = ledger_state::complete;
  return EncodeCommand({now, finish});
}

void Claim(control_state_machine& machine, std::size_t count, wall_time now) {
  for (std::size_t i = 0; i < count; ++i) {
    (void)machine.Apply(ClaimCommand(i, now));
  }
}

/// Measures the cost of a step on a ledger with `size` running records.
/// @param step returns the number of bytes to report
measurement MeasureOnLedger(
    std::size_t size,
    const std::function<double(control_state_machine&)>& step) {
  const manual_clock clock;
  control_state_machine machine;
  Claim(machine, size, clock.WallNow());
  const cost_meter used;
  const double bytes = step(machine);
  return {used.Read().processor, bytes};
}

/// The service of a control leader whose reads are confirmed immediately.
class leader_bench {
 public:
  leader_bench() {
    control_service::hooks hooks;
    hooks.propose = [](const std::string& /*command*/,
                       const proposal_hook& /*result*/) {};
    hooks.confirm_read = [](const read_hook& confirmed) { confirmed(true); };
    hooks.is_leader = [] { return true; };
    hooks.leader_address = [] { return std::string(); };
    hooks.defer = [](const std::function<void()>& call) { call(); };
    hooks.check = [](const config_document& /*document*/) {
      return std::vector<config_error>();
    };
    service_ = std::make_unique<control_service>(clock_, machine_, metrics_,
                                                 std::move(hooks));
    service_->UpdateLeadership();
  }

  /// Sends the heartbeat of process `number` through the codec.
  /// @returns bytes of the reply's payload
  std::size_t SendHeartbeat(process_role role, std::size_t number) {
    const frame request =
        EncodeControlRequest(number, SampleHeartbeat(role, number));
    const auto decoded = DecodeControlRequest(request);
    std::size_t bytes = 0;
    service_->Handle(decoded->body, [&bytes](const control_reply& reply) {
      bytes = EncodeControlReply(1, reply).payload.size();
    });
    return bytes;
  }

  void SendAllHeartbeats(std::size_t entries, std::size_t agents) {
    for (std::size_t i = 0; i < entries; ++i) {
      SendHeartbeat(process_role::entry, i);
    }
    for (std::size_t i = 0; i < agents; ++i) {
      SendHeartbeat(process_role::agent, i);
    }
  }

  void Tick() { service_->Tick(); }
  control_state_machine& Machine() { return machine_; }
  wall_time Now() const { return clock_.WallNow(); }

 private:
  manual_clock clock_;
  control_state_machine machine_;
  metrics_registry metrics_;
  std::unique_ptr<control_service> service_;
};

/// Measures 100 heartbeats of agents with a directory of the given size.
measurement MeasureHundredHeartbeats(std::size_t entries, std::size_t agents) {
  leader_bench leader;
  leader.SendAllHeartbeats(entries, agents);
  const cost_meter used;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < 100; ++i) {
    bytes = leader.SendHeartbeat(process_role::agent, i);
  }
  return {used.Read().processor, static_cast<double>(bytes)};
}

}  // namespace

void PrintLedger(std::size_t repeats) {
  const std::vector<std::size_t> sizes = {50000, 150000, 450000};
  PrintSlope("ledger: claim with its command's codec, by record", sizes,
             repeats, [](std::size_t size) {
               const manual_clock clock;
               control_state_machine machine;
               const cost_meter used;
               Claim(machine, size, clock.WallNow());
               return used.Read();
             });
  PrintSlope("ledger: finish, by record; bytes of its command", sizes, repeats,
             [](std::size_t size) {
               return MeasureOnLedger(
                   size, [size](control_state_machine& machine) {
                     const manual_clock clock;
                     std::size_t bytes = 0;
                     for (std::size_t i = 0; i < size; ++i) {
                       const auto command = FinishCommand(i, clock.WallNow());
                       bytes = command.size();
                       (void)machine.Apply(command);
                     }
                     return static_cast<double>(bytes);
                   });
             });
  PrintSlope("ledger: snapshot, by record; bytes of the snapshot", sizes,
             repeats, [](std::size_t size) {
               return MeasureOnLedger(size, [](control_state_machine& machine) {
                 return static_cast<double>(machine.Snapshot().size());
               });
             });
  PrintSlope("ledger: restore of a snapshot, by record", sizes, repeats,
             [](std::size_t size) {
               const manual_clock clock;
               std::string bytes;
               {
                 control_state_machine machine;
                 Claim(machine, size, clock.WallNow());
                 bytes = machine.Snapshot();
               }
               control_state_machine copy;
               const cost_meter used;
               (void)copy.Restore(bytes);
               return used.Read();
             });
}

void PrintHeartbeats(std::size_t repeats) {
  PrintSlope("directory: first heartbeat, by agent; 4 entries",
             {1000, 2000, 4000}, repeats, [](std::size_t size) {
               leader_bench leader;
               const cost_meter used;
               leader.SendAllHeartbeats(4, size);
               return used.Read();
             });
  PrintSlope(
      "leader: 100 heartbeats with codec, by agent in the directory; 64 "
      "entries; bytes of one reply",
      {1000, 2000, 4000}, repeats,
      [](std::size_t size) { return MeasureHundredHeartbeats(64, size); });
  PrintSlope(
      "leader: 100 heartbeats with codec, by entry in the directory; 4000 "
      "agents; bytes of one reply",
      {16, 64, 256, 512}, repeats,
      [](std::size_t size) { return MeasureHundredHeartbeats(size, 4000); });
  PrintSlope(
      "leader: 100 heartbeats of one owner, by its running submission",
      {100, 1000, 10000}, repeats, [](std::size_t size) {
        leader_bench leader;
        leader.SendAllHeartbeats(1, 0);
        for (std::size_t i = 0; i < size; ++i) {
          ledger_claim_message claim = SampleClaim(i, leader.Now());
          const heartbeat_message owner =
              SampleHeartbeat(process_role::entry, 0);
          claim.owner = entry_id(owner.id);
          claim.owner_incarnation = owner.incarnation;
          (void)leader.Machine().Apply(EncodeCommand({leader.Now(), claim}));
        }
        const cost_meter used;
        std::size_t bytes = 0;
        for (int i = 0; i < 100; ++i) {
          bytes = leader.SendHeartbeat(process_role::entry, 0);
        }
        return measurement{used.Read().processor, static_cast<double>(bytes)};
      });
}

}  // namespace almond::bench
