#ifndef ALMOND_CONTROLLERS_CONTROL_LEDGER_H_
#define ALMOND_CONTROLLERS_CONTROL_LEDGER_H_

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libalmond/controllers/control/byte_buffer.h"
#include "libalmond/controllers/control/intern_table.h"
#include "libalmond/core/clock.h"
#include "libalmond/core/control_messages.h"

namespace almond {

/// One incarnation of an entry, as the owner of submissions.
struct ledger_owner {
  entry_id entry;
  incarnation_id incarnation;

  auto operator<=>(const ledger_owner&) const = default;
};

/// Limits of the ledger; must be equal at all replicas.
struct ledger_options {
  /// An id without a record is refused if its timestamp is older than this. A
  /// record is kept for at least this time.
  milliseconds window{std::chrono::minutes(10)};
  /// An id without a record is refused if its timestamp is further ahead of the
  /// log time than this.
  milliseconds max_future{std::chrono::minutes(1)};
  /// A record is kept as if the submission's deadline were at most this time
  /// after its acceptance.
  milliseconds max_deadline{std::chrono::hours(1)};
  std::size_t max_records = 500000;
  std::size_t max_detail_bytes = 256;
};

/// Records the owner and the end state of each submission that has an id.
/// Deterministic, so that all replicas hold the same state: it uses no clock
/// but the log time passed to Advance, which never goes backwards.
class ledger {
 public:
  /// Epoch of a submission that has not been taken over.
  static constexpr owner_epoch kFirstEpoch{1};

  explicit ledger(ledger_options options = {});

  /// Advances the log time and removes expired records.
  /// @param now log time; ignored if it is earlier than the current one
  void Advance(wall_time now);

  /// Records the claimant as the owner unless the id has a record. A resent
  /// claim (same owner incarnation, content and deadline; not taken over and
  /// still running) is accepted again. A second request at the same entry has
  /// another deadline and is answered `exists`.
  /// @returns the reply, or nothing if the ledger is full and has no record of
  ///   this id
  std::optional<ledger_claim_reply_message> Claim(
      const ledger_claim_message& claim);

  /// Records the end state of a running submission.
  /// @returns true if this end state is recorded for this epoch, also when it
  ///   already was (a resend)
  bool Finish(const ledger_finish_message& finish);

  /// Transfers a running submission to a new owner and increments its epoch.
  /// @param expected epoch that the caller has read
  /// @returns false if the submission is unknown, has ended or has another
  ///   epoch
  bool TakeOver(const uuid& submission, owner_epoch expected,
                const ledger_owner& successor);

  /// @returns the record, or nothing if the id is unknown or has expired
  std::optional<ledger_record> Find(const uuid& submission) const;
  /// @returns the owners of running submissions
  std::vector<ledger_owner> RunningOwners() const;
  /// @param limit maximum number of records
  /// @returns running submissions of the owner
  std::vector<ledger_record> Running(const ledger_owner& owner,
                                     std::size_t limit) const;
  /// @param limit maximum number of records
  /// @returns running submissions that the owner has taken over
  std::vector<ledger_record> TakenOver(const ledger_owner& owner,
                                       std::size_t limit) const;
  std::size_t Size() const { return records_.size(); }
  /// @returns the log time, see Advance
  wall_time Now() const { return now_; }

  /// Serializes the complete state, in the same order at all replicas.
  void Save(byte_writer& writer) const;
  /// Replaces the state.
  /// @returns false if the bytes are malformed
  bool Load(byte_reader& reader);

 private:
  using packed_digest = std::array<char, 32>;
  using record_time = std::chrono::time_point<wall_time::clock, milliseconds>;
  using expiry_second =
      std::chrono::time_point<wall_time::clock, std::chrono::seconds>;
  // A record packed into 72 bytes, so that a million submissions fit into a
  // small process.
  struct compact_record {
    packed_digest digest{};
    record_time accepted;
    record_time deadline;
    std::uint32_t service = 0;
    std::uint32_t owner = 0;
    std::uint32_t detail = 0;
    std::uint32_t task_count = 0;
    std::uint32_t epoch = 0;
    ledger_state state = ledger_state::running;
    refusal_reason reason = refusal_reason::bad_request;
    run_outcome outcome = run_outcome::not_run;
  };

  static packed_digest PackDigest(const std::string& digest);
  expiry_second ExpirySecond(const uuid& submission,
                             const compact_record& record) const;
  bool IsResend(const compact_record& record,
                const ledger_claim_message& claim) const;
  ledger_claim_reply_message ReplyToExisting(
      const compact_record& record, const ledger_claim_message& claim) const;
  ledger_record MakeRecord(const uuid& submission,
                           const compact_record& record) const;
  void Insert(const uuid& submission, const compact_record& record);
  void Remove(const uuid& submission);
  void RemoveFromRunning(const uuid& submission, const compact_record& record);
  std::vector<ledger_record> RunningWithEpochAbove(const ledger_owner& owner,
                                                   owner_epoch above,
                                                   std::size_t limit) const;
  void SaveRecord(const uuid& submission, byte_writer& writer) const;
  bool LoadRecords(byte_reader& reader, const std::vector<std::string>& texts,
                   const std::vector<ledger_owner>& owners);

  ledger_options options_;
  wall_time now_{};
  std::unordered_map<uuid, compact_record> records_;
  // Ids of the records by the second of their expiry, in Unix time.
  std::map<expiry_second, std::vector<uuid>> expiries_;
  std::map<ledger_owner, std::set<uuid>> running_;
  intern_table<std::string> texts_;
  intern_table<ledger_owner> owners_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_LEDGER_H_
