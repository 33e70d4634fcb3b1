#include "libalmond/wire/replication_values.h"

#include <utility>

#include "libalmond/wire/wire_values.h"

namespace almond::wire {

ReplicaPlace MakePlace(const replica_id& id, replica_incarnation incarnation) {
  ReplicaPlace place;
  place.replica = id.Value();
  place.incarnation = ToWire(incarnation);
  return place;
}

LogEntry Encode(const log_entry& entry) {
  LogEntry result;
  result.term = NumberToWire(entry.term);
  result.kind = EnumToWire(entry.kind);
  result.command = entry.command;
  result.place = MakePlace(entry.replica, entry.incarnation);
  return result;
}

bool Decode(LogEntry& encoded, log_entry& entry) {
  entry.command = std::move(encoded.command);
  entry.replica = replica_id(std::move(encoded.place.replica));
  entry.incarnation =
      NumberFromWire<replica_incarnation>(encoded.place.incarnation);
  return ReadNumber(encoded.term, entry.term) &&
         EnumFromWire(encoded.kind, log_entry_kind::add, entry.kind);
}

ReplicaMembers Encode(const membership& members) {
  ReplicaMembers result;
  for (const auto& [id, incarnation] : members.voters) {
    result.voters.push_back(MakePlace(id, incarnation));
  }
  for (const auto& [id, incarnation] : members.successors) {
    result.successors.push_back(MakePlace(id, incarnation));
  }
  for (const auto& [id, incarnations] : members.retired) {
    for (const replica_incarnation incarnation : incarnations) {
      result.retired.push_back(MakePlace(id, incarnation));
    }
  }
  result.places = static_cast<std::int32_t>(members.places);
  return result;
}

bool Decode(const ReplicaMembers& encoded, membership& members) {
  const auto read = [](const ReplicaPlace& place) {
    return std::pair(replica_id(place.replica),
                     NumberFromWire<replica_incarnation>(place.incarnation));
  };
  for (const ReplicaPlace& place : encoded.voters) {
    members.voters.insert(read(place));
  }
  for (const ReplicaPlace& place : encoded.successors) {
    members.successors.insert(read(place));
  }
  for (const ReplicaPlace& place : encoded.retired) {
    const auto [id, incarnation] = read(place);
    members.retired[id].push_back(incarnation);
  }
  members.places = CountFromWire(encoded.places);
  return encoded.places > 0;
}

}  // namespace almond::wire
