#include "libalmond/processes/replica_host_storage.h"

#include <boost/leaf.hpp>
#include <random>
#include <utility>

#include "libalmond/storage/checksummed_file.h"
#include "libalmond/wire/replication_records.h"

namespace almond {
namespace {

namespace leaf = boost::leaf;

/// State rebuilt from the records of a log file.
struct log_content {
  vote_record vote;
  log_base_record base;
  std::vector<log_entry> entries;

  bool Apply(const vote_record& record) {
    vote = record;
    return true;
  }
  bool Apply(const log_base_record& record) {
    base = record;
    entries.clear();
    return true;
  }
  bool Apply(const log_entry_record& record) {
    if (record.index <= base.index ||
        record.index > base.index + entries.size() + 1) {
      return false;
    }
    entries.resize(record.index - base.index - 1);
    entries.push_back(record.entry);
    return true;
  }
  log_index LastIndex() const { return base.index + entries.size(); }
  log_term TermAt(log_index index) const {
    return index == base.index ? base.term
                               : entries[index - base.index - 1].term;
  }
};

leaf::error_id CorruptionError(const std::string& file,
                               const std::string& message) {
  return leaf::new_error(storage_error{file, 0, message});
}

leaf::result<log_content> ReadLog(const std::string& path,
                                  const std::vector<std::string>& records) {
  log_content content;
  for (const std::string& bytes : records) {
    auto record = DecodeLogRecord(bytes);
    if (!record ||
        !std::visit([&](const auto& body) { return content.Apply(body); },
                    *record)) {
      return CorruptionError(path,
                             "unknown record type or gap in the log indexes");
    }
  }
  return content;
}

leaf::result<std::shared_ptr<const replica_snapshot>> ReadSnapshot(
    const std::string& path) {
  std::shared_ptr<const replica_snapshot> none;
  BOOST_LEAF_AUTO(content, checksummed_file::Read(path));
  if (!content) return none;
  auto snapshot = DecodeSnapshot(*content);
  if (!snapshot) return CorruptionError(path, "not a valid log snapshot");
  return std::make_shared<const replica_snapshot>(std::move(*snapshot));
}

leaf::result<persistent_state> BuildState(
    const data_folder& folder, log_content content,
    std::shared_ptr<const replica_snapshot> snapshot) {
  const log_index snapshot_index = snapshot ? snapshot->index : 0;
  if (content.base.index > snapshot_index) {
    return CorruptionError(
        folder.SnapshotPath(),
        "snapshot is missing or older than the start of the log; "
        "restore the file or empty the data folder");
  }
  persistent_state state;
  state.vote = content.vote;
  if (snapshot && snapshot->term > state.vote.term) {
    state.vote = {snapshot->term, replica_id(), replica_incarnation()};
  }
  // The process may have exited after writing the snapshot and before
  // truncating the log. Entries after the snapshot are kept if the log's entry
  // at the snapshot's index has the snapshot's term.
  const bool log_follows_snapshot =
      snapshot_index <= content.LastIndex() &&
      (snapshot_index == 0 || content.TermAt(snapshot_index) == snapshot->term);
  if (log_follows_snapshot) {
    const auto keep =
        static_cast<std::ptrdiff_t>(snapshot_index - content.base.index);
    state.entries.assign(content.entries.begin() + keep, content.entries.end());
  }
  state.snapshot = std::move(snapshot);
  return state;
}

std::uint64_t NewIncarnation() {
  // Drawn from the system's random device rather than from the process's
  // generator: with a repeated number, an empty disk would be taken for the
  // disk that it replaces.
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> distribution(
      kBootstrapIncarnation.Value() + 1,
      std::numeric_limits<std::int64_t>::max());
  return distribution(device);
}

void EncodeEntries(log_index index, const std::vector<log_entry>& entries,
                   std::vector<std::string>& records) {
  for (const log_entry& entry : entries) {
    records.push_back(EncodeLogRecord(log_entry_record{index++, entry}));
  }
}

}  // namespace

leaf::result<std::unique_ptr<replica_host_storage>> replica_host_storage::Open(
    const std::string& path, const std::string& cluster, const replica_id& self,
    bool bootstrap) {
  BOOST_LEAF_AUTO(folder, data_folder::Open(path, cluster, self.Value()));
  if (!folder.Identity()) {
    BOOST_LEAF_CHECK(log_file::Create(folder.LogPath()));
    const std::uint64_t incarnation =
        bootstrap ? kBootstrapIncarnation.Value() : NewIncarnation();
    BOOST_LEAF_CHECK(folder.Initialise({cluster, self.Value(), incarnation}));
  }
  // An earlier process may have ended between the renaming of a file and the
  // sync of its folder.
  BOOST_LEAF_CHECK(SyncFolder(path));
  BOOST_LEAF_AUTO(log, log_file::Open(folder.LogPath()));
  BOOST_LEAF_AUTO(content, ReadLog(folder.LogPath(), log.records));
  BOOST_LEAF_AUTO(snapshot, ReadSnapshot(folder.SnapshotPath()));
  BOOST_LEAF_AUTO(state,
                  BuildState(folder, std::move(content), std::move(snapshot)));
  return std::unique_ptr<replica_host_storage>(new replica_host_storage(
      std::move(folder), std::move(log.file), std::move(state)));
}

leaf::result<void> replica_host_storage::Rewrite(
    const persistent_state& state) {
  std::vector<std::string> records;
  if (state.snapshot) {
    BOOST_LEAF_CHECK(checksummed_file::Write(folder_.SnapshotPath(),
                                             EncodeSnapshot(*state.snapshot)));
    records.push_back(EncodeLogRecord(
        log_base_record{state.snapshot->index, state.snapshot->term}));
  }
  records.push_back(EncodeLogRecord(state.vote));
  EncodeEntries(state.snapshot ? state.snapshot->index + 1 : 1, state.entries,
                records);
  return log_.Rewrite(records);
}

leaf::result<void> replica_host_storage::Write(
    const std::vector<persistent_record>& records) {
  std::vector<std::string> batch;
  for (const persistent_record& record : records) {
    if (const auto* snapshot = std::get_if<snapshot_record>(&record)) {
      BOOST_LEAF_CHECK(
          Rewrite({snapshot->vote, snapshot->snapshot, snapshot->entries}));
    } else if (const auto* vote = std::get_if<vote_record>(&record)) {
      batch.push_back(EncodeLogRecord(*vote));
    } else {
      const auto& append = std::get<append_record>(record);
      EncodeEntries(append.first, append.entries, batch);
    }
  }
  if (batch.empty()) return {};
  return log_.Append(batch);
}

}  // namespace almond
