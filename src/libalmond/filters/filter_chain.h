#ifndef ALMOND_FILTERS_FILTER_CHAIN_H_
#define ALMOND_FILTERS_FILTER_CHAIN_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "libalmond/core/outcome.h"
#include "libalmond/filters/request_context.h"

namespace almond {

/// Decision on one aspect of a request.
/// @returns the refusal, or nothing to pass the request on
template <typename Context>
using filter_of = std::function<std::optional<refusal>(Context&)>;

/// Filters in a fixed order; the first refusal ends the chain.
template <typename Context>
class filter_chain_of {
 public:
  explicit filter_chain_of(std::vector<filter_of<Context>> filters)
      : filters_(std::move(filters)) {}

  /// @param request completed by the filters that pass it
  /// @returns the first refusal, or nothing if all filters pass the request
  std::optional<refusal> Run(Context& request) const {
    for (const filter_of<Context>& filter : filters_) {
      if (auto refused = filter(request)) return refused;
    }
    return std::nullopt;
  }

 private:
  std::vector<filter_of<Context>> filters_;
};

using request_filter = filter_of<request_context>;
using filter_chain = filter_chain_of<request_context>;

}  // namespace almond

#endif  // ALMOND_FILTERS_FILTER_CHAIN_H_
