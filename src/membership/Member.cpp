#include "plantaindrift/membership/Member.h"

#include <algorithm>

namespace plantaindrift {

bool isValidName(std::string_view text) noexcept
{
    bool const isPrintable = std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter <= '~'; });
    return isPrintable && !text.empty() && text.size() <= maximumNameLength;
}

bool isValidMember(Member const& member) noexcept
{
    bool const hasDataCentre = member.dataCentre.empty() || isValidName(member.dataCentre);
    bool const hasService = member.role == MemberRole::Entry ? member.service.empty() : isValidName(member.service);
    return isValidName(member.name) && hasDataCentre && hasService && member.incarnation <= maximumIncarnation && member.weight >= 1;
}

} // namespace plantaindrift
