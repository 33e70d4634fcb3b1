#include "libalmond/processes/replica_host.h"

#include <algorithm>
#include <boost/leaf.hpp>
#include <cctype>
#include <set>
#include <utility>

#include "libalmond/processes/replica_host_implementation.h"

namespace almond {
namespace {

namespace leaf = boost::leaf;

bool IsName(const std::string& text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char byte) {
    return std::isprint(static_cast<unsigned char>(byte)) != 0;
  });
}

/// @returns the error in the settings, or an empty text
std::string CheckSettings(const replica_host_settings& settings) {
  if (!IsName(settings.cluster)) return "the cluster id is not a name";
  std::set<replica_id> ids;
  std::size_t places = 0;
  for (const replica_address& replica : settings.replicas) {
    if (!IsName(replica.id.Value())) return "a replica id is not a name";
    if (!ids.insert(replica.id).second) {
      return "the replica " + replica.id.Value() + " is listed twice";
    }
    if (!replica.added) ++places;
  }
  if (ids.count(settings.self) == 0) {
    return "the replica " + settings.self.Value() +
           " is not in the list of replicas";
  }
  if (places % 2 == 0) return "the number of replicas is not odd";
  return "";
}

}  // namespace

replica_host::replica_host(std::unique_ptr<implementation> state)
    : implementation_(std::move(state)) {}

replica_host::~replica_host() = default;

leaf::result<std::unique_ptr<replica_host>> replica_host::Start(
    event_loop& loop, const clock_interface& clock, std::mt19937_64& random,
    metrics_registry& metrics, replica_host_settings settings,
    state_machine machine) {
  const std::string fault = CheckSettings(settings);
  if (!fault.empty()) return leaf::new_error(replica_host_error{fault});
  BOOST_LEAF_AUTO(storage, replica_host_storage::Open(
                               settings.data_folder, settings.cluster,
                               settings.self, settings.bootstrap));
  auto state = std::make_unique<implementation>(
      loop, clock, random, metrics, std::move(settings), std::move(machine),
      std::move(storage));
  if (!state->Start()) {
    return leaf::new_error(
        replica_host_error{"the replication address cannot be bound"});
  }
  return std::unique_ptr<replica_host>(new replica_host(std::move(state)));
}

void replica_host::Propose(std::string command, proposal_hook on_end) {
  implementation_->Propose(std::move(command), std::move(on_end));
}

void replica_host::ConfirmRead(read_hook on_end) {
  implementation_->ConfirmRead(std::move(on_end));
}

void replica_host::SetPeerAddress(const replica_id& id,
                                  const socket_address& replication) {
  implementation_->SetPeerAddress(id, replication);
}

bool replica_host::IsLeader() const {
  return implementation_->Replica().IsLeader();
}

bool replica_host::IsEstablished() const {
  return implementation_->Replica().IsEstablished();
}

std::optional<replica_address> replica_host::Leader() const {
  const replica_address* address = implementation_->AddressOf(LeaderId());
  if (address == nullptr) return std::nullopt;
  return *address;
}

replica_id replica_host::LeaderId() const { return Status().leader; }

replica_id replica_host::LiveLeaderId() const {
  return implementation_->LiveLeader();
}

replica_status replica_host::Status() const {
  return implementation_->Replica().Status();
}

}  // namespace almond
