// Layout: a header line "REQUEST_ID FILLER_LENGTH FILLER_HASH", then the
// filler.
#include "bench/core/payload.h"

#include "balsamwheel/detail/core/hash.h"

namespace balsamwheel::bench {

namespace {

std::string headerOf(std::string_view RequestId, std::string_view Filler) {
  return std::string(RequestId) + " " + std::to_string(Filler.size()) + " " +
         std::to_string(hashKey(Filler).value()) + "\n";
}

std::string makeFiller(std::string_view RequestId, std::size_t Size) {
  const std::string Line = "balsamwheel " + std::string(RequestId) + "\n";
  std::string Filler;
  Filler.reserve(Size + Line.size());
  while (Filler.size() < Size)
    Filler += Line;
  return Filler;
}

} // namespace

std::string makePayload(std::string_view RequestId, std::size_t Size) {
  const std::string Filler = makeFiller(RequestId, Size);
  return headerOf(RequestId, Filler) + Filler;
}

bool isIntactPayload(std::string_view Body, std::string_view RequestId) {
  const std::size_t End = Body.find('\n');
  if (End == std::string_view::npos)
    return false;
  const std::string_view Filler = Body.substr(End + 1);
  return Body.substr(0, End + 1) == headerOf(RequestId, Filler);
}

} // namespace balsamwheel::bench
