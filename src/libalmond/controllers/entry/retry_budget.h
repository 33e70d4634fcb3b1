#ifndef ALMOND_CONTROLLERS_ENTRY_RETRY_BUDGET_H_
#define ALMOND_CONTROLLERS_ENTRY_RETRY_BUDGET_H_

#include <algorithm>

namespace almond {

/// Limits retries to a share of new traffic, by a token bucket that new
/// requests fill.
class retry_budget {
 public:
  /// Retries for each new request.
  static constexpr double kShare = 0.1;
  /// Tokens saved up at most, so that a quiet time allows no storm later.
  static constexpr double kMaxTokens = 10;

  /// Counts a new request.
  void OnRequest() { tokens_ = std::min(tokens_ + kShare, kMaxTokens); }
  /// @returns true if a retry may be made; it is then counted
  bool Take() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  double Tokens() const { return tokens_; }

 private:
  /// One retry is allowed at the start, when there is no traffic to share.
  double tokens_ = 1;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_RETRY_BUDGET_H_
