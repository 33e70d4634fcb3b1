#ifndef ALMOND_CONFIG_CONFIG_LOADER_H_
#define ALMOND_CONFIG_CONFIG_LOADER_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

#include "libalmond/config/config_document.h"
#include "libalmond/config/config_model.h"

namespace almond {

/// One fault in a configuration.
struct config_error {
  std::string file;      ///< "base" or the overlay's data centre
  std::string key;       ///< path of the key, such as services.geurmatch.team
  std::string expected;  ///< what should stand there

  bool operator==(const config_error&) const = default;
};

/// All faults of a configuration; the error type of the loader.
struct config_errors {
  std::vector<config_error> errors;
};

/// Checks the base file and every overlay.
/// @returns all faults; empty if the document is valid
std::vector<config_error> CheckDocument(const config_document& document);

/// Merges the base file with the overlay of one data centre.
/// @param document a configuration
/// @param data_centre without an overlay of its own, the base file holds
/// @returns the settings in force there, or config_errors
boost::leaf::result<data_centre_config> ResolveConfig(
    const config_document& document, const data_centre_id& data_centre);

}  // namespace almond

#endif  // ALMOND_CONFIG_CONFIG_LOADER_H_
