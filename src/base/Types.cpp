#include "plantaindrift/base/Types.h"

#include <charconv>

namespace plantaindrift {

namespace {

    // Reads a decimal number of at most `limit` from the front of the text and removes it.
    std::optional<std::uint32_t> takeNumber(std::string_view& text, std::uint32_t limit) noexcept
    {
        std::uint32_t value = 0;
        std::from_chars_result const result = std::from_chars(text.data(), text.data() + text.size(), value);
        if (result.ec != std::errc() || value > limit)
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
        return value;
    }

} // namespace

std::optional<std::uint32_t> parseAddress(std::string_view text) noexcept
{
    constexpr int octets = 4;
    std::uint32_t address = 0;
    for (int octet = 0; octet < octets; ++octet) {
        if (octet > 0) {
            if (!text.starts_with('.'))
                return std::nullopt;
            text.remove_prefix(1);
        }
        std::optional<std::uint32_t> const value = takeNumber(text, 255);
        if (!value)
            return std::nullopt;
        address = (address << 8U) | *value;
    }
    if (!text.empty())
        return std::nullopt;
    return address;
}

std::optional<Endpoint> parseEndpoint(std::string_view text) noexcept
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::optional<std::uint32_t> const address = parseAddress(text.substr(0, colon));
    std::string_view rest = text.substr(colon + 1);
    std::optional<std::uint32_t> const port = takeNumber(rest, 65535);
    if (!address || !port || *port == 0 || !rest.empty())
        return std::nullopt;
    return Endpoint { *address, static_cast<std::uint16_t>(*port) };
}

std::string formatAddress(std::uint32_t address)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        if (!text.empty())
            text += '.';
        text += std::to_string((address >> static_cast<unsigned>(shift)) & 0xFFU);
    }
    return text;
}

std::string formatEndpoint(Endpoint endpoint)
{
    return formatAddress(endpoint.address) + ':' + std::to_string(endpoint.port);
}

} // namespace plantaindrift
