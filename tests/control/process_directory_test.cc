#include "libalmond/controllers/control/process_directory.h"

#include <catch2/catch.hpp>

namespace almond {
namespace {

class directory_fixture {
 protected:
  void Beat(const std::string& id, std::uint64_t incarnation = 1,
            const std::string& data_centre = "nl-west-1", bool leaving = false,
            process_role role = process_role::entry) {
    heartbeat_message beat;
    beat.role = role;
    beat.id = id;
    beat.incarnation = incarnation_id(incarnation);
    beat.data_centre = data_centre_id(data_centre);
    beat.leaving = leaving;
    directory_.Heartbeat(beat);
  }
  // Advances while the named entries keep sending heartbeats.
  void Pass(milliseconds time, const std::vector<std::string>& beating = {}) {
    for (; time.count() > 0; time -= milliseconds(500)) {
      clock_.Advance(std::min(time, milliseconds(500)));
      for (const std::string& id : beating) Beat(id);
    }
  }
  static ledger_owner Owner(const std::string& id, std::uint64_t run = 1) {
    return {entry_id(id), incarnation_id(run)};
  }

  manual_clock clock_;
  process_directory directory_{clock_};
};

// Guards against traffic to a dead entry and takeover from a live one.
TEST_CASE_METHOD(directory_fixture,
                 "directory / silent entry / first not live and then dead") {
  Pass(milliseconds(5000), {"e1", "e2"});
  Pass(milliseconds(2999), {"e2"});
  CHECK(directory_.LiveEntries().size() == 2);
  Pass(milliseconds(1), {"e2"});
  CHECK(directory_.LiveEntries().size() == 1);
  CHECK_FALSE(directory_.OwnerDead(Owner("e1")));
  Pass(milliseconds(1000), {"e2"});
  CHECK(directory_.OwnerDead(Owner("e1")));
  CHECK_FALSE(directory_.OwnerDead(Owner("e2")));
}

// Guards against a new leader that takes jobs from owners whose heartbeats it
// has not seen yet.
TEST_CASE_METHOD(directory_fixture,
                 "directory / new leader / declares no owner dead for 4 s") {
  Beat("e1", 2);
  Pass(milliseconds(10000));
  directory_.RestartOwnerWait();
  Pass(milliseconds(3999));
  CHECK_FALSE(directory_.OwnerDead(Owner("e1")));
  CHECK_FALSE(directory_.OwnerDead(Owner("never-seen")));
  Pass(milliseconds(1));
  CHECK(directory_.OwnerDead(Owner("e1")));
  CHECK(directory_.OwnerDead(Owner("never-seen")));
}

// Guards against jobs of an earlier run that wait for its silence, and against
// a delayed heartbeat that brings the earlier run back.
TEST_CASE_METHOD(directory_fixture,
                 "directory / restarted entry / the earlier run is dead") {
  Pass(milliseconds(5000), {"e1"});
  Beat("e1", 2);
  CHECK(directory_.OwnerDead(Owner("e1", 1)));
  Beat("e1", 1);
  CHECK(directory_.OwnerDead(Owner("e1", 1)));
  CHECK_FALSE(directory_.OwnerDead(Owner("e1", 2)));
  CHECK(directory_.LiveEntries().front().incarnation == incarnation_id(2));
}

// Guards against an entry that stays out when its incarnation is lower.
TEST_CASE_METHOD(directory_fixture,
                 "directory / lower incarnation after silence / is taken") {
  Beat("e1", 9);
  Pass(milliseconds(3000));
  Beat("e1", 4);
  CHECK(directory_.LiveEntries().front().incarnation == incarnation_id(4));
}

// Guards against takeover by an agent, a leaving entry or a far data centre.
TEST_CASE_METHOD(directory_fixture,
                 "directory / successors / live and near entries first") {
  Beat("e1");
  Pass(milliseconds(5000));
  Beat("e2", 1, "nl-west-2");
  Beat("e3", 1, "nl-west-1", /*leaving=*/true);
  Beat("a1", 1, "nl-west-1", false, process_role::agent);
  CHECK(directory_.Successors(Owner("e1")) == std::vector{Owner("e2")});
  Beat("e4");
  CHECK(directory_.Successors(Owner("e1")) == std::vector{Owner("e4")});
  Beat("e1", 2);
  CHECK(directory_.Successors(Owner("e1")).size() == 2);
  CHECK(directory_.Processes().size() == 5);
}

}  // namespace
}  // namespace almond
