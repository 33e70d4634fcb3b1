#ifndef ALMOND_CONTROLLERS_ENTRY_RETRY_BUDGET_H_
#define ALMOND_CONTROLLERS_ENTRY_RETRY_BUDGET_H_

#include <algorithm>

namespace almond {

/// Token bucket that limits retries to a ratio of new requests.
class retry_budget {
 public:
  /// Retries allowed per new request.
  static constexpr double kRetryRatio = 0.1;
  /// Limit of saved tokens, so that a long time without failures does not allow
  /// a retry storm afterwards.
  static constexpr double kMaxTokens = 10;

  /// Adds the tokens of a new request.
  void OnRequest() { tokens_ = std::min(tokens_ + kRetryRatio, kMaxTokens); }
  /// @returns true if a retry is allowed; its token is then used
  bool Take() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  double Tokens() const { return tokens_; }

 private:
  /// Allows one retry at the start, before any traffic has filled the bucket.
  double tokens_ = 1;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_ENTRY_RETRY_BUDGET_H_
