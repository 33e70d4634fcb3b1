#include "libalmond/processes/replica_host_storage.h"

#include <catch2/catch.hpp>

#include "failing_sync.h"
#include "storage/storage_error_text.h"
#include "storage/temporary_folder.h"

namespace almond {
namespace {

namespace leaf = boost::leaf;

class replica_host_storage_fixture {
 protected:
  static log_entry Entry(log_term term, const std::string& command) {
    return {term, log_entry_kind::command, command, {}, {}};
  }
  static snapshot_record Snapshot(log_index index, log_term term,
                                  std::vector<log_entry> entries) {
    auto snapshot = std::make_shared<replica_snapshot>();
    snapshot->index = index;
    snapshot->term = term;
    snapshot->members = membership::Bootstrap({replica_id("a")}, 1);
    snapshot->data = "state";
    return {std::move(snapshot), {term, {}, {}}, std::move(entries)};
  }
  /// Opens the folder, reads its state and writes records.
  std::string Run(const std::vector<persistent_record>& records,
                  bool bootstrap = true) {
    return ErrorText([&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(storage, replica_host_storage::Open(
                                   path_, "c", replica_id("a"), bootstrap));
      state_ = storage->TakeState();
      incarnation_ = storage->Incarnation();
      return storage->Write(records);
    });
  }

  temporary_folder folder_;
  const std::string path_ = folder_.File("data");
  persistent_state state_;
  replica_incarnation incarnation_;
};

// Guards against a state that is written in place of a failed batch and lacks
// records.
TEST_CASE_METHOD(replica_host_storage_fixture,
                 "replica storage / sync failed / state is written anew") {
  const persistent_state state{
      {3, replica_id("b"), replica_incarnation(4)},
      GENERATE(false, true) ? Snapshot(2, 2, {}).snapshot : nullptr,
      {Entry(2, "z"), Entry(3, "w")}};
  const std::string error = ErrorText([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(
        storage, replica_host_storage::Open(path_, "c", replica_id("a"), true));
    BOOST_LEAF_CHECK(storage->Write({append_record{1, {Entry(1, "x")}}}));
    {
      const failing_sync failing;
      CHECK(ErrorText([&] {
              return storage->Write({append_record{2, {Entry(1, "y")}}});
            }) != "");
      CHECK(storage->NeedsRewrite());
      CHECK(ErrorText([&] { return storage->Rewrite(state); }) != "");
      CHECK(storage->NeedsRewrite());
    }
    BOOST_LEAF_CHECK(storage->Rewrite(state));
    CHECK_FALSE(storage->NeedsRewrite());
    return {};
  });
  REQUIRE(error == "");
  REQUIRE(Run({}) == "");
  CHECK(state_.vote == state.vote);
  CHECK(state_.entries == state.entries);
  CHECK((state_.snapshot != nullptr) == (state.snapshot != nullptr));
}

// Guards against votes, replaced entries or entries after a snapshot that are
// read back differently after a restart.
TEST_CASE_METHOD(replica_host_storage_fixture,
                 "replica storage / reopened / state is as written") {
  const vote_record vote{3, replica_id("b"), replica_incarnation(4)};
  REQUIRE(Run({vote, append_record{1, {Entry(1, "x"), Entry(1, "y")}}}) == "");
  REQUIRE(Run({append_record{2, {Entry(2, "z"), Entry(2, "w")}}}) == "");
  REQUIRE(Run({}) == "");
  CHECK(state_.vote == vote);
  CHECK(state_.entries ==
        std::vector{Entry(1, "x"), Entry(2, "z"), Entry(2, "w")});
  REQUIRE(Run({Snapshot(2, 2, {Entry(2, "w")}),
               append_record{4, {Entry(3, "v")}}}) == "");
  REQUIRE(Run({}) == "");
  REQUIRE(state_.snapshot);
  CHECK(state_.snapshot->data == "state");
  CHECK(state_.entries == std::vector{Entry(2, "w"), Entry(3, "v")});
}

// Guards against a crash between the write of a snapshot and the compaction of
// the log: entries after the snapshot are kept only if the log matches it.
TEST_CASE_METHOD(
    replica_host_storage_fixture,
    "replica storage / log not compacted yet / entries match snapshot") {
  struct crash_case {
    log_index index;
    log_term term;
    std::vector<log_entry> kept;
  };
  const crash_case crash =
      GENERATE(crash_case{2, 1, {Entry(1, "z")}}, crash_case{3, 1, {}},
               crash_case{2, 5, {}}, crash_case{9, 5, {}});
  REQUIRE(Run({vote_record{1, {}, {}},
               append_record{
                   1, {Entry(1, "x"), Entry(1, "y"), Entry(1, "z")}}}) == "");
  const std::string log = temporary_folder::Read(path_ + "/log");
  REQUIRE(Run({Snapshot(crash.index, crash.term, {})}) == "");
  temporary_folder::Write(path_ + "/log", log);
  REQUIRE(Run({}) == "");
  CHECK(state_.entries == crash.kept);
  CHECK(state_.vote.term >= crash.term);
}

// Guards against a start without the entries that a lost snapshot covered.
TEST_CASE_METHOD(
    replica_host_storage_fixture,
    "replica storage / snapshot or log missing / error names the file") {
  REQUIRE(Run({Snapshot(5, 1, {})}) == "");
  const std::string file = GENERATE("/snapshot", "/log");
  std::filesystem::remove(path_ + file);
  CHECK(Run({}).find(path_ + file) == 0);
}

// Guards against an emptied folder that keeps its previous incarnation and so
// votes at once.
TEST_CASE_METHOD(replica_host_storage_fixture,
                 "replica storage / emptied folder / new incarnation") {
  REQUIRE(Run({}, true) == "");
  CHECK(incarnation_ == kBootstrapIncarnation);
  replica_incarnation previous = incarnation_;
  for (int i = 0; i < 3; ++i) {
    std::filesystem::remove_all(path_);
    REQUIRE(Run({}, false) == "");
    CHECK(incarnation_ > kBootstrapIncarnation);
    CHECK(incarnation_ != previous);
    previous = incarnation_;
    REQUIRE(Run({}, false) == "");
    CHECK(incarnation_ == previous);
  }
}

}  // namespace
}  // namespace almond
