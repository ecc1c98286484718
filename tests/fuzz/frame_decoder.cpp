// libFuzzer entry: the decoder of frames between daemons.
#include "adapters/peer_tcp/codec.h"

#include <cstdlib>

using namespace balsamwheel::peer_tcp;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  // A frame of its own gives the bytes the alignment of a received frame.
  const std::vector<std::uint8_t> Frame(Data, Data + Size);
  WireMessage First;
  if (decode(Frame, First))
    return 0;
  // What was accepted must survive another round.
  WireMessage Second;
  if (decode(encode(First), Second) || First.index() != Second.index())
    std::abort();
  return 0;
}
