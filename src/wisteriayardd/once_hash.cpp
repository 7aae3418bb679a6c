#include "once_hash.h"

#include "hash.h"

namespace wisteriayard {

namespace {

    /// SHA-256 is truncated to 128 bits, which is enough against collisions and keeps the log small.
    constexpr std::size_t hashBytes = 16;

    std::string shortHash(const std::string& text)
    {
        std::string digits = sha256Hex(text);
        std::string raw;
        for (std::size_t i = 0; i < hashBytes; ++i)
            raw.push_back(static_cast<char>(std::stoi(digits.substr(2 * i, 2), nullptr, 16)));
        return raw;
    }

    /// Concatenates the parts, each with its length in front, so that different lists never give the same text.
    std::string lengthPrefixed(std::initializer_list<std::string> parts)
    {
        std::string text;
        for (const std::string& part : parts)
            text += std::to_string(part.size()) + ":" + part;
        return text;
    }

} // namespace

OnceKey onceKey(const AccountId& account, const std::string& idempotencyKey, const RequestId& request)
{
    if (idempotencyKey.empty())
        return OnceKey(shortHash(lengthPrefixed({ "request", request.value() })));
    return OnceKey(shortHash(lengthPrefixed({ "key", account.value(), idempotencyKey })));
}

OnceFingerprint onceFingerprint(const wire::Submit& submit)
{
    return OnceFingerprint(
        shortHash(lengthPrefixed({ submit.method(), submit.path(), submit.content_type(), submit.body() })));
}

std::uint32_t oncePartitionOf(const OnceKey& key, std::uint32_t partitions)
{
    std::uint32_t number = 0;
    for (std::size_t i = 0; i < sizeof(number) && i < key.value().size(); ++i)
        number = number << 8 | static_cast<unsigned char>(key.value()[i]);
    return number % partitions;
}

} // namespace wisteriayard
