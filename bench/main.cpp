// balsamwheel-bench: stand-ins for the platform and for targets, a load
// generator, and experiments.
#include "bench/commands.h"

#include <exception>
#include <iostream>

int main(int Count, char **Arguments) {
  try {
    return balsamwheel::bench::runCommand({Arguments + 1, Arguments + Count});
  } catch (const std::exception &Error) {
    std::cerr << "balsamwheel-bench: " << Error.what() << "\n";
    return 2;
  }
}
