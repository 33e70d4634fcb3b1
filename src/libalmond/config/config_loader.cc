#include "libalmond/config/config_loader.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <utility>

#include "libalmond/config/config_layer.h"
#include "libalmond/config/config_limits.h"

namespace almond {
namespace {

template <typename Value>
void Override(Value& value, const std::optional<Value>& setting) {
  if (setting) value = *setting;
}

void Apply(const service_layer& layer, service_config& service) {
  Override(service.team, layer.team);
  Override(service.default_timeout, layer.default_timeout);
  Override(service.max_timeout, layer.max_timeout);
  Override(service.max_tasks_per_job, layer.max_tasks_per_job);
  Override(service.max_body_bytes, layer.max_body_bytes);
  Override(service.suspend_after, layer.suspend_after);
  Override(service.rules, layer.rules);
}

void Apply(const team_layer& layer, team_config& team) {
  Override(team.weight, layer.weight);
  Override(team.max_queued_tasks, layer.max_queued_tasks);
  Override(team.max_running_tasks, layer.max_running_tasks);
}

void Apply(const config_layer& layer, data_centre_config& config) {
  for (const auto& [name, team] : layer.teams) Apply(team, config.teams[name]);
  for (const auto& [name, service] : layer.services) {
    Apply(service, config.services[name]);
  }
}

/// Reads and checks one document and merges its overlays.
class document_checker {
 public:
  explicit document_checker(const config_document& document) {
    if (!CheckSize(document)) return;
    base_ = ReadConfigLayer(document.base, "base", errors_);
    Apply(base_, base_config_);
    if (base_.parsed) CheckBase();
    for (const auto& [data_centre, text] : document.overlays) {
      CheckOverlay(data_centre, text);
    }
    if (errors_.size() > kMaxListedErrors) {
      errors_.resize(kMaxListedErrors);
      errors_.push_back({"base", "", "fewer faults; the rest is not listed"});
    }
  }

  const std::vector<config_error>& Errors() const { return errors_; }

  const data_centre_config& Config(const data_centre_id& data_centre) const {
    const auto found = overlay_configs_.find(data_centre);
    return found == overlay_configs_.end() ? base_config_ : found->second;
  }

 private:
  bool DefinesDataCentre(const data_centre_id& data_centre) const {
    return std::find(base_.data_centres.begin(), base_.data_centres.end(),
                     data_centre) != base_.data_centres.end();
  }

  bool CheckSize(const config_document& document) {
    std::size_t bytes = document.base.size();
    for (const auto& [data_centre, text] : document.overlays) {
      bytes += text.size();
    }
    if (bytes <= kMaxDocumentBytes) return true;
    errors_.push_back({"base", "",
                       "at most " + std::to_string(kMaxDocumentBytes) +
                           " bytes in all files together"});
    return false;
  }

  void CheckBase() {
    if (base_.data_centres.empty() && !HasError("base", "data_centres")) {
      errors_.push_back(
          {"base", "data_centres",
           "a list of 1 to " + std::to_string(kMaxDataCentres) + " names"});
    }
    for (const auto& [name, service] : base_.services) {
      const std::string key = "services." + name.Value() + ".team";
      if (!service.team && !HasError("base", key)) {
        errors_.push_back({"base", key, "a team that the base file defines"});
      }
    }
    CheckMerged(base_, "base", base_config_);
  }

  void CheckOverlay(const data_centre_id& data_centre,
                    const std::string& text) {
    const std::string& file = data_centre.Value();
    if (base_.parsed && !HasErrorBelow("base", "data_centres") &&
        !DefinesDataCentre(data_centre)) {
      errors_.push_back(
          {file, "", "a data centre of data_centres in the base file"});
    }
    const config_layer layer = ReadConfigLayer(text, file, errors_);
    if (!base_.parsed || !layer.parsed) return;
    CheckDefined(layer.teams, base_.teams, file, "teams.",
                 "a team that the base file defines");
    CheckDefined(layer.services, base_.services, file, "services.",
                 "a service that the base file defines");
    data_centre_config& config = overlay_configs_[data_centre];
    config = base_config_;
    Apply(layer, config);
    CheckMerged(layer, file, config);
  }

  template <typename Layers>
  void CheckDefined(const Layers& layers, const Layers& defined,
                    const std::string& file, const std::string& prefix,
                    const std::string& expected) {
    for (const auto& [name, layer] : layers) {
      if (!defined.contains(name)) {
        errors_.push_back({file, prefix + name.Value(), expected});
      }
    }
  }

  // Checks constraints between keys in the merged settings. An error is listed
  // for the file that sets one of the keys.
  void CheckMerged(const config_layer& layer, const std::string& file,
                   const data_centre_config& config) {
    for (const auto& [name, service] : layer.services) {
      const std::string path = "services." + name.Value();
      const service_config& merged = config.services.at(name);
      if (service.team && !base_.teams.contains(*service.team)) {
        errors_.push_back(
            {file, path + ".team", "a team that the base file defines"});
      }
      const bool sets_timeout = service.default_timeout || service.max_timeout;
      if (sets_timeout && merged.default_timeout > merged.max_timeout) {
        errors_.push_back({file, path + ".default_timeout_ms",
                           "at most max_timeout_ms, which is " +
                               std::to_string(merged.max_timeout.count())});
      }
    }
  }

  bool HasError(const std::string& file, const std::string& key) const {
    return std::any_of(errors_.begin(), errors_.end(), [&](const auto& error) {
      return error.file == file && error.key == key;
    });
  }

  bool HasErrorBelow(const std::string& file, const std::string& key) const {
    return std::any_of(errors_.begin(), errors_.end(), [&](const auto& error) {
      return error.file == file && error.key.starts_with(key);
    });
  }

  std::vector<config_error> errors_;
  config_layer base_;
  data_centre_config base_config_;
  std::map<data_centre_id, data_centre_config> overlay_configs_;
};

}  // namespace

std::vector<data_centre_id> NamedDataCentres(const config_document& document) {
  std::vector<config_error> errors;
  return ReadConfigLayer(document.base, "base", errors).data_centres;
}

std::vector<config_error> CheckDocument(const config_document& document) {
  return document_checker(document).Errors();
}

boost::leaf::result<data_centre_config> ResolveConfig(
    const config_document& document, const data_centre_id& data_centre) {
  const document_checker check(document);
  if (!check.Errors().empty()) {
    return boost::leaf::new_error(config_errors{check.Errors()});
  }
  return check.Config(data_centre);
}

}  // namespace almond
