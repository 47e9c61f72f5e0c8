#include "plantaindrift/store/StatusObjects.h"

#include "configuration/JsonObject.h"
#include "plantaindrift/base/Error.h"

#include <array>
#include <limits>

namespace plantaindrift {

namespace {

    constexpr std::uint64_t objectFormat = 1;
    constexpr std::size_t pageSize = 1000;
    constexpr int writeTrials = 5;
    constexpr NumberRange anyNumber { 0, std::numeric_limits<std::uint64_t>::max() };
    constexpr NumberRange timeRange { 0, std::numeric_limits<std::int64_t>::max() };
    constexpr std::size_t longestEndpoint = 21;

    constexpr std::array<std::string_view, 2> roleNames { "entry", "agent" };
    constexpr std::array<MemberState, 5> states { MemberState::Active, MemberState::Draining, MemberState::Suspect, MemberState::Dead, MemberState::Left };

    bool isKind(absl::Status const& status, ErrorKind kind)
    {
        return !status.ok() && errorKind(status) == kind;
    }

    // The outcome of these writes shows when the object is read again.
    bool isReadAgain(absl::Status const& status)
    {
        return isKind(status, ErrorKind::OutcomeUnknown) || isKind(status, ErrorKind::LostRace) || isKind(status, ErrorKind::NotFound);
    }

    std::string nameOrEmpty(JsonObject& object, std::string_view key)
    {
        nlohmann::json const* const value = object.takeOptional(key);
        bool const isEmpty = value != nullptr && value->is_string() && value->get_ref<std::string const&>().empty();
        return isEmpty ? std::string() : object.takeName(key);
    }

    // An unset endpoint is written as "0.0.0.0:0".
    Endpoint takeEndpoint(JsonObject& object, std::string_view key)
    {
        std::string const text = object.takeText(key, longestEndpoint);
        if (text == formatEndpoint({}))
            return {};
        std::optional<Endpoint> const endpoint = parseEndpoint(text);
        if (!endpoint)
            object.fail(key, "is not an address and port", "use A.B.C.D:PORT");
        return endpoint.value_or(Endpoint {});
    }

    MemberRole takeRole(JsonObject& object)
    {
        std::string const name = object.takeName("role");
        for (std::size_t role = 0; role < roleNames.size(); ++role) {
            if (roleNames[role] == name)
                return static_cast<MemberRole>(role);
        }
        object.fail("role", "is unknown", "use entry or agent");
        return MemberRole::Agent;
    }

    MemberState takeState(JsonObject& object)
    {
        std::string const name = object.takeName("state");
        for (MemberState const state : states) {
            if (memberStateName(state) == name)
                return state;
        }
        object.fail("state", "is unknown", "use active, draining, suspect, dead or left");
        return MemberState::Active;
    }

    template <typename Value>
    absl::StatusOr<Value> decode(std::string_view text, Value (*read)(JsonObject&))
    {
        absl::StatusOr<nlohmann::json> const json = parseJson(text);
        if (!json.ok())
            return json.status();
        absl::Status error;
        JsonObject object(*json, {}, error);
        (void)object.takeNumber("format", { objectFormat, objectFormat });
        Value value = read(object);
        object.finish();
        if (!error.ok())
            return error;
        return value;
    }

    template <typename Value>
    absl::StatusOr<std::vector<Value>> listDecoded(ObjectStore& store, std::string_view prefix, absl::StatusOr<Value> (*decodeOne)(std::string_view))
    {
        absl::StatusOr<std::vector<StoredObject>> const objects = listAll(store, prefix);
        if (!objects.ok())
            return objects.status();
        std::vector<Value> values;
        for (StoredObject const& object : *objects) {
            absl::StatusOr<Value> value = decodeOne(object.value);
            if (!value.ok())
                return makeError(errorKind(value.status()), "object " + object.key + ": " + std::string(value.status().message()));
            values.push_back(*std::move(value));
        }
        return values;
    }

    template <typename Value>
    absl::StatusOr<std::optional<Value>> readIfPresent(ObjectStore& store, std::string const& key, absl::StatusOr<Value> (*decodeOne)(std::string_view))
    {
        absl::StatusOr<StoredObject> const object = store.get(key);
        if (isKind(object.status(), ErrorKind::NotFound))
            return std::optional<Value>();
        if (!object.ok())
            return object.status();
        absl::StatusOr<Value> value = decodeOne(object->value);
        if (!value.ok())
            return value.status();
        return std::optional<Value>(*std::move(value));
    }

    // Creates an operator's request unless there is one; returns the one in force.
    template <typename Value>
    absl::StatusOr<Value> createOnce(ObjectStore& store, std::string const& key, std::string const& text, absl::StatusOr<Value> (*decodeOne)(std::string_view), std::string const& what)
    {
        absl::StatusOr<Value> checked = decodeOne(text);
        if (!checked.ok())
            return makeError(ErrorKind::Refused, "the " + what + " request would not be accepted: " + std::string(checked.status().message()));
        for (int trial = 0; trial < writeTrials; ++trial) {
            absl::StatusOr<std::optional<Value>> const existing = readIfPresent<Value>(store, key, decodeOne);
            if (!existing.ok())
                return existing.status();
            if (existing->has_value())
                return **existing;
            absl::Status const created = store.create(key, text).status();
            if (created.ok())
                return checked;
            if (!isReadAgain(created))
                return created;
        }
        return makeError(ErrorKind::OutcomeUnknown, "the platform does not say whether the " + what + " was recorded; repeat the same command, it is safe");
    }

    // Removes an operator's request; returns true if there was one.
    absl::StatusOr<bool> removeIfPresent(ObjectStore& store, std::string const& key, std::string const& what)
    {
        bool existed = false;
        for (int trial = 0; trial < writeTrials; ++trial) {
            absl::StatusOr<StoredObject> const object = store.get(key);
            if (isKind(object.status(), ErrorKind::NotFound))
                return existed;
            if (!object.ok())
                return object.status();
            existed = true;
            absl::Status const removed = store.remove(key, object->version);
            if (removed.ok())
                return true;
            if (!isReadAgain(removed))
                return removed;
        }
        return makeError(ErrorKind::OutcomeUnknown, "the platform does not say whether the " + what + " was withdrawn; repeat the same command, it is safe");
    }

    Member readMember(JsonObject& object)
    {
        Member member;
        member.role = takeRole(object);
        member.name = object.takeName("name");
        member.dataCentre = nameOrEmpty(object, "data_centre");
        member.service = nameOrEmpty(object, "service");
        member.incarnation = object.takeNumber("incarnation", anyNumber);
        member.state = takeState(object);
        member.draining = object.takeFlag("draining");
        member.data = takeEndpoint(object, "data");
        member.control = takeEndpoint(object, "control");
        member.weight = static_cast<std::uint16_t>(object.takeNumber("weight", { 1, std::numeric_limits<std::uint16_t>::max() }));
        member.slots = static_cast<std::uint16_t>(object.takeNumber("slots", { 0, std::numeric_limits<std::uint16_t>::max() }));
        member.connections = static_cast<std::uint32_t>(object.takeNumber("connections", { 0, std::numeric_limits<std::uint32_t>::max() }));
        return member;
    }

    DrainRequest readDrain(JsonObject& object)
    {
        DrainRequest request;
        request.service = object.takeName("service");
        request.name = object.takeName("name");
        request.author = object.takeText("author", longestAuthor);
        request.reason = object.takeText("reason", longestReason);
        request.timeMilliseconds = static_cast<std::int64_t>(object.takeNumber("time_ms", timeRange));
        return request;
    }

    EvacuationRequest readEvacuation(JsonObject& object)
    {
        EvacuationRequest request;
        request.dataCentre = object.takeName("data_centre");
        request.author = object.takeText("author", longestAuthor);
        request.reason = object.takeText("reason", longestReason);
        request.timeMilliseconds = static_cast<std::int64_t>(object.takeNumber("time_ms", timeRange));
        return request;
    }

    EntryStatus readEntryStatus(JsonObject& object)
    {
        EntryStatus status;
        status.name = object.takeName("name");
        status.dataCentre = nameOrEmpty(object, "data_centre");
        status.position = object.takeNumber("position", anyNumber);
        status.timeMilliseconds = static_cast<std::int64_t>(object.takeNumber("time_ms", timeRange));
        status.ageMilliseconds = object.takeNumber("age_ms", anyNumber);
        return status;
    }

    std::string keyOf(std::string_view prefix, std::string_view service, std::string_view name)
    {
        return std::string(prefix) + std::string(service) + '/' + std::string(name);
    }

} // namespace

absl::StatusOr<std::vector<StoredObject>> listAll(ObjectStore& store, std::string_view prefix)
{
    std::vector<StoredObject> objects;
    while (true) {
        // The platform may return fewer objects than asked for, so only an empty page is the end.
        absl::StatusOr<std::vector<StoredObject>> page = store.list(prefix, objects.empty() ? std::string() : objects.back().key, pageSize);
        if (!page.ok())
            return page.status();
        if (page->empty())
            return objects;
        for (StoredObject& object : *page)
            objects.push_back(std::move(object));
    }
}

std::string announcementKey(std::string_view service, std::string_view name)
{
    return keyOf("targets/", service, name);
}

std::string encodeMember(Member const& member)
{
    return printJson({
        { "format", objectFormat },
        { "role", roleNames[static_cast<std::size_t>(member.role)] },
        { "name", member.name },
        { "data_centre", member.dataCentre },
        { "service", member.service },
        { "incarnation", member.incarnation },
        { "state", memberStateName(member.state) },
        { "draining", member.draining },
        { "data", formatEndpoint(member.data) },
        { "control", formatEndpoint(member.control) },
        { "weight", member.weight },
        { "slots", member.slots },
        { "connections", member.connections },
    });
}

absl::StatusOr<Member> decodeMember(std::string_view text)
{
    return decode<Member>(text, readMember);
}

absl::StatusOr<std::vector<Member>> listAnnouncements(ObjectStore& store, std::string_view service)
{
    std::string const prefix = service.empty() ? std::string("targets/") : announcementKey(service, "");
    return listDecoded<Member>(store, prefix, decodeMember);
}

std::string drainKey(std::string_view service, std::string_view name)
{
    return keyOf("drain/", service, name);
}

std::string encodeDrainRequest(DrainRequest const& request)
{
    return printJson({
        { "format", objectFormat },
        { "service", request.service },
        { "name", request.name },
        { "author", request.author },
        { "reason", request.reason },
        { "time_ms", request.timeMilliseconds },
    });
}

absl::StatusOr<DrainRequest> decodeDrainRequest(std::string_view text)
{
    return decode<DrainRequest>(text, readDrain);
}

absl::StatusOr<std::optional<DrainRequest>> readDrainRequest(ObjectStore& store, std::string_view service, std::string_view name)
{
    return readIfPresent<DrainRequest>(store, drainKey(service, name), decodeDrainRequest);
}

absl::StatusOr<DrainRequest> requestDrain(ObjectStore& store, DrainRequest const& request)
{
    return createOnce<DrainRequest>(store, drainKey(request.service, request.name), encodeDrainRequest(request), decodeDrainRequest, "drain");
}

absl::StatusOr<bool> withdrawDrain(ObjectStore& store, std::string_view service, std::string_view name)
{
    return removeIfPresent(store, drainKey(service, name), "drain");
}

absl::StatusOr<std::vector<DrainRequest>> listDrainRequests(ObjectStore& store)
{
    return listDecoded<DrainRequest>(store, "drain/", decodeDrainRequest);
}

std::string evacuationKey(std::string_view dataCentre)
{
    return "evacuations/" + std::string(dataCentre);
}

std::string encodeEvacuationRequest(EvacuationRequest const& request)
{
    return printJson({
        { "format", objectFormat },
        { "data_centre", request.dataCentre },
        { "author", request.author },
        { "reason", request.reason },
        { "time_ms", request.timeMilliseconds },
    });
}

absl::StatusOr<EvacuationRequest> decodeEvacuationRequest(std::string_view text)
{
    return decode<EvacuationRequest>(text, readEvacuation);
}

absl::StatusOr<EvacuationRequest> requestEvacuation(ObjectStore& store, EvacuationRequest const& request)
{
    return createOnce<EvacuationRequest>(store, evacuationKey(request.dataCentre), encodeEvacuationRequest(request), decodeEvacuationRequest, "evacuation");
}

absl::StatusOr<bool> withdrawEvacuation(ObjectStore& store, std::string_view dataCentre)
{
    return removeIfPresent(store, evacuationKey(dataCentre), "evacuation");
}

absl::StatusOr<std::vector<EvacuationRequest>> listEvacuationRequests(ObjectStore& store)
{
    return listDecoded<EvacuationRequest>(store, evacuationKey(""), decodeEvacuationRequest);
}

std::string entryStatusKey(std::string_view name)
{
    return "status/entries/" + std::string(name);
}

std::string encodeEntryStatus(EntryStatus const& status)
{
    return printJson({
        { "format", objectFormat },
        { "name", status.name },
        { "data_centre", status.dataCentre },
        { "position", status.position },
        { "time_ms", status.timeMilliseconds },
        { "age_ms", status.ageMilliseconds },
    });
}

absl::StatusOr<EntryStatus> decodeEntryStatus(std::string_view text)
{
    return decode<EntryStatus>(text, readEntryStatus);
}

absl::StatusOr<std::vector<EntryStatus>> listEntryStatus(ObjectStore& store)
{
    return listDecoded<EntryStatus>(store, "status/entries/", decodeEntryStatus);
}

} // namespace plantaindrift
