#include "Basilgap/Common/Hash.h"

#include <random>

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace basilgap {

std::string sha256(std::string_view data)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(),
        reinterpret_cast<unsigned char *>(digest.data()));
    return digest;
}

std::string sha256Hex(std::string_view data)
{
    constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : sha256(data)) {
        text += Digits[byte >> 4];
        text += Digits[byte & 15];
    }
    return text;
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

uint64_t checksum(std::string_view data)
{
    return XXH3_64bits(data.data(), data.size());
}

uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32) | device();
}

std::string randomKey()
{
    constexpr char Letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    constexpr size_t KeyCharacters = 43;
    unsigned char bytes[KeyCharacters];
    RAND_bytes(bytes, sizeof bytes);
    std::string key;
    for (const unsigned char byte : bytes)
        key += Letters[byte % 64];
    return key;
}

} // namespace basilgap
