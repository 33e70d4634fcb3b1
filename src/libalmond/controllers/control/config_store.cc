#include "libalmond/controllers/control/config_store.h"

#include <algorithm>
#include <utility>

namespace almond {

change_result config_store::Apply(wall_time now, const config_change& change) {
  if (const auto known = change_ids_.find(change.change_id);
      known != change_ids_.end()) {
    const std::string digest = Digest(known->second);
    return {digest == change.digest ? change_outcome::accepted
                                    : change_outcome::change_id_conflict,
            known->second, digest};
  }
  if (change.expected != newest_) {
    return {change_outcome::version_conflict, newest_, Digest(newest_)};
  }
  Accept(now, change.document,
         {newest_.Next(), change.digest, change.change_id, now});
  return {change_outcome::accepted, newest_, change.digest};
}

change_result config_store::Apply(wall_time now,
                                  const versioned_config& config) {
  if (config.version <= newest_) {
    return {change_outcome::not_newer, newest_, Digest(newest_)};
  }
  Accept(now, config.document, {config.version, config.digest, {}, now});
  return {change_outcome::accepted, newest_, config.digest};
}

const std::string* config_store::Document(config_version version) const {
  const auto found = Find(version);
  if (found == changes_.end()) return nullptr;
  const auto age = static_cast<std::size_t>(changes_.end() - found);
  return age <= documents_.size() ? &documents_[documents_.size() - age]
                                  : nullptr;
}

std::string config_store::Digest(config_version version) const {
  const auto found = Find(version);
  return found == changes_.end() ? "" : found->digest;
}

std::vector<config_history_entry> config_store::History() const {
  const std::size_t count = std::min(changes_.size(), kMaxHistoryEntries);
  return {changes_.end() - static_cast<std::ptrdiff_t>(count), changes_.end()};
}

void config_store::Save(byte_writer& writer) const {
  writer.Number(newest_);
  writer.Number(documents_.size());
  for (const std::string& document : documents_) writer.Text(document);
  writer.Number(changes_.size());
  for (const config_history_entry& change : changes_) {
    writer.Number(change.version);
    writer.Text(change.digest);
    writer.Id(change.change_id);
    writer.Time(change.accepted);
  }
}

bool config_store::Load(byte_reader& reader) {
  *this = config_store();
  newest_ = config_version(reader.Number());
  const std::uint64_t documents = reader.Number();
  for (std::uint64_t i = 0; i < documents && reader.Ok(); ++i) {
    documents_.push_back(reader.Text());
  }
  const std::uint64_t changes = reader.Number();
  for (std::uint64_t i = 0; i < changes && reader.Ok(); ++i) {
    config_history_entry entry;
    entry.version = config_version(reader.Number());
    entry.digest = reader.Text();
    entry.change_id = reader.Id();
    entry.accepted = reader.Time();
    AppendHistory(std::move(entry));
  }
  return reader.Ok();
}

std::deque<config_history_entry>::const_iterator config_store::Find(
    config_version version) const {
  const auto found = std::lower_bound(
      changes_.begin(), changes_.end(), version,
      [](const config_history_entry& change, config_version sought) {
        return change.version < sought;
      });
  return found != changes_.end() && found->version == version ? found
                                                              : changes_.end();
}

void config_store::Accept(wall_time now, const std::string& document,
                          config_history_entry entry) {
  newest_ = entry.version;
  documents_.push_back(document);
  if (documents_.size() > kMaxDocuments) documents_.pop_front();
  AppendHistory(std::move(entry));
  TrimHistory(now);
}

void config_store::AppendHistory(config_history_entry entry) {
  // A versioned configuration has no change id.
  if (entry.change_id != uuid()) change_ids_[entry.change_id] = entry.version;
  changes_.push_back(std::move(entry));
}

void config_store::TrimHistory(wall_time now) {
  while (changes_.size() > kMinChangeIds &&
         (changes_.size() > kMaxChangeIds ||
          now - changes_.front().accepted > kChangeIdRetention)) {
    change_ids_.erase(changes_.front().change_id);
    changes_.pop_front();
  }
}

}  // namespace almond
