#ifndef ALMOND_FILTERS_FILTER_CHAIN_H_
#define ALMOND_FILTERS_FILTER_CHAIN_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "libalmond/core/outcome.h"
#include "libalmond/filters/request_context.h"

namespace almond {

/// Decides one question about a request.
/// @returns why the request is refused, or nothing to let it pass
using request_filter = std::function<std::optional<refusal>(request_context&)>;

/// Filters in a fixed order; the first refusal ends the chain.
class filter_chain {
 public:
  explicit filter_chain(std::vector<request_filter> filters)
      : filters_(std::move(filters)) {}

  /// @param request completed by the filters that it passes
  /// @returns the first refusal, or nothing if the request passes them all
  std::optional<refusal> Run(request_context& request) const {
    for (const request_filter& filter : filters_) {
      if (auto refused = filter(request)) return refused;
    }
    return std::nullopt;
  }

 private:
  std::vector<request_filter> filters_;
};

}  // namespace almond

#endif  // ALMOND_FILTERS_FILTER_CHAIN_H_
