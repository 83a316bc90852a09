#include <signal.h>

#include <iostream>

#include "ctl/program.h"

int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    return nickelramp::ctl::run({argv + 1, argv + argc}, std::cin, std::cout, std::cerr);
}
