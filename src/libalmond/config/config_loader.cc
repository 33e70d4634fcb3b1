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

void Apply(const service_part& part, service_config& service) {
  Override(service.team, part.team);
  Override(service.default_timeout, part.default_timeout);
  Override(service.max_timeout, part.max_timeout);
  Override(service.max_tasks_per_job, part.max_tasks_per_job);
  Override(service.max_body_bytes, part.max_body_bytes);
  Override(service.suspend_after, part.suspend_after);
  Override(service.rules, part.rules);
}

void Apply(const team_part& part, team_config& team) {
  Override(team.weight, part.weight);
  Override(team.max_queued_tasks, part.max_queued_tasks);
  Override(team.max_running_tasks, part.max_running_tasks);
}

void Apply(const config_part& part, data_centre_config& site) {
  for (const auto& [name, team] : part.teams) Apply(team, site.teams[name]);
  for (const auto& [name, service] : part.services) {
    Apply(service, site.services[name]);
  }
}

/// Reads and checks one document.
class document_check {
 public:
  explicit document_check(const config_document& document) {
    if (!CheckSize(document)) return;
    base_ = ReadConfigPart(document.base, "base", errors_);
    Apply(base_, base_site_);
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

  const data_centre_config& Site(const data_centre_id& data_centre) const {
    const auto found = overlay_sites_.find(data_centre);
    return found == overlay_sites_.end() ? base_site_ : found->second;
  }

 private:
  bool Knows(const data_centre_id& data_centre) const {
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
    if (base_.data_centres.empty() && !HasFault("base", "data_centres")) {
      errors_.push_back(
          {"base", "data_centres",
           "a list of 1 to " + std::to_string(kMaxDataCentres) + " names"});
    }
    for (const auto& [name, service] : base_.services) {
      const std::string key = "services." + name.Value() + ".team";
      if (!service.team && !HasFault("base", key)) {
        errors_.push_back({"base", key, "a team that the base file defines"});
      }
    }
    CheckMerged(base_, "base", base_site_);
  }

  void CheckOverlay(const data_centre_id& data_centre,
                    const std::string& text) {
    const std::string& file = data_centre.Value();
    if (base_.parsed && !HasFaultBelow("base", "data_centres") &&
        !Knows(data_centre)) {
      errors_.push_back(
          {file, "", "a data centre of data_centres in the base file"});
    }
    const config_part part = ReadConfigPart(text, file, errors_);
    if (!base_.parsed || !part.parsed) return;
    CheckKnown(part.teams, base_.teams, file, "teams.",
               "a team that the base file defines");
    CheckKnown(part.services, base_.services, file, "services.",
               "a service that the base file defines");
    data_centre_config& site = overlay_sites_[data_centre];
    site = base_site_;
    Apply(part, site);
    CheckMerged(part, file, site);
  }

  template <typename Parts>
  void CheckKnown(const Parts& parts, const Parts& known,
                  const std::string& file, const std::string& prefix,
                  const std::string& expected) {
    for (const auto& [name, part] : parts) {
      if (!known.contains(name)) {
        errors_.push_back({file, prefix + name.Value(), expected});
      }
    }
  }

  // Checks what depends on several keys, in the merged settings; a fault is
  // listed for the file that sets one of the keys.
  void CheckMerged(const config_part& part, const std::string& file,
                   const data_centre_config& site) {
    for (const auto& [name, service] : part.services) {
      const std::string path = "services." + name.Value();
      const service_config& merged = site.services.at(name);
      if (service.team && !base_.teams.contains(*service.team)) {
        errors_.push_back(
            {file, path + ".team", "a team that the base file defines"});
      }
      const bool sets = service.default_timeout || service.max_timeout;
      if (sets && merged.default_timeout > merged.max_timeout) {
        errors_.push_back({file, path + ".default_timeout_ms",
                           "at most max_timeout_ms, which is " +
                               std::to_string(merged.max_timeout.count())});
      }
    }
  }

  bool HasFault(const std::string& file, const std::string& key) const {
    return std::any_of(errors_.begin(), errors_.end(), [&](const auto& error) {
      return error.file == file && error.key == key;
    });
  }

  bool HasFaultBelow(const std::string& file, const std::string& key) const {
    return std::any_of(errors_.begin(), errors_.end(), [&](const auto& error) {
      return error.file == file && error.key.starts_with(key);
    });
  }

  std::vector<config_error> errors_;
  config_part base_;
  data_centre_config base_site_;
  std::map<data_centre_id, data_centre_config> overlay_sites_;
};

}  // namespace

std::vector<config_error> CheckDocument(const config_document& document) {
  return document_check(document).Errors();
}

boost::leaf::result<data_centre_config> ResolveConfig(
    const config_document& document, const data_centre_id& data_centre) {
  const document_check check(document);
  if (!check.Errors().empty()) {
    return boost::leaf::new_error(config_errors{check.Errors()});
  }
  return check.Site(data_centre);
}

}  // namespace almond
