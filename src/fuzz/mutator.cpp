#include "mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace wisteriayard::fuzz {

namespace {

    constexpr std::size_t maxInputBytes = 20'000;
    constexpr std::size_t maxMutations = 6;
    constexpr std::size_t maxRepetitions = 400;

    /// Texts that parsers treat in a special way.
    constexpr std::array tokens = { std::string_view("\r\n"), std::string_view("\r\n\r\n"), std::string_view("\n"),
        std::string_view("\r"), std::string_view(":"), std::string_view(": "), std::string_view(" "),
        std::string_view("\t"), std::string_view(","), std::string_view(";"), std::string_view("\0", 1),
        std::string_view("\xff"), std::string_view("Content-Length: 5\r\n"),
        std::string_view("Transfer-Encoding: chunked\r\n"), std::string_view("Connection: close, X-A\r\n"),
        std::string_view("X-A: b\r\n"), std::string_view(" folded\r\n"), std::string_view("id: 9\n"),
        std::string_view("data: x\n\n"), std::string_view("18446744073709551616"), std::string_view("-1"),
        std::string_view("1e999"), std::string_view("0.5"), std::string_view("null"), std::string_view("[]"),
        std::string_view("{}"), std::string_view("[["), std::string_view("\"") };

} // namespace

void Mutator::mutate(std::string& input)
{
    std::size_t position = below(input.size() + 1);
    std::size_t length = below(std::min<std::size_t>(input.size() - position, 64) + 1);
    switch (below(7)) {
    case 0:
        if (position < input.size())
            input[position] = static_cast<char>(below(256));
        break;
    case 1:
        if (position < input.size())
            input[position] = static_cast<char>(input[position] ^ (1 << below(8)));
        break;
    case 2:
        input.erase(position, length);
        break;
    case 3:
        input.insert(position, tokens[below(tokens.size())]);
        break;
    case 4:
        input.resize(position);
        break;
    case 5: {
        std::string part = input.substr(position, length);
        for (std::size_t left = below(maxRepetitions); left > 0 && input.size() < maxInputBytes; --left)
            input.insert(position, part);
        break;
    }
    default: {
        const std::string& other = m_corpus[below(m_corpus.size())];
        input.replace(position, length, other.substr(below(other.size() + 1), below(other.size() + 1)));
        break;
    }
    }
    if (input.size() > maxInputBytes)
        input.resize(maxInputBytes);
}

std::string Mutator::next()
{
    std::string input = m_corpus[below(m_corpus.size())];
    for (std::size_t left = below(maxMutations) + 1; left > 0; --left)
        mutate(input);
    return input;
}

} // namespace wisteriayard::fuzz
