#ifndef ALMOND_STORAGE_STORAGE_ERROR_TEXT_H_
#define ALMOND_STORAGE_STORAGE_ERROR_TEXT_H_

#include <boost/leaf.hpp>
#include <functional>
#include <string>

#include "libalmond/storage/storage_error.h"

namespace almond {

/// @returns the text of the action's error, or an empty string on success
inline std::string ErrorText(
    const std::function<boost::leaf::result<void>()>& action) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(action());
        return std::string();
      },
      [](const storage_error& error) { return error.ToString(); },
      [] { return std::string("an error of another type"); });
}

}  // namespace almond

#endif  // ALMOND_STORAGE_STORAGE_ERROR_TEXT_H_
