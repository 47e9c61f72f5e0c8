#include "configuration/FieldRules.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    bool isAlphanumeric(char character) noexcept
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9');
    }

    bool isNameCharacter(char character) noexcept
    {
        return isAlphanumeric(character) || character == '.' || character == '_' || character == '-';
    }

    // Length of the valid UTF-8 sequence at the front of the text; 0 if there is none.
    std::size_t sequenceLength(std::string_view text) noexcept
    {
        unsigned const lead = static_cast<unsigned char>(text.front());
        if (lead < 0x80U)
            return 1;
        std::size_t length = 0;
        std::uint32_t code = 0;
        std::uint32_t least = 0;
        if ((lead & 0xE0U) == 0xC0U) {
            length = 2;
            code = lead & 0x1FU;
            least = 0x80;
        } else if ((lead & 0xF0U) == 0xE0U) {
            length = 3;
            code = lead & 0x0FU;
            least = 0x800;
        } else if ((lead & 0xF8U) == 0xF0U) {
            length = 4;
            code = lead & 0x07U;
            least = 0x10000;
        }
        if (length == 0 || text.size() < length)
            return 0;
        for (std::size_t index = 1; index < length; ++index) {
            unsigned const byte = static_cast<unsigned char>(text[index]);
            if ((byte & 0xC0U) != 0x80U)
                return 0;
            code = (code << 6U) | (byte & 0x3FU);
        }
        bool const isSurrogate = code >= 0xD800 && code <= 0xDFFF;
        return code < least || code > 0x10FFFF || isSurrogate ? 0 : length;
    }

} // namespace

bool isName(std::string_view text) noexcept
{
    if (text.empty() || text.size() > longestName || !isAlphanumeric(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isTargetPattern(std::string_view text) noexcept
{
    if (!text.ends_with('*'))
        return isName(text);
    text.remove_suffix(1);
    return text.empty() || isName(text);
}

std::size_t findInvalidUtf8(std::string_view text) noexcept
{
    std::size_t position = 0;
    while (position < text.size()) {
        std::size_t const length = sequenceLength(text.substr(position));
        if (length == 0)
            return position;
        position += length;
    }
    return std::string_view::npos;
}

bool isPrintableText(std::string_view text) noexcept
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7F;
    bool const hasControl = std::any_of(text.begin(), text.end(), [](char character) {
        unsigned char const byte = static_cast<unsigned char>(character);
        return byte < firstPrintable || byte == deleteCharacter;
    });
    return !hasControl && findInvalidUtf8(text) == std::string_view::npos;
}

} // namespace plantaindrift
