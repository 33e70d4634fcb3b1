#include "libalmond/controllers/control/evacuation_store.h"

#include <utility>

namespace almond {

evacuation_revision evacuation_store::Apply(const evacuation_change& change) {
  auto& listed = list_.data_centres;
  const auto position =
      std::lower_bound(listed.begin(), listed.end(), change.data_centre);
  const bool contained =
      position != listed.end() && *position == change.data_centre;
  if (contained == change.evacuated) return list_.revision;
  if (change.evacuated) {
    listed.insert(position, change.data_centre);
  } else {
    listed.erase(position);
  }
  list_.revision = list_.revision.Next();
  return list_.revision;
}

void evacuation_store::Save(byte_writer& writer) const {
  writer.Number(list_.revision);
  writer.Number(list_.data_centres.size());
  for (const data_centre_id& name : list_.data_centres) {
    writer.Text(name.Value());
  }
}

bool evacuation_store::Load(byte_reader& reader) {
  evacuation_list loaded;
  loaded.revision = evacuation_revision(reader.Number());
  const std::uint64_t count = reader.Number();
  for (std::uint64_t i = 0; i < count && reader.Ok(); ++i) {
    loaded.data_centres.emplace_back(reader.Text());
  }
  if (!reader.Ok() || !loaded.IsOrdered()) return false;
  list_ = std::move(loaded);
  return true;
}

}  // namespace almond
