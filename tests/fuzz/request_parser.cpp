// libFuzzer target for the validation of callers' request heads.
#include "adapters/caller_http/request_parser.h"

#include <cstdlib>
#include <string_view>

using namespace balsamwheel;
using namespace balsamwheel::caller_http;

namespace {

Config makeConfig() {
  Service Keyed;
  Keyed.m_Name = ServiceName("orders");
  Keyed.m_DividedByKey = true;
  Keyed.m_Shards = 16;
  Keyed.m_Classes = {{.m_Name = ClassName("read"), .m_Match = {"GET /orders"}},
                     {.m_Name = ClassName("place"),
                      .m_Idempotent = false,
                      .m_Match = {"POST /orders"}}};
  Config Result;
  Result.m_Version = ConfigVersion(1);
  Result.m_Manifest.m_Services = {Keyed};
  return Result;
}

/// Removes the first line from \p Rest and returns it.
std::string takeLine(std::string_view &Rest) {
  const std::size_t End = Rest.find('\n');
  const std::string Line(Rest.substr(0, End));
  Rest.remove_prefix(End == std::string_view::npos ? Rest.size() : End + 1);
  return Line;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  static const Config ActiveConfig = makeConfig();
  std::string_view Rest(reinterpret_cast<const char *>(Data), Size);
  RequestHead Head;
  Head.m_Method = takeLine(Rest);
  Head.m_RequestTarget = takeLine(Rest);
  while (!Rest.empty()) {
    std::string Name = takeLine(Rest);
    Head.m_Headers.emplace_back(std::move(Name), takeLine(Rest));
  }
  const auto Result = parseRequest(Head, &ActiveConfig, RequestId("fresh"));
  if (const auto *Parsed = std::get_if<ParsedRequest>(&Result)) {
    const bool InBounds =
        !Parsed->m_Meta.m_Key.empty() &&
        Parsed->m_Meta.m_Key.size() <= MaxKeyLength &&
        Parsed->m_TimeLeft > Duration(0) &&
        Parsed->m_Meta.m_Id.value().size() <= MaxRequestIdLength;
    if (!InBounds)
      std::abort();
  } else if (std::get<Refusal>(Result).m_Status < 400) {
    std::abort();
  }
  return 0;
}
