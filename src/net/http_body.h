// Bodies of requests, which several holders of a request share.
#pragma once

#include "body_room.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace balsamwheel {

/// Body of a request. Copies share it, so that a request that is kept for a
/// retry, waits for a connection and is being sent takes its memory once.
class HttpBody {
public:
  HttpBody() = default;
  /// \param Reservation ends with the last copy.
  // NOLINTNEXTLINE(google-explicit-constructor)
  HttpBody(std::string Text, BodyReservation Reservation = {}) {
    if (!Text.empty())
      m_Held = std::make_shared<const Held>(Held{
          .m_Text = std::move(Text), .m_Reservation = std::move(Reservation)});
  }
  // NOLINTNEXTLINE(google-explicit-constructor)
  HttpBody(const char *Text) : HttpBody(std::string(Text)) {}

  // NOLINTNEXTLINE(google-explicit-constructor)
  operator std::string_view() const {
    return m_Held ? std::string_view(m_Held->m_Text) : std::string_view();
  }
  std::size_t size() const { return m_Held ? m_Held->m_Text.size() : 0; }
  bool empty() const { return size() == 0; }
  /// Returns the body as text that can be changed; complexity: linear.
  std::string toText() const { return std::string(std::string_view(*this)); }
  bool operator==(std::string_view Other) const {
    return std::string_view(*this) == Other;
  }

private:
  struct Held {
    std::string m_Text;
    BodyReservation m_Reservation;
  };
  /// Null for an empty body.
  std::shared_ptr<const Held> m_Held;
};

} // namespace balsamwheel
