// Random choices of model-based property tests.
#pragma once

#include <rapidcheck.h>

namespace balsamwheel::tests {

/// Returns a random number below \p Limit.
///
/// rc::gen::inRange() alone narrows its range in the first runs, so that they
/// would choose the same steps again and again.
inline int pick(int Limit) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, Limit));
}

} // namespace balsamwheel::tests
