// Conversion of HTTP headers to and from the frames between daemons.
#pragma once

#include "peer_link.h"

#include "net/http_message.h"

namespace balsamwheel {

inline void setHeaders(LinkFrame &To, const HttpHeaders &From) {
  for (const HttpHeader &Each : From.all()) {
    auto Header = std::make_unique<link_wire::HeaderT>();
    Header->name = Each.m_Name;
    Header->value = Each.m_Value;
    To.headers.push_back(std::move(Header));
  }
}

inline HttpHeaders headersOf(const LinkFrame &From) {
  HttpHeaders Result;
  for (const auto &Each : From.headers)
    Result.add(Each->name, Each->value);
  return Result;
}

} // namespace balsamwheel
