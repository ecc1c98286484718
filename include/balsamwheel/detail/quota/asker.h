// Asks keepers for one token for each waiting request of an organisation with a
// quota.
//
// Load pattern: many requests of one organisation at one entrance, or few at
// each of many. Requests that arrive while a question is on the way go into the
// next one, so a flood costs one frame per round trip. No tokens are fetched in
// advance: kept until later, they would exceed the limit of a later window.
//
// When the keeper is lost, waiting requests are asked for again at the next one
// as long as they can be in time.
#pragma once

#include "balsamwheel/detail/quota/lender.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace balsamwheel {

struct QuotaAskerOptions {
  /// A reply after this time is void: its tokens are of an earlier window.
  Duration m_ReplyLimit = std::chrono::seconds(1);
  /// Delay before a keeper that couldn't tell is asked again.
  Duration m_RetryDelay = std::chrono::milliseconds(150);
  /// Tokens are returned at the latest after this time.
  Duration m_ReturnDelay = std::chrono::milliseconds(100);
  /// Greatest age of a token that is returned.
  Duration m_MaxReturnAge = std::chrono::milliseconds(500);
  /// Requests of an organisation that may wait; further ones are refused.
  std::size_t m_MaxWaiting = 256;
  /// Longest wait that a refusal names.
  Duration m_MaxWait = std::chrono::seconds(4);
};

/// Identifies a request that waits for a token.
using QuotaTicket = StrongId<struct QuotaTicketTag, std::uint64_t>;

enum class QuotaVerdict : std::uint8_t {
  Granted,
  /// The quota is used up.
  Denied,
  /// No keeper can tell in time.
  Unavailable,
};

struct QuotaDecision {
  QuotaTicket m_Ticket;
  QuotaVerdict m_Verdict = QuotaVerdict::Unavailable;
  /// For a refusal: time after which a token is likely to be available.
  Duration m_RetryAfter{0};
};

/// Performs no I/O and reads no clock; not thread-safe. Invariants: each ticket
/// gets one decision unless it is cancelled; for each granted ticket and each
/// returned token a keeper has granted one; at most one question for an
/// organisation is on the way. Organisations without requests take no memory.
class QuotaAsker {
public:
  /// The keeper to ask for a group; none while there is none.
  using KeeperOf = std::function<std::optional<QuotaKeeperRef>(QuotaGroup)>;

  struct Outgoing {
    QuotaKeeperRef m_Keeper;
    QuotaAsk m_Frame;
  };

  QuotaAsker(QuotaProcess Process, QuotaAskerOptions Options)
      : m_Process(Process), m_Options(Options) {}

  /// Adds a waiting request.
  /// \param Until when a token is of no use any more.
  QuotaTicket add(const OrganisationName &Organisation, TimePoint Until);
  /// Ends the wait of a request; ignores tickets that have been decided.
  void cancel(QuotaTicket Ticket);
  /// Returns the token of a request that no target has run. An old one isn't
  /// returned: the bucket may have been filled anew since \p GrantedAt.
  void giveBack(const OrganisationName &Organisation, TimePoint GrantedAt,
                TimePoint Now);
  /// Questions to be sent now. Complexity: linear in the organisations that
  /// have requests waiting.
  std::vector<Outgoing> due(const KeeperOf &Keeper, TimePoint Now);
  /// Handles a reply. \p Now is read right before.
  std::vector<QuotaDecision> onReply(const InstanceName &From,
                                     const QuotaReply &Reply, TimePoint Now);
  /// Decides on the requests that have waited too long. Called often.
  std::vector<QuotaDecision> expire(TimePoint Now);
  /// Whether nothing waits or is to be returned.
  bool idle() const { return m_Organisations.empty(); }
  std::size_t waiting() const { return m_Tickets.size(); }

private:
  struct Waiting {
    QuotaTicket m_Ticket;
    TimePoint m_Until;
  };
  /// A question on the way.
  struct Question {
    QuotaKeeperRef m_Keeper;
    QuotaSequence m_Sequence;
    TimePoint m_SentAt;
    /// Tickets asked for: the first ones of m_Waiting, less cancelled ones.
    std::size_t m_Count = 0;
  };
  struct Organisation {
    std::deque<Waiting> m_Waiting;
    std::optional<Question> m_Question;
    std::uint32_t m_Returned = 0;
    TimePoint m_ReturnBy;
    /// No keeper is asked before.
    TimePoint m_NotBefore;

    bool idle() const {
      return m_Waiting.empty() && !m_Question && m_Returned == 0;
    }
  };
  using Entry = std::map<OrganisationName, Organisation>::iterator;

  /// Gives up a question whose keeper is lost or doesn't answer.
  void abandon(Organisation &Asked, const std::optional<QuotaKeeperRef> &Keeper,
               TimePoint Now) const;
  std::optional<Outgoing> question(const OrganisationName &Name,
                                   Organisation &Asked,
                                   const std::optional<QuotaKeeperRef> &Keeper,
                                   TimePoint Now);
  /// Takes the first waiting ticket.
  QuotaTicket take(Organisation &From);
  void applyDenial(Organisation &Asked, const QuotaReply &Reply,
                   std::size_t Count, std::vector<QuotaDecision> &Result);
  /// Refuses those of an organisation that have waited too long.
  void expireIn(Organisation &Of, TimePoint Now,
                std::vector<QuotaDecision> &Result);
  /// Forgets the organisation when nothing is left to do for it.
  Entry eraseIfIdle(Entry Each) {
    return Each->second.idle() ? m_Organisations.erase(Each) : std::next(Each);
  }

  QuotaProcess m_Process;
  QuotaAskerOptions m_Options;
  QuotaSequence m_LastSequence;
  QuotaTicket m_LastTicket;
  std::map<OrganisationName, Organisation> m_Organisations;
  std::map<QuotaTicket, OrganisationName> m_Tickets;
};

} // namespace balsamwheel
