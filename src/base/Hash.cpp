#include "plantaindrift/base/Hash.h"

#include <array>
#include <cmath>
#include <xxhash.h>

namespace plantaindrift {

FlowHash hashFlow(FlowKey const& key) noexcept
{
    std::uint64_t const source = (static_cast<std::uint64_t>(key.source.address) << 16U) | key.source.port;
    std::uint64_t const destination = (static_cast<std::uint64_t>(key.destination.address) << 16U) | key.destination.port;
    std::array<std::uint64_t, 2> const words { source, destination | (static_cast<std::uint64_t>(key.protocol) << 48U) };
    return FlowHash { XXH3_64bits(words.data(), sizeof(words)) };
}

ServiceHash hashService(std::string_view name) noexcept
{
    return ServiceHash { XXH3_64bits(name.data(), name.size()) };
}

std::uint64_t hashText(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t mixHash(std::uint64_t first, std::uint64_t second) noexcept
{
    std::array<std::uint64_t, 2> const words { first, second };
    return XXH3_64bits(words.data(), sizeof(words));
}

double rendezvousScore(std::uint64_t nameHash, std::uint64_t key, double weight) noexcept
{
    constexpr unsigned mantissaBits = 53;
    std::uint64_t const mantissa = mixHash(nameHash, key) >> (64U - mantissaBits);
    // Half a step keeps the value inside (0, 1), where the logarithm is finite and not zero.
    double const uniform = (static_cast<double>(mantissa) + 0.5) / static_cast<double>(1ULL << mantissaBits);
    return -weight / std::log(uniform);
}

} // namespace plantaindrift
