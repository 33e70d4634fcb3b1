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

/// One run of an entry, as the owner of submissions.
struct ledger_owner {
  entry_id entry;
  incarnation_id incarnation;

  auto operator<=>(const ledger_owner&) const = default;
};

/// Limits of the ledger; the same at all replicas.
struct ledger_options {
  /// An id older than this is refused, and a record is kept at least as long.
  milliseconds window{std::chrono::minutes(10)};
  /// An id that is further in the future is refused.
  milliseconds max_future{std::chrono::minutes(1)};
  /// A later deadline does not lengthen the time that a record is kept.
  milliseconds max_deadline{std::chrono::hours(1)};
  std::size_t max_records = 500000;
  std::size_t max_detail_bytes = 256;
};

/// Submissions with an id: who owns them and how they ended. Deterministic, so
/// that all replicas hold the same; time comes with each call and never goes
/// backwards.
class ledger {
 public:
  /// Epoch of a submission that was never taken over.
  static constexpr owner_epoch kFirstEpoch{1};

  explicit ledger(ledger_options options = {});

  /// Removes the records whose window has ended.
  /// @param now the log's time; an earlier time than before is ignored
  void Advance(wall_time now);

  /// Compare-and-set on the submission's id. A resent claim (same owner
  /// incarnation, content and deadline, not taken over, still running) is
  /// accepted again. A second request at the same entry has another deadline
  /// and finds that the submission exists.
  /// @returns the reply, or nothing if the ledger is full and has no record of
  ///   this id
  std::optional<ledger_claim_reply_message> Claim(
      const ledger_claim_message& claim);

  /// Stores the end of a running submission.
  /// @returns true if this end is on record for this epoch, also for a resend
  bool Finish(const ledger_finish_message& finish);

  /// Raises the epoch of a running submission and names the new owner.
  /// @param expected epoch that the caller has seen
  /// @returns false if the submission has ended or has another epoch
  bool TakeOver(const uuid& submission, owner_epoch expected,
                const ledger_owner& successor);

  /// @returns the record, or nothing if the id is unknown or too old
  std::optional<ledger_record> Find(const uuid& submission) const;
  /// @returns owners that have running submissions
  std::vector<ledger_owner> RunningOwners() const;
  /// @param limit largest number of records
  /// @returns running submissions of the owner
  std::vector<ledger_record> Running(const ledger_owner& owner,
                                     std::size_t limit) const;
  /// @param limit largest number of records
  /// @returns running submissions that the owner took over
  std::vector<ledger_record> TakenOver(const ledger_owner& owner,
                                       std::size_t limit) const;
  std::size_t Size() const { return records_.size(); }
  /// @returns the log's time of the last call of Advance
  wall_time Now() const { return now_; }

  /// Appends the whole state, in the same order at all replicas.
  void Save(byte_writer& writer) const;
  /// Replaces the state.
  /// @returns false if the bytes are damaged
  bool Load(byte_reader& reader);

 private:
  using packed_digest = std::array<char, 32>;
  // A record in 72 bytes; a million submissions have to fit in a small process.
  struct compact_record {
    packed_digest digest{};
    std::int64_t accepted_ms = 0;
    std::int64_t deadline_ms = 0;
    std::uint32_t service = 0;
    std::uint32_t owner = 0;
    std::uint32_t detail = 0;
    std::uint32_t task_count = 0;
    std::uint32_t epoch = 0;
    ledger_state state = ledger_state::running;
    refusal_reason reason = refusal_reason::bad_request;
    run_outcome outcome = run_outcome::not_run;
  };

  static packed_digest Pack(const std::string& digest);
  std::int64_t ExpirySecond(const uuid& submission,
                            const compact_record& record) const;
  bool SameClaim(const compact_record& record,
                 const ledger_claim_message& claim) const;
  ledger_claim_reply_message ReplyToKnown(
      const compact_record& record, const ledger_claim_message& claim) const;
  ledger_record Expand(const uuid& submission,
                       const compact_record& record) const;
  void Insert(const uuid& submission, const compact_record& record);
  void Remove(const uuid& submission);
  void StopRunning(const uuid& submission, const compact_record& record);
  std::vector<ledger_record> RunningAbove(const ledger_owner& owner,
                                          owner_epoch above,
                                          std::size_t limit) const;
  void SaveRecord(const uuid& submission, byte_writer& writer) const;
  bool LoadRecords(byte_reader& reader, const std::vector<std::string>& texts,
                   const std::vector<ledger_owner>& owners);

  ledger_options options_;
  wall_time now_{};
  std::unordered_map<uuid, compact_record> records_;
  std::map<std::int64_t, std::vector<uuid>> expiries_;  // by second
  std::map<ledger_owner, std::set<uuid>> running_;
  intern_table<std::string> texts_;
  intern_table<ledger_owner> owners_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_LEDGER_H_
