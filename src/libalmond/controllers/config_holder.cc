#include "libalmond/controllers/config_holder.h"

#include <utility>

namespace almond {

config_holder::config_holder(data_centre_id data_centre, hooks callbacks)
    : data_centre_(std::move(data_centre)), hooks_(std::move(callbacks)) {}

bool config_holder::ApplyIfNewer(config_version version,
                                 const std::string& document,
                                 config_source source) {
  if (version <= version_) {
    if (source == config_source::leader) OnNewestVersion(version);
    return false;
  }
  const auto parsed = config_document::Parse(document);
  if (!parsed) return false;
  auto merged = hooks_.resolve(*parsed, data_centre_);
  if (!merged) return false;
  version_ = version;
  document_ = document;
  digest_ = parsed->Digest();
  site_ = std::make_shared<const data_centre_config>(std::move(*merged));
  confirmed_ = source == config_source::leader;
  if (hooks_.on_change) hooks_.on_change();
  return true;
}

void config_holder::OnNewestVersion(config_version newest) {
  if (version_.Value() != 0 && newest >= version_) confirmed_ = true;
}

}  // namespace almond
