#include "packet/Tag.h"

#include <algorithm>
#include <sodium.h>

namespace plantaindrift {

static_assert(tagBytes == crypto_shorthash_siphashx24_BYTES);
static_assert(datagramKeyBytes == crypto_shorthash_siphashx24_KEYBYTES);

Tag computeTag(std::span<std::byte const> bytes, DatagramKey const& key) noexcept
{
    Tag tag;
    unsigned char const* const input = reinterpret_cast<unsigned char const*>(bytes.data());
    crypto_shorthash_siphashx24(tag.data(), input, bytes.size(), key.bytes.data());
    return tag;
}

bool isEqualTag(Tag const& left, Tag const& right) noexcept
{
    return sodium_memcmp(left.data(), right.data(), tagBytes) == 0;
}

DatagramKey const* findKey(KeyRing const& keys, std::uint8_t epoch) noexcept
{
    std::size_t const count = std::min(keys.count, keys.keys.size());
    for (std::size_t index = 0; index < count; ++index) {
        if (keys.keys[index].epoch == epoch)
            return &keys.keys[index];
    }
    return nullptr;
}

bool isStale(std::uint32_t sentSeconds, std::uint32_t nowSeconds) noexcept
{
    std::uint32_t const age = sentSeconds > nowSeconds ? sentSeconds - nowSeconds : nowSeconds - sentSeconds;
    return age > staleSeconds;
}

} // namespace plantaindrift
