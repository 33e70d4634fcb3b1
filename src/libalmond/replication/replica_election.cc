// Election part of class replica: pre-votes, votes and the rules for granting
// them.
#include <utility>

#include "libalmond/replication/replica.h"

namespace almond {

bool replica::IsVoter() const {
  return log_.Members().IsVoter(settings_.self, settings_.incarnation);
}

bool replica::HasLiveLeader(steady_time now) const {
  return role_ == replica_role::leader ||
         (last_leader_contact_ &&
          now - *last_leader_contact_ < kMinElectionTimeout);
}

replica_id replica::LiveLeader(steady_time now) const {
  const bool live = role_ == replica_role::leader
                        ? HasQuorumContact(now)
                        : last_leader_contact_ && now - *last_leader_contact_ <
                                                      kLeaderSilenceTimeout;
  return live ? leader_ : replica_id();
}

void replica::ResetElectionTimer(steady_time now) {
  const bool first = !last_leader_contact_ && role_ != replica_role::leader;
  std::uniform_int_distribution<milliseconds::rep> wait(
      (first ? kMinFirstElectionTimeout : kMinElectionTimeout).count(),
      (first ? kMaxFirstElectionTimeout : kMaxElectionTimeout).count());
  election_deadline_ = now + milliseconds(wait(random_));
}

void replica::BecomeFollower(log_term term, const replica_id& leader) {
  if (role_ == replica_role::leader) EndLeadership();
  role_ = replica_role::follower;
  leader_ = leader;
  if (term > vote_.term) {
    vote_ = {term, replica_id(), replica_incarnation()};
    vote_changed_ = true;
  }
}

void replica::StartElection(bool pre_vote, steady_time now) {
  ResetElectionTimer(now);
  leader_ = replica_id();
  role_ = pre_vote ? replica_role::pre_candidate : replica_role::candidate;
  if (!pre_vote) {
    vote_ = {vote_.term + 1, settings_.self, settings_.incarnation};
    vote_changed_ = true;
  }
  tally_.Reset();
  tally_.Grant(settings_.self, settings_.incarnation);
  const log_term term = pre_vote ? vote_.term + 1 : vote_.term;
  for (const auto& [id, incarnation] : log_.Members().voters) {
    if (id == settings_.self) continue;
    Send(id, term,
         vote_request{pre_vote, log_.Last(), log_.LastTerm(), incarnation});
  }
  CountVotes(now);
}

void replica::Handle(const replica_message& message,
                     const vote_request& request, steady_time now) {
  // In the candidate's log another incarnation of this replica is the voter.
  if (request.voter != settings_.incarnation) return;
  const bool up_to_date = request.last_term > log_.LastTerm() ||
                          (request.last_term == log_.LastTerm() &&
                           request.last_index >= log_.Last());
  bool granted = false;
  if (!HasLiveLeader(now)) {
    if (request.pre_vote) {
      granted = message.term > vote_.term && up_to_date;
    } else if (message.term >= vote_.term) {
      if (message.term > vote_.term) {
        BecomeFollower(message.term, replica_id());
      }
      const vote_record wanted{message.term, message.from,
                               message.from_incarnation};
      granted = up_to_date && (vote_.voted_for.Empty() || vote_ == wanted);
      if (granted && vote_ != wanted) {
        vote_ = wanted;
        vote_changed_ = true;
      }
      if (granted) ResetElectionTimer(now);
    }
  }
  Send(message.from, vote_.term, vote_reply{request.pre_vote, granted});
}

void replica::Handle(const replica_message& message, const vote_reply& reply,
                     steady_time now) {
  if (message.term > vote_.term) {
    BecomeFollower(message.term, replica_id());
    return;
  }
  const replica_role asked =
      reply.pre_vote ? replica_role::pre_candidate : replica_role::candidate;
  // A vote is valid for one term only. A pre-vote does not bind its sender, so
  // a reply to an earlier pre-vote is harmless.
  const bool current = reply.pre_vote || message.term == vote_.term;
  if (!reply.granted || role_ != asked || !current) return;
  tally_.Grant(message.from, message.from_incarnation);
  CountVotes(now);
}

void replica::CountVotes(steady_time now) {
  if (!tally_.HasQuorum(log_.Members())) return;
  if (role_ == replica_role::pre_candidate) {
    StartElection(false, now);
  } else if (role_ == replica_role::candidate) {
    BecomeLeader(now);
  }
}

}  // namespace almond
