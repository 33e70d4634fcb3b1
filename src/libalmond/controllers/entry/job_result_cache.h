#ifndef ALMOND_CONTROLLERS_ENTRY_JOB_RESULT_CACHE_H_
#define ALMOND_CONTROLLERS_ENTRY_JOB_RESULT_CACHE_H_

#include <deque>
#include <unordered_map>

#include "libalmond/controllers/entry/job_controller.h"

namespace almond {

/// Answers of named submissions that ended a short time ago, within bounds of
/// time, number and bytes.
class job_result_cache {
 public:
  static constexpr std::chrono::seconds kKeep{60};
  static constexpr std::size_t kMaxJobs = 10000;
  static constexpr std::size_t kMaxBytes = std::size_t{32} << 20U;

  struct entry {
    std::string digest;
    job_result answer;
    std::size_t bytes = 0;
  };

  explicit job_result_cache(const clock_interface& clock) : clock_(clock) {}

  void Add(const uuid& submission, std::string digest, job_result answer);
  /// @returns the end of the submission, or null
  const entry* Find(const uuid& submission) const;
  /// Drops old answers; to be called now and then.
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
