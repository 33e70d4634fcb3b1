#ifndef ALMOND_CONFIG_CONFIG_LIMITS_H_
#define ALMOND_CONFIG_CONFIG_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "libalmond/core/clock.h"

namespace almond {

/// Limit on the total size of the base file and all overlays, in bytes. The
/// control leader checks a document on its event loop, which must take far less
/// than an election timeout, and every process fetches the document after each
/// change.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{256} << 10U;
/// Limit on the nesting levels of the YAML text; the schema needs six.
inline constexpr std::size_t kMaxYamlDepth = 16;
/// Limit on the listed errors; a longer list would hide the first ones.
inline constexpr std::size_t kMaxListedErrors = 1000;

/// Limit on the characters in a name of a data centre, team, service or kind.
inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::size_t kMaxDataCentres = 64;
inline constexpr std::size_t kMaxTeams = 512;
inline constexpr std::size_t kMaxServices = 512;
inline constexpr std::size_t kMaxRulesPerService = 256;

/// Agents keep the names of ended tasks for 25 minutes. That covers the
/// ledger's window of ten minutes and this timeout, see start_table::limits; a
/// longer timeout would need a longer retention of the names.
inline constexpr milliseconds kMaxTimeout = std::chrono::minutes(10);
inline constexpr std::uint64_t kMaxTasksPerJob = 10000;
/// Limit on `max_body_bytes` of a service; the HTTP client's limit on responses
/// is larger.
inline constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{16} << 20U;
/// Limit on `weight`, the relative share of a team among teams with queued
/// work.
inline constexpr std::uint64_t kMaxWeight = 1000;
/// Limit on `max_queued_tasks` and `max_running_tasks` of a team, per entry.
inline constexpr std::uint64_t kMaxTeamTasks = 1'000'000;

}  // namespace almond

#endif  // ALMOND_CONFIG_CONFIG_LIMITS_H_
