// A non-blocking TCP connection with an output buffer.
#pragma once

#include "event_loop.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace balsamwheel {

/// An IPv4 address and a port.
struct Endpoint {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  std::string toText() const;
  /// \returns none when \p Text isn't "host:port".
  static std::optional<Endpoint> fromText(std::string_view Text);
  auto operator<=>(const Endpoint &) const = default;
};

enum class StreamEnd : std::uint8_t {
  /// The other side has closed in order.
  Closed,
  /// Reset, refused, or another error of the connection.
  Failed,
};

struct StreamEvents {
  std::function<void()> m_OnOpen;
  std::function<void(std::string_view)> m_OnData;
  /// At most once, and never after close().
  std::function<void(StreamEnd)> m_OnEnd;
  /// The output buffer has become empty.
  std::function<void()> m_OnDrained;
};

/// Invariants: no event is delivered after close(); write() after the end of
/// the stream is ignored.
class Stream final : public ACE_Event_Handler {
public:
  explicit Stream(EventLoop &Loop) : m_Loop(Loop) {}
  ~Stream() override { close(); }
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  void setEvents(StreamEvents Events) { m_Events = std::move(Events); }
  /// For connect(): how long the other end may acknowledge nothing.
  void setUnacknowledgedLimit(Duration Limit) { m_Unacknowledged = Limit; }
  /// Bytes that the kernel may hold for the other end; 0 leaves its default.
  void setSendBuffer(int Bytes) { m_SendBuffer = Bytes; }
  /// Begins to connect; the end is reported through the events.
  bool connect(const Endpoint &To);
  /// Takes over an accepted socket.
  bool adopt(ACE_HANDLE Handle);
  void write(std::string_view Bytes);
  /// Closes once the output buffer is empty.
  void closeWhenDrained();
  void close();

  bool isOpen() const {
    return m_Handle != ACE_INVALID_HANDLE && !m_Connecting;
  }
  std::size_t pending() const { return m_Output.size() - m_Written; }

  ACE_HANDLE get_handle() const override { return m_Handle; }
  int handle_input(ACE_HANDLE) override;
  int handle_output(ACE_HANDLE) override;

private:
  bool watch(ACE_Reactor_Mask Mask);
  void wantWrite(bool Wanted);
  void flush();
  void end(StreamEnd How);
  bool finishConnect();

  EventLoop &m_Loop;
  StreamEvents m_Events;
  ACE_HANDLE m_Handle = ACE_INVALID_HANDLE;
  bool m_Connecting = false;
  bool m_WriteWatched = false;
  bool m_CloseWhenDrained = false;
  Duration m_Unacknowledged = std::chrono::seconds(4);
  int m_SendBuffer = 0;
  std::string m_Output;
  /// Bytes of m_Output that have been written.
  std::size_t m_Written = 0;
};

/// Accepts connections on one address.
class Acceptor final : public ACE_Event_Handler {
public:
  using OnAccept = std::function<void(ACE_HANDLE)>;

  Acceptor(EventLoop &Loop, OnAccept Accepted)
      : m_Loop(Loop), m_OnAccept(std::move(Accepted)) {}
  ~Acceptor() override { close(); }
  Acceptor(const Acceptor &) = delete;
  Acceptor &operator=(const Acceptor &) = delete;

  bool listen(const Endpoint &At);
  void close();
  ACE_HANDLE get_handle() const override { return m_Handle; }
  int handle_input(ACE_HANDLE) override;

private:
  EventLoop &m_Loop;
  OnAccept m_OnAccept;
  ACE_HANDLE m_Handle = ACE_INVALID_HANDLE;
};

} // namespace balsamwheel
