// A caller's connection: reads requests, begins those that may run side by
// side, and writes their answers in the order of the requests.
#pragma once

#include "http_server.h"

#include "core/callback_guard.h"

#include <deque>

namespace balsamwheel {

/// One caller's connection.
///
/// A request that follows others (a follower) is begun while they run if all of
/// them are idempotent; otherwise its bytes stay unread until it is the first
/// one. The state for that is only allocated for callers that send requests
/// ahead.
///
/// Invariants: answers are written in the order of the requests, each at most
/// once; there are followers only while the first request is unanswered;
/// nothing behind a non-idempotent request is begun before its answer, and
/// nothing behind a closing answer ever after.
class HttpServerConnection {
public:
  HttpServerConnection(HttpServer &Server, EventLoop &Loop);
  ~HttpServerConnection();
  HttpServerConnection(const HttpServerConnection &) = delete;
  HttpServerConnection &operator=(const HttpServerConnection &) = delete;

  /// Returns false if the socket can't be watched.
  bool adopt(ACE_HANDLE Handle) { return m_Stream.adopt(Handle); }
  /// Returns the number of requests that were begun and not yet answered.
  std::size_t activeRequests() const;
  /// Returns the bytes of the answers that aren't sent yet, including those
  /// that wait for their turn.
  std::size_t pendingBytes() const;
  /// Returns the bytes held: input, answers that wait for their turn, output.
  std::size_t heldBytes() const;
  /// Returns whether nothing is being read, served or sent.
  bool idle() const {
    return !m_First && !m_Parser && m_Input.empty() &&
           m_Stream.pendingBytes() == 0;
  }
  TimePoint lastActive() const { return m_LastActive; }

  /// Sends the answer of \p Exchange when it is its turn. A closing answer
  /// cancels the requests behind it. An answer with the status 0 closes the
  /// connection without an answer.
  void sendAnswer(HttpExchange &Exchange, HttpAnswer Answer);
  /// Closes the connection at once.
  void close();
  /// Closes the connection if a time-out has passed; answers with 408 if a
  /// request is incomplete.
  void checkTimeout(TimePoint Now);

private:
  using Exchanges = std::vector<std::shared_ptr<HttpExchange>>;

  /// A request behind the first one.
  struct Follower {
    /// Null once the request is answered.
    std::shared_ptr<HttpExchange> m_Exchange;
    HttpAnswer m_Answer;
    /// Of the answer, while it waits for its turn.
    std::size_t m_AnswerBytes = 0;
    bool m_NoBody = false;
  };
  /// Bytes of m_Input that were received at the same time.
  struct Arrival {
    std::size_t m_Bytes;
    TimePoint m_At;
  };
  /// State of a connection whose caller sends requests ahead.
  struct Pipeline {
    std::deque<Follower> m_Followers;
    /// Sum of the followers' m_AnswerBytes.
    std::size_t m_WaitingBytes = 0;
    /// What a request that is begun reserves for its answer: the size of the
    /// largest recent one. It shrinks by an eighth with each smaller answer.
    std::size_t m_ExpectedAnswerBytes = 0;
    /// When the bytes in m_Input were received, from the front; empty if all of
    /// them were received in the current event.
    std::deque<Arrival> m_Arrivals;
  };

  void onData(std::string_view Bytes);
  void onDrained();
  void onEnd();
  /// Begins all requests that are complete and may be begun.
  void advance();
  void postAdvance();
  /// Parses one request and begins it.
  /// \returns false if none was begun.
  bool beginNext();
  /// Whether the next request may be read and begun now.
  bool mayBeginNext() const;
  void begin(HttpRequest Request, TimePoint ReceivedAt);
  /// Answers a request that isn't begun; nothing is read any more.
  void fail(HttpAnswer Answer);
  /// Reserves memory for the body that is being received.
  /// \returns false if there is none.
  bool reserveBody();
  /// Writes the answer of the first request, with those behind it that are
  /// ready.
  void writeAnswers(HttpAnswer Answer, bool NoBody);
  /// Drops all followers from \p Index on and all input.
  void dropFollowers(std::size_t Index);
  void dropInput();
  /// Closes the connection when all output is sent.
  void finish();
  /// Closes the connection of a caller that has sent requests ahead only after
  /// the caller has, or after some time: unread input would reset the
  /// connection, and answers on their way would be lost.
  void closeAfterLast();
  /// Closes the connection once the caller sends nothing more, or at \p Limit.
  void linger(TimePoint Limit);
  /// Detaches all unanswered exchanges and returns them.
  Exchanges detachAll();
  /// Tells the holders of detached exchanges.
  static void notify(const Exchanges &Unanswered);
  Pipeline &pipeline();
  std::size_t waitingBytes() const {
    return m_Pipeline ? m_Pipeline->m_WaitingBytes : 0;
  }
  /// Whether another read fits into the bounds, or the connection holds nothing
  /// but one incomplete request.
  bool mayRead() const;
  void pauseReading();
  void resumeReading();
  /// Whether the caller has closed the connection is checked in this way while
  /// nothing is read from it.
  void checkPaused();
  void noteArrival(std::size_t Bytes);
  /// Removes \p Bytes from the front of the arrivals.
  /// \returns when the last one of them was received.
  TimePoint takeArrival(std::size_t Bytes);

  HttpServer &m_Server;
  EventLoop &m_Loop;
  Stream m_Stream;
  std::string m_Input;
  std::unique_ptr<HttpRequestParser> m_Parser;
  /// Bytes that m_Parser has taken from m_Input.
  std::size_t m_ParsedBytes = 0;
  /// Of the request that is being received.
  BodyReservation m_BodyReservation;
  /// The earliest request that isn't answered.
  std::shared_ptr<HttpExchange> m_First;
  std::unique_ptr<Pipeline> m_Pipeline;
  TimePoint m_LastActive;
  /// When bytes were last received and dropped.
  TimePoint m_LastDropped;
  /// No more requests are read from the caller.
  bool m_Finished = false;
  /// The last answer has been written.
  bool m_Closing = false;
  /// Input behind the last request was or may be dropped.
  bool m_SentAhead = false;
  bool m_AdvancePosted = false;
  bool m_PausedCheckDue = false;
  /// Of posted tasks and timers.
  CallbackGuard m_Guard;
};

} // namespace balsamwheel
