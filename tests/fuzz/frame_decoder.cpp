// libFuzzer target for the decoder of frames between daemons.
#include "adapters/peer_tcp/codec.h"

#include <cstdlib>

using namespace balsamwheel::peer_tcp;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  // Received frames are aligned, so the input is copied to an aligned buffer.
  const std::vector<std::uint8_t> Frame(Data, Data + Size);
  WireMessage First;
  if (decode(Frame, First))
    return 0;
  // A decoded message must encode and decode to the same type again.
  WireMessage Second;
  if (decode(encode(First), Second) || First.index() != Second.index())
    std::abort();
  return 0;
}
