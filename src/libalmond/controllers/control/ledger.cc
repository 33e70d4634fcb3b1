#include "libalmond/controllers/control/ledger.h"

#include <algorithm>
#include <utility>

#include "libalmond/core/digest.h"

namespace almond {
namespace {

template <typename Time>
void SaveTime(Time time, byte_writer& writer) {
  writer.Number(static_cast<std::uint64_t>(time.time_since_epoch().count()));
}

template <typename Time>
Time LoadTime(byte_reader& reader) {
  return Time(
      typename Time::duration(static_cast<std::int64_t>(reader.Number())));
}

// Returns the value of a lower-case hexadecimal digit, or -1.
int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  return -1;
}

std::string ToHex(const std::array<char, 32>& bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    text.push_back(kDigits[static_cast<std::uint8_t>(byte) >> 4U]);
    text.push_back(kDigits[static_cast<std::uint8_t>(byte) & 0xFU]);
  }
  return text;
}

template <typename Value>
std::vector<Value> LoadTable(byte_reader& reader, Value (*read)(byte_reader&)) {
  std::vector<Value> values;
  const std::uint64_t count = reader.Number();
  for (std::uint64_t i = 0; i < count && reader.Ok(); ++i) {
    values.push_back(read(reader));
  }
  return values;
}

ledger_owner LoadOwner(byte_reader& reader) {
  ledger_owner owner;
  owner.entry = entry_id(reader.Text());
  owner.incarnation = incarnation_id(reader.Number());
  return owner;
}

}  // namespace

ledger::ledger(ledger_options options) : options_(options) {}

void ledger::Advance(wall_time now) {
  now_ = std::max(now_, now);
  const auto expired_until = std::chrono::floor<milliseconds>(now_);
  while (!expiries_.empty() && expiries_.begin()->first <= expired_until) {
    for (const uuid& submission : expiries_.begin()->second) Remove(submission);
    expiries_.erase(expiries_.begin());
  }
}

std::optional<ledger_claim_reply_message> ledger::Claim(
    const ledger_claim_message& claim) {
  if (const auto known = records_.find(claim.submission);
      known != records_.end()) {
    return ReplyToExisting(known->second, claim);
  }
  const wall_time id_time = claim.submission.Timestamp();
  // Only version 7 ids carry a timestamp; without one the window cannot bound
  // the age of the id.
  if (!claim.submission.IsV7() || id_time > now_ + options_.max_future) {
    return ledger_claim_reply_message{claim_outcome::too_new, {}};
  }
  if (id_time + options_.window <= now_) {
    return ledger_claim_reply_message{claim_outcome::expired, {}};
  }
  if (records_.size() >= options_.max_records) return std::nullopt;
  compact_record record;
  record.digest = PackDigest(claim.digest);
  record.accepted = std::chrono::floor<milliseconds>(now_);
  record.deadline = std::chrono::floor<milliseconds>(claim.deadline);
  record.service = texts_.Acquire(claim.service.Value());
  record.owner = owners_.Acquire({claim.owner, claim.owner_incarnation});
  record.detail = texts_.Acquire("");
  record.task_count = claim.task_count;
  record.epoch = static_cast<std::uint32_t>(kFirstEpoch.Value());
  Insert(claim.submission, record);
  return ledger_claim_reply_message{claim_outcome::accepted,
                                    MakeRecord(claim.submission, record)};
}

bool ledger::Finish(const ledger_finish_message& finish) {
  const auto known = records_.find(finish.submission);
  if (known == records_.end() || finish.state == ledger_state::running) {
    return false;
  }
  compact_record& record = known->second;
  if (finish.epoch.Value() != record.epoch) return false;
  if (record.state != ledger_state::running) {
    return record.state == finish.state &&
           (record.state == ledger_state::complete ||
            record.reason == finish.failure.reason);
  }
  RemoveFromRunning(finish.submission, record);
  record.state = finish.state;
  if (finish.state == ledger_state::complete) return true;
  record.reason = finish.failure.reason;
  record.outcome = finish.failure.outcome;
  texts_.Release(record.detail);
  record.detail = texts_.Acquire(
      finish.failure.detail.substr(0, options_.max_detail_bytes));
  return true;
}

bool ledger::TakeOver(const uuid& submission, owner_epoch expected,
                      const ledger_owner& successor) {
  const auto known = records_.find(submission);
  if (known == records_.end()) return false;
  compact_record& record = known->second;
  if (record.state != ledger_state::running ||
      record.epoch != expected.Value()) {
    return false;
  }
  RemoveFromRunning(submission, record);
  owners_.Release(record.owner);
  record.owner = owners_.Acquire(successor);
  ++record.epoch;
  running_[successor].insert(submission);
  return true;
}

std::optional<ledger_record> ledger::Find(const uuid& submission) const {
  const auto known = records_.find(submission);
  if (known == records_.end()) return std::nullopt;
  return MakeRecord(submission, known->second);
}

std::vector<ledger_owner> ledger::RunningOwners() const {
  std::vector<ledger_owner> owners;
  for (const auto& [owner, submissions] : running_) owners.push_back(owner);
  return owners;
}

std::vector<ledger_record> ledger::Running(const ledger_owner& owner,
                                           std::size_t limit) const {
  return RunningWithEpochAbove(owner, owner_epoch(0), limit);
}

std::vector<ledger_record> ledger::TakenOver(const ledger_owner& owner,
                                             std::size_t limit) const {
  return RunningWithEpochAbove(owner, kFirstEpoch, limit);
}

void ledger::Save(byte_writer& writer) const {
  writer.Reserve(records_.size() * 96);
  writer.Time(now_);
  writer.Number(texts_.RowCount());
  for (std::uint32_t i = 0; i < texts_.RowCount(); ++i) {
    writer.Text(texts_.IsUsed(i) ? texts_.At(i) : std::string());
  }
  writer.Number(owners_.RowCount());
  for (std::uint32_t i = 0; i < owners_.RowCount(); ++i) {
    const ledger_owner owner =
        owners_.IsUsed(i) ? owners_.At(i) : ledger_owner();
    writer.Text(owner.entry.Value());
    writer.Number(owner.incarnation);
  }
  writer.Number(records_.size());
  for (const auto& [second, submissions] : expiries_) {
    for (const uuid& submission : submissions) SaveRecord(submission, writer);
  }
}

bool ledger::Load(byte_reader& reader) {
  *this = ledger(options_);
  now_ = reader.Time();
  const auto texts = LoadTable<std::string>(
      reader, [](byte_reader& source) { return source.Text(); });
  const auto owners = LoadTable<ledger_owner>(reader, LoadOwner);
  return reader.Ok() && LoadRecords(reader, texts, owners);
}

ledger::packed_digest ledger::PackDigest(const std::string& digest) {
  packed_digest packed{};
  if (digest.size() != packed.size() * 2) return PackDigest(Sha256({digest}));
  for (std::size_t i = 0; i < packed.size(); ++i) {
    const int high = HexValue(digest[2 * i]);
    const int low = HexValue(digest[2 * i + 1]);
    if (high < 0 || low < 0) return PackDigest(Sha256({digest}));
    packed[i] = static_cast<char>(high * 16 + low);
  }
  return packed;
}

ledger::expiry_second ledger::ExpirySecond(const uuid& submission,
                                           const compact_record& record) const {
  // An id whose timestamp is ahead of the log time would be accepted again
  // until that timestamp leaves the window, so the record is kept at least that
  // long.
  const auto id_time = std::chrono::floor<milliseconds>(submission.Timestamp());
  const auto deadline =
      std::min(record.deadline, record.accepted + options_.max_deadline);
  return std::chrono::ceil<std::chrono::seconds>(
      std::max({record.accepted, id_time, deadline}) + options_.window);
}

bool ledger::IsResend(const compact_record& record,
                      const ledger_claim_message& claim) const {
  const ledger_owner& owner = owners_.At(record.owner);
  return record.state == ledger_state::running &&
         record.epoch == kFirstEpoch.Value() && owner.entry == claim.owner &&
         owner.incarnation == claim.owner_incarnation &&
         record.deadline == std::chrono::floor<milliseconds>(claim.deadline);
}

ledger_claim_reply_message ledger::ReplyToExisting(
    const compact_record& record, const ledger_claim_message& claim) const {
  if (record.digest != PackDigest(claim.digest) ||
      texts_.At(record.service) != claim.service.Value() ||
      record.task_count != claim.task_count) {
    return {claim_outcome::conflict, {}};
  }
  return {
      IsResend(record, claim) ? claim_outcome::accepted : claim_outcome::exists,
      MakeRecord(claim.submission, record)};
}

ledger_record ledger::MakeRecord(const uuid& submission,
                                 const compact_record& record) const {
  const ledger_owner& owner = owners_.At(record.owner);
  ledger_record result;
  result.submission = submission;
  result.digest = ToHex(record.digest);
  result.service = service_id(texts_.At(record.service));
  result.task_count = record.task_count;
  result.owner = owner.entry;
  result.owner_incarnation = owner.incarnation;
  result.epoch = owner_epoch(record.epoch);
  result.state = record.state;
  result.failure = {record.reason, record.outcome, texts_.At(record.detail)};
  result.accepted = record.accepted;
  result.deadline = record.deadline;
  return result;
}

void ledger::Insert(const uuid& submission, const compact_record& record) {
  records_[submission] = record;
  expiries_[ExpirySecond(submission, record)].push_back(submission);
  if (record.state == ledger_state::running) {
    running_[owners_.At(record.owner)].insert(submission);
  }
}

void ledger::Remove(const uuid& submission) {
  const auto known = records_.find(submission);
  if (known == records_.end()) return;
  const compact_record& record = known->second;
  RemoveFromRunning(submission, record);
  texts_.Release(record.service);
  texts_.Release(record.detail);
  owners_.Release(record.owner);
  records_.erase(known);
}

void ledger::RemoveFromRunning(const uuid& submission,
                               const compact_record& record) {
  const auto owned = running_.find(owners_.At(record.owner));
  if (owned == running_.end()) return;
  owned->second.erase(submission);
  if (owned->second.empty()) running_.erase(owned);
}

std::vector<ledger_record> ledger::RunningWithEpochAbove(
    const ledger_owner& owner, owner_epoch above, std::size_t limit) const {
  std::vector<ledger_record> result;
  const auto owned = running_.find(owner);
  if (owned == running_.end()) return result;
  for (const uuid& submission : owned->second) {
    if (result.size() >= limit) break;
    const compact_record& record = records_.at(submission);
    if (record.epoch > above.Value()) {
      result.push_back(MakeRecord(submission, record));
    }
  }
  return result;
}

void ledger::SaveRecord(const uuid& submission, byte_writer& writer) const {
  const compact_record& record = records_.at(submission);
  writer.Id(submission);
  writer.Raw({record.digest.data(), record.digest.size()});
  SaveTime(record.accepted, writer);
  SaveTime(record.deadline, writer);
  writer.Number(record.service);
  writer.Number(record.owner);
  writer.Number(record.detail);
  writer.Number(record.task_count);
  writer.Number(record.epoch);
  writer.Number(static_cast<std::uint64_t>(record.state));
  writer.Number(static_cast<std::uint64_t>(record.reason));
  writer.Number(static_cast<std::uint64_t>(record.outcome));
}

bool ledger::LoadRecords(byte_reader& reader,
                         const std::vector<std::string>& texts,
                         const std::vector<ledger_owner>& owners) {
  const std::uint64_t count = reader.Number();
  for (std::uint64_t i = 0; i < count; ++i) {
    const uuid submission = reader.Id();
    compact_record record;
    const std::string_view digest = reader.Raw(record.digest.size());
    std::copy(digest.begin(), digest.end(), record.digest.begin());
    record.accepted = LoadTime<decltype(record.accepted)>(reader);
    record.deadline = LoadTime<decltype(record.deadline)>(reader);
    const std::uint64_t service = reader.Number();
    const std::uint64_t owner = reader.Number();
    const std::uint64_t detail = reader.Number();
    record.task_count = reader.Number32();
    record.epoch = reader.Number32();
    record.state = reader.Enumerator(ledger_state::failed);
    record.reason = reader.Enumerator(refusal_reason::answer_lost);
    record.outcome = reader.Enumerator(run_outcome::unknown);
    if (!reader.Ok() || service >= texts.size() || detail >= texts.size() ||
        owner >= owners.size()) {
      return false;
    }
    record.service = texts_.Acquire(texts[service]);
    record.owner = owners_.Acquire(owners[owner]);
    record.detail = texts_.Acquire(texts[detail]);
    Insert(submission, record);
  }
  return true;
}

}  // namespace almond
