#ifndef ALMOND_TESTS_PLATFORM_PROGRAMS_SOAK_SYSTEM_H_
#define ALMOND_TESTS_PLATFORM_PROGRAMS_SOAK_SYSTEM_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libalmond/net/http_connection_pool.h"
#include "platform_programs/soak_machine.h"

namespace almond {

/// Control and entry programs, an operator that changes the configuration, and
/// clients that ask the entries for routes over open connections. Version V of
/// the configuration has the routes V-2 to V, so that an answer tells which
/// versions an entry may have.
class soak_system {
 public:
  /// Time within which a change is acknowledged and in force everywhere while
  /// nothing is disturbed.
  static constexpr std::chrono::seconds kInForceLimit{5};

  /// @param random source of the operator's and the clients' choices
  soak_system(std::mt19937_64& random, std::size_t controls,
              std::size_t entries);
  ~soak_system();
  soak_system(const soak_system&) = delete;
  soak_system& operator=(const soak_system&) = delete;

  event_loop& Loop() { return loop_; }
  std::vector<std::unique_ptr<soak_machine>>& Controls() { return controls_; }
  std::vector<std::unique_ptr<soak_machine>>& Entries() { return entries_; }

  void RunFor(milliseconds time);
  /// Starts a series of changes that do not wait for each other.
  void StartChanges() { changing_ = true; }
  /// Ends the series with one more change, which is sent until it is
  /// acknowledged, and waits until it is read back and in force at all entries.
  /// @returns false if that takes longer than the limit
  bool AwaitInForce(milliseconds limit);

  /// @returns broken promises, with what was seen
  const std::vector<std::string>& Findings();
  /// @returns where the logs are; kept if there are findings
  const std::string& Folder() const { return folder_; }
  int Acknowledged() const { return acknowledged_; }
  std::string Summary() const;

 private:
  struct entry_view {
    std::unique_ptr<http_connection_pool> connections;
    int incarnation = 0;
    int at_least = 0;     ///< version that the entry was seen to have reached
    bool newest = false;  ///< the newest version was seen since the last ask
  };

  void StartMachines(std::size_t controls, std::size_t entries);
  std::string Ip(std::size_t machine) const;
  socket_address Http(std::size_t machine) const;
  void Tick();
  void SendChange(int version, std::size_t control);
  void OnAcknowledged(int version);
  void ReadConfiguration(std::size_t control);
  void AskEntry(std::size_t entry, int route);
  void OnEntryAnswer(std::size_t entry, int incarnation, int route, int status,
                     int known_before);
  void AddFinding(const std::string& text);

  std::mt19937_64& random_;
  event_loop loop_;
  system_clock clock_;
  std::string folder_;
  std::string net_;
  std::uint16_t first_port_;
  std::vector<std::unique_ptr<soak_machine>> controls_;
  std::vector<std::unique_ptr<soak_machine>> entries_;
  std::vector<entry_view> views_;
  event_handle tick_timer_;
  bool changing_ = false;
  int sent_ = 0;
  int acknowledged_ = 0;
  int read_back_ = 0;
  /// Versions by the time of their acknowledgement.
  std::map<steady_time, int> acknowledgements_;
  steady_time next_change_;
  std::size_t answers_ = 0;
  std::size_t unanswered_ = 0;
  std::vector<std::string> findings_;
  std::set<std::string> reported_ends_;
};

}  // namespace almond

#endif  // ALMOND_TESTS_PLATFORM_PROGRAMS_SOAK_SYSTEM_H_
