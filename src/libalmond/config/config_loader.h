#ifndef ALMOND_CONFIG_CONFIG_LOADER_H_
#define ALMOND_CONFIG_CONFIG_LOADER_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

#include "libalmond/config/config_document.h"
#include "libalmond/config/config_model.h"

namespace almond {

/// One error in a configuration.
struct config_error {
  std::string file;      ///< "base" or the overlay's data centre
  std::string key;       ///< path of the key, such as services.geurmatch.team
  std::string expected;  ///< description of the expected value

  bool operator==(const config_error&) const = default;
};

/// All errors of a configuration; the error type of the loader.
struct config_errors {
  std::vector<config_error> errors;
};

/// Checks the base file and every overlay.
/// @returns all errors; empty if the document is valid
std::vector<config_error> CheckDocument(const config_document& document);

/// @returns the data centres that the base file names; empty if it is malformed
std::vector<data_centre_id> NamedDataCentres(const config_document& document);

/// Merges the base file with the overlay of one data centre.
/// @param document a configuration
/// @param data_centre if it has no overlay, the base file applies unchanged
/// @returns the settings of the data centre, or config_errors
boost::leaf::result<data_centre_config> ResolveConfig(
    const config_document& document, const data_centre_id& data_centre);

}  // namespace almond

#endif  // ALMOND_CONFIG_CONFIG_LOADER_H_
