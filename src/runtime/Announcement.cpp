#include "runtime/Announcement.h"

#include "plantaindrift/base/Error.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace plantaindrift {

namespace {

    constexpr std::array<MemberState, 5> states { MemberState::Active, MemberState::Draining, MemberState::Suspect, MemberState::Dead, MemberState::Left };

    std::optional<MemberState> stateOf(std::string const& name)
    {
        for (MemberState const state : states) {
            if (memberStateName(state) == name)
                return state;
        }
        return std::nullopt;
    }

    Member decodeFields(nlohmann::json const& json)
    {
        Member member;
        member.role = MemberRole::Agent;
        member.name = json.at("name").get<std::string>();
        member.place = json.at("place").get<std::string>();
        member.service = json.at("service").get<std::string>();
        member.incarnation = json.at("incarnation").get<std::uint64_t>();
        member.data = parseEndpoint(json.at("data").get<std::string>()).value_or(Endpoint {});
        member.control = parseEndpoint(json.at("control").get<std::string>()).value_or(Endpoint {});
        member.weight = json.at("weight").get<std::uint16_t>();
        member.slots = json.at("slots").get<std::uint16_t>();
        member.connections = json.at("connections").get<std::uint32_t>();
        return member;
    }

} // namespace

std::string announcementKey(Member const& member)
{
    return std::string(announcementPrefix) + member.service + '/' + member.name;
}

std::string encodeAnnouncement(Member const& member)
{
    nlohmann::json json;
    json["name"] = member.name;
    json["place"] = member.place;
    json["service"] = member.service;
    json["incarnation"] = member.incarnation;
    json["state"] = std::string(memberStateName(member.state));
    json["data"] = formatEndpoint(member.data);
    json["control"] = formatEndpoint(member.control);
    json["weight"] = member.weight;
    json["slots"] = member.slots;
    json["connections"] = member.connections;
    return json.dump();
}

absl::StatusOr<Member> decodeAnnouncement(std::string_view text)
{
    try {
        nlohmann::json const json = nlohmann::json::parse(text);
        Member member = decodeFields(json);
        std::optional<MemberState> const state = stateOf(json.at("state").get<std::string>());
        if (!state || !member.data.isSet() || !member.control.isSet())
            return makeError(ErrorKind::InvalidMessage, "announcement of " + member.name + ": field state, data or control is wrong; let its agent announce again");
        member.state = *state;
        member.draining = *state == MemberState::Draining;
        return member;
    } catch (nlohmann::json::exception const& error) {
        return makeError(ErrorKind::InvalidMessage, std::string("announcement: ") + error.what() + "; let its agent announce again");
    }
}

} // namespace plantaindrift
