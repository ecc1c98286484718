// Non-blocking TCP connections with an output buffer, and TCP listeners.
#pragma once

#include "event_loop.h"
#include "http_body.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace balsamwheel {

/// An IPv4 address and a port.
struct Endpoint {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  /// Returns "host:port".
  std::string toText() const;
  /// Parses "host:port".
  ///
  /// \returns none if \p Text has another format.
  static std::optional<Endpoint> fromText(std::string_view Text);
  auto operator<=>(const Endpoint &) const = default;
};

/// How a connection ended.
enum class StreamEndReason : std::uint8_t {
  /// The peer closed the connection in order (FIN), and nothing has failed on
  /// it in either direction.
  Closed,
  /// The connection was reset or refused, or failed with another error.
  Failed,
};

struct StreamEvents {
  /// connect() has succeeded.
  std::function<void()> m_OnOpen;
  std::function<void(std::string_view)> m_OnData;
  /// The connection has ended. Called at most once, and never after close().
  std::function<void(StreamEndReason)> m_OnEnd;
  /// The output buffer has become empty, or has shrunk to the drain mark. May
  /// be called within write().
  std::function<void()> m_OnDrained;
};

/// A TCP connection.
///
/// Invariants: no event is delivered after close(); write() after the end of
/// the connection is ignored.
class Stream final : public ACE_Event_Handler {
public:
  explicit Stream(EventLoop &Loop) : m_Loop(Loop) {}
  ~Stream() override { close(); }
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  /// Maximum number of bytes read per event.
  static constexpr std::size_t ReadSize = 65536;

  void setEvents(StreamEvents Events) { m_Events = std::move(Events); }
  /// Sets for connect() and adopt() how long sent data may stay unacknowledged
  /// before the connection fails (TCP_USER_TIMEOUT).
  void setTcpUserTimeout(Duration Timeout) { m_TcpUserTimeout = Timeout; }
  /// Sets the size of the kernel's send buffer (SO_SNDBUF); 0 leaves the
  /// kernel's default.
  void setSendBufferSize(int Bytes) { m_SendBufferBytes = Bytes; }
  /// Reports by m_OnDrained, too, when only \p Bytes of output remain.
  void setDrainMark(std::uint32_t Bytes) { m_DrainMark = Bytes; }
  /// Stops or resumes reading. While it is stopped, only a failure of the
  /// connection is reported, not its end in order.
  void setReading(bool Reading);
  bool isReading() const { return m_Reading; }
  /// Returns whether the peer has closed the connection in order or reset it,
  /// even if unread input remains.
  bool closedByPeer() const;
  /// Returns whether input, or the end of the connection, waits to be read.
  bool hasUnreadInput() const;
  /// Starts to connect; the result is reported by an event.
  ///
  /// \returns false if no socket could be created or the attempt failed at
  /// once; then no event follows.
  bool connect(const Endpoint &Remote);
  /// Takes over an accepted socket. Returns false if it can't be watched.
  bool adopt(ACE_HANDLE Handle);
  /// Sends \p Bytes, or buffers what the kernel doesn't take yet.
  void write(std::string_view Bytes);
  /// Sends a head and a body; the body isn't copied.
  void write(std::string_view Head, const HttpBody &Body);
  /// Tells the peer that no more follows (FIN); input is still reported. The
  /// output buffer must be empty.
  void endOutput();
  /// Closes once the output buffer is empty.
  void closeWhenDrained();
  void close();

  bool isOpen() const {
    return m_Handle != ACE_INVALID_HANDLE && !m_Connecting;
  }
  bool isConnecting() const { return m_Connecting; }
  /// Returns the number of bytes in the output buffer.
  std::size_t pendingBytes() const { return m_PendingBytes; }
  /// Returns the size of the output buffer, with bytes that were already sent.
  std::size_t bufferedBytes() const { return m_PendingBytes + m_SentBytes; }

  ACE_HANDLE get_handle() const override { return m_Handle; }
  int handle_input(ACE_HANDLE) override;
  int handle_output(ACE_HANDLE) override;
  /// The reactor has dropped a failed connection that isn't read from.
  int handle_close(ACE_HANDLE, ACE_Reactor_Mask) override;

private:
  bool watch(ACE_Reactor_Mask Mask);
  void watchWritable(bool Watched);
  void flush();
  /// Frees the sent part of a buffer that never becomes empty.
  void compact();
  /// Appends \p Bytes to the output.
  void append(std::string_view Bytes);
  void end(StreamEndReason Reason);
  bool completeConnect();

  EventLoop &m_Loop;
  StreamEvents m_Events;
  ACE_HANDLE m_Handle = ACE_INVALID_HANDLE;
  bool m_Connecting = false;
  bool m_WritableWatched = false;
  bool m_Reading = true;
  bool m_CloseWhenDrained = false;
  /// A send has taken the connection's error; the end of the input that follows
  /// is no orderly one.
  bool m_SendFailed = false;
  Duration m_TcpUserTimeout = std::chrono::seconds(4);
  int m_SendBufferBytes = 0;
  std::uint32_t m_DrainMark = 0;
  /// A part of the output: own bytes, and a shared body behind them.
  struct OutputPart {
    std::string m_Bytes;
    HttpBody m_Body;

    std::size_t size() const { return m_Bytes.size() + m_Body.size(); }
  };
  std::deque<OutputPart> m_Output;
  /// Bytes of the first part that were passed to the kernel.
  std::size_t m_SentBytes = 0;
  /// Bytes of all parts that weren't.
  std::size_t m_PendingBytes = 0;
};

/// Listens on one address and accepts connections.
class Acceptor final : public ACE_Event_Handler {
public:
  using OnAccept = std::function<void(ACE_HANDLE)>;

  Acceptor(EventLoop &Loop, OnAccept Callback)
      : m_Loop(Loop), m_OnAccept(std::move(Callback)) {}
  ~Acceptor() override { close(); }
  Acceptor(const Acceptor &) = delete;
  Acceptor &operator=(const Acceptor &) = delete;

  /// Returns false if the socket can't be created, bound or watched.
  bool listen(const Endpoint &Local);
  void close();
  ACE_HANDLE get_handle() const override { return m_Handle; }
  int handle_input(ACE_HANDLE) override;

private:
  EventLoop &m_Loop;
  OnAccept m_OnAccept;
  ACE_HANDLE m_Handle = ACE_INVALID_HANDLE;
};

} // namespace balsamwheel
