#ifndef ALMOND_CONTROLLERS_ENTRY_JOB_RESULT_CACHE_H_
#define ALMOND_CONTROLLERS_ENTRY_JOB_RESULT_CACHE_H_

#include <deque>
#include <unordered_map>

#include "libalmond/controllers/entry/job_controller.h"

namespace almond {

/// Cache of the results of recently ended named submissions, bounded in age,
/// count and bytes.
class job_result_cache {
 public:
  static constexpr std::chrono::seconds kRetentionPeriod{60};
  static constexpr std::size_t kMaxJobs = 10000;
  static constexpr std::size_t kMaxBytes = std::size_t{32} << 20U;

  struct entry {
    std::string digest;
    job_result answer;
    std::size_t bytes = 0;
  };

  explicit job_result_cache(const clock_interface& clock) : clock_(clock) {}

  void Add(const uuid& submission, std::string digest, job_result answer);
  /// @returns the cached result, or null
  const entry* Find(const uuid& submission) const;
  /// Removes expired results; called periodically.
  void Expire();
  std::size_t size() const { return entries_.size(); }

 private:
  struct expiry {
    steady_time time;
    uuid submission;
  };
  void DropOldest();

  const clock_interface& clock_;
  std::unordered_map<uuid, entry> entries_;
  std::deque<expiry> order_;
  std::size_t bytes_ = 0;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_JOB_RESULT_CACHE_H_
