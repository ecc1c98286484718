// Ids and tokens from texts that are known to be allowed.
#pragma once

#include "balsamwheel/detail/core/foreign_text.h"

namespace balsamwheel::tests {

inline TargetId targetId(std::string Text) {
  return TargetId::fromText(std::move(Text)).value();
}

inline HandoverToken handoverToken(std::string Text) {
  return HandoverToken::fromText(std::move(Text)).value();
}

} // namespace balsamwheel::tests
