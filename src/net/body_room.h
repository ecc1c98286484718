// Bounds the memory for the bodies of requests, over all connections of the
// process.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace balsamwheel {

/// Bytes that are reserved in a BodyRoom until the reservation ends.
class BodyReservation {
public:
  BodyReservation() = default;
  ~BodyReservation() { release(); }
  BodyReservation(BodyReservation &&Other) noexcept
      : m_Reserved(std::move(Other.m_Reserved)),
        m_Bytes(std::exchange(Other.m_Bytes, 0)) {}
  BodyReservation &operator=(BodyReservation &&Other) noexcept {
    if (this != &Other) {
      release();
      m_Reserved = std::move(Other.m_Reserved);
      m_Bytes = std::exchange(Other.m_Bytes, 0);
    }
    return *this;
  }

  std::size_t bytes() const { return m_Bytes; }

private:
  friend class BodyRoom;

  void release() {
    if (m_Reserved)
      *m_Reserved -= m_Bytes;
    m_Bytes = 0;
  }

  /// Sum over all reservations; shared, because they may outlive the room.
  std::shared_ptr<std::size_t> m_Reserved;
  std::size_t m_Bytes = 0;
};

/// Load pattern: callers send large bodies at the same time, and the memory of
/// the machine doesn't hold all of them. Those that find no room are refused
/// before their bodies are read.
///
/// Bodies of up to SmallBodyBytes aren't counted: their number is bounded by
/// that of the connections. Invariant: the reservations are at most m_MaxBytes
/// together.
class BodyRoom {
public:
  static constexpr std::size_t SmallBodyBytes = 65536;

  /// \param MaxBytes 0 means no limit.
  explicit BodyRoom(std::size_t MaxBytes) : m_MaxBytes(MaxBytes) {}

  /// Extends a reservation to \p Bytes, unless it is larger.
  /// \returns false, without a change, if there is no room.
  bool extend(BodyReservation &Reservation, std::size_t Bytes) {
    if (Bytes <= SmallBodyBytes || Bytes <= Reservation.m_Bytes)
      return true;
    const std::size_t More = Bytes - Reservation.m_Bytes;
    if (m_MaxBytes != 0 &&
        (More > m_MaxBytes || *m_Reserved > m_MaxBytes - More))
      return false;
    *m_Reserved += More;
    Reservation.m_Reserved = m_Reserved;
    Reservation.m_Bytes = Bytes;
    return true;
  }

  /// 0 means no limit.
  std::size_t maxBytes() const { return m_MaxBytes; }
  std::size_t reserved() const { return *m_Reserved; }

private:
  std::size_t m_MaxBytes;
  std::shared_ptr<std::size_t> m_Reserved = std::make_shared<std::size_t>(0);
};

} // namespace balsamwheel
