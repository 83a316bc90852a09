/// @file
/// Random mutations of encoded messages, for tests of decoders.
#pragma once
#include <cstddef>
#include <random>
#include <string>

namespace nickelramp::test {

/// Sets `changes` bytes at random positions of the text, which is not empty, to random values.
template <std::uniform_random_bit_generator Random>
void mutate_bytes(std::string& text, int changes, Random& random) {
    for (int change = 0; change < changes; ++change) {
        const auto value = static_cast<char>(random());
        const std::size_t position = random() % text.size();
        text[position] = value;
    }
}

}  // namespace nickelramp::test
