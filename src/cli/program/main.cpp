// balsamwheel: the command-line tool for operators.
#include "cli/command_line.h"

#include <exception>
#include <iostream>

int main(int Count, char **Arguments) {
  try {
    return balsamwheel::cli::runCommandLine({Arguments + 1, Arguments + Count},
                                            std::cout, std::cerr);
  } catch (const std::exception &Error) {
    std::cerr << "balsamwheel: " << Error.what() << "\n";
    return 1;
  }
}
