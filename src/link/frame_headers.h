// Conversion of HTTP headers to and from the frames between daemons.
#pragma once

#include "peer_link.h"

#include "net/http_message.h"

namespace balsamwheel {

inline void setHeaders(LinkFrame &Frame, const HttpHeaders &Source) {
  for (const HttpHeader &Each : Source.all()) {
    auto Header = std::make_unique<link_wire::HeaderT>();
    Header->name = Each.m_Name;
    Header->value = Each.m_Value;
    Frame.headers.push_back(std::move(Header));
  }
}

inline HttpHeaders headersOf(const LinkFrame &Source) {
  HttpHeaders Result;
  for (const auto &Each : Source.headers)
    Result.add(Each->name, Each->value);
  return Result;
}

} // namespace balsamwheel
