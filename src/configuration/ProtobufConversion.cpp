#include "configuration/ProtobufConversion.h"

#include "configuration/FieldRules.h"

#include <algorithm>
#include <limits>

namespace plantaindrift {

namespace {

    constexpr std::uint32_t maximumShort = std::numeric_limits<std::uint16_t>::max();

    [[nodiscard]] bool isInRange(control::Member const& message)
    {
        bool const enums = control::Role_IsValid(message.role()) && control::State_IsValid(message.state());
        return enums && message.weight() <= maximumShort && message.slots() <= maximumShort;
    }

    [[nodiscard]] bool isInRange(control::Service const& message)
    {
        bool const targets = std::all_of(message.targets().begin(), message.targets().end(), isValidName);
        bool const dataCentres = std::all_of(message.data_centres().begin(), message.data_centres().end(), isValidName);
        return isValidName(message.name()) && targets && dataCentres && message.cold_rate() <= coldRateRange.most;
    }

    [[nodiscard]] std::optional<ServiceAddress> addressFromProtobuf(control::ServiceAddress const& message)
    {
        std::optional<Endpoint> const endpoint = fromProtobuf(message.endpoint());
        bool const tcp = message.protocol() == static_cast<std::uint32_t>(Protocol::Tcp);
        bool const udp = message.protocol() == static_cast<std::uint32_t>(Protocol::Udp);
        if (!endpoint || (!tcp && !udp))
            return std::nullopt;
        if (message.share() > maximumShort || message.priority() > maximumShort)
            return std::nullopt;
        ServiceAddress address { *endpoint, tcp ? Protocol::Tcp : Protocol::Udp };
        if (message.has_share())
            address.share = static_cast<std::uint16_t>(message.share());
        address.priority = static_cast<std::uint16_t>(message.priority());
        address.targetLatency = std::chrono::milliseconds { message.target_latency_ms() };
        return address;
    }

    void toProtobuf(ServiceChange const& change, control::ServiceChange& message)
    {
        message.set_name(change.name);
        if (change.before)
            plantaindrift::toProtobuf(*change.before, *message.mutable_before());
        if (change.after)
            plantaindrift::toProtobuf(*change.after, *message.mutable_after());
    }

    // Reads one side of a change; false if it is present and invalid.
    [[nodiscard]] bool readSide(bool present, control::Service const& message, std::optional<Service>& side)
    {
        if (!present)
            return true;
        side = fromProtobuf(message);
        return side.has_value();
    }

    [[nodiscard]] std::optional<ServiceChange> changeFromProtobuf(control::ServiceChange const& message)
    {
        ServiceChange change;
        change.name = message.name();
        bool const before = readSide(message.has_before(), message.before(), change.before);
        bool const after = readSide(message.has_after(), message.after(), change.after);
        if (!before || !after || !isValidName(change.name))
            return std::nullopt;
        if (change.after && change.after->name != change.name)
            return std::nullopt;
        return change;
    }

} // namespace

void toProtobuf(Endpoint endpoint, control::Endpoint& message)
{
    message.set_address(endpoint.address);
    message.set_port(endpoint.port);
}

std::optional<Endpoint> fromProtobuf(control::Endpoint const& message)
{
    if (message.port() > maximumShort)
        return std::nullopt;
    return Endpoint { message.address(), static_cast<std::uint16_t>(message.port()) };
}

void toProtobuf(Member const& member, std::chrono::seconds tombstoneAge, control::Member& message)
{
    message.set_role(member.role == MemberRole::Entry ? control::ROLE_ENTRY : control::ROLE_AGENT);
    message.set_name(member.name);
    message.set_data_centre(member.dataCentre);
    message.set_service(member.service);
    message.set_incarnation(member.incarnation);
    message.set_state(static_cast<control::State>(member.state));
    message.set_draining(member.draining);
    if (member.data.isSet())
        toProtobuf(member.data, *message.mutable_data());
    if (member.control.isSet())
        toProtobuf(member.control, *message.mutable_control());
    message.set_weight(member.weight);
    message.set_slots(member.slots);
    message.set_connections(member.connections);
    message.set_tombstone_age_s(static_cast<std::uint32_t>(tombstoneAge.count()));
}

std::optional<Member> fromProtobuf(control::Member const& message)
{
    std::optional<Endpoint> const data = fromProtobuf(message.data());
    std::optional<Endpoint> const controlEndpoint = fromProtobuf(message.control());
    if (!isInRange(message) || !data || !controlEndpoint)
        return std::nullopt;
    Member member;
    member.role = message.role() == control::ROLE_ENTRY ? MemberRole::Entry : MemberRole::Agent;
    member.name = message.name();
    member.dataCentre = message.data_centre();
    member.service = message.service();
    member.incarnation = message.incarnation();
    member.state = static_cast<MemberState>(message.state());
    member.draining = message.draining() || member.state == MemberState::Draining;
    member.data = *data;
    member.control = *controlEndpoint;
    member.weight = static_cast<std::uint16_t>(message.weight());
    member.slots = static_cast<std::uint16_t>(message.slots());
    member.connections = message.connections();
    return isValidMember(member) ? std::optional(member) : std::nullopt;
}

void toProtobuf(Service const& service, control::Service& message)
{
    message.set_name(service.name);
    for (ServiceAddress const& address : service.addresses) {
        control::ServiceAddress& added = *message.add_addresses();
        toProtobuf(address.endpoint, *added.mutable_endpoint());
        added.set_protocol(static_cast<std::uint32_t>(address.protocol));
        if (address.share != ServiceAddress {}.share)
            added.set_share(address.share);
        added.set_priority(address.priority);
        added.set_target_latency_ms(static_cast<std::uint32_t>(address.targetLatency.count()));
    }
    for (std::string const& target : service.targets)
        message.add_targets(target);
    for (std::string const& dataCentre : service.dataCentres)
        message.add_data_centres(dataCentre);
    message.set_idempotent(service.idempotent);
    message.set_connections(service.limits.connections);
    message.set_slots(service.limits.slots);
    message.set_queue_per_slot(service.limits.queuePerSlot);
    message.set_hunt_limit(service.limits.huntLimit);
    message.set_slow_start_s(static_cast<std::uint32_t>(service.slowStart.count()));
    message.set_drain_deadline_s(static_cast<std::uint32_t>(service.drain.deadline.count()));
    message.set_cold_rate(service.coldRate);
}

std::optional<Service> fromProtobuf(control::Service const& message)
{
    if (!isInRange(message))
        return std::nullopt;
    Service service;
    service.name = message.name();
    for (control::ServiceAddress const& address : message.addresses()) {
        std::optional<ServiceAddress> const read = addressFromProtobuf(address);
        if (!read)
            return std::nullopt;
        service.addresses.push_back(*read);
    }
    service.targets.assign(message.targets().begin(), message.targets().end());
    service.dataCentres.assign(message.data_centres().begin(), message.data_centres().end());
    service.idempotent = message.idempotent();
    service.limits = { message.connections(), message.slots(), message.queue_per_slot(), message.hunt_limit() };
    service.slowStart = std::chrono::seconds { message.slow_start_s() };
    service.drain.deadline = std::chrono::seconds { message.drain_deadline_s() };
    service.coldRate = message.cold_rate();
    return service;
}

void toProtobuf(ConfigurationChange const& change, control::ConfigurationChange& message)
{
    message.set_position(change.position);
    message.set_operation_id(change.operationId);
    message.set_author(change.author);
    message.set_reason(change.reason);
    message.set_time_ms(change.timeMilliseconds);
    for (ServiceChange const& service : change.services)
        toProtobuf(service, *message.add_services());
}

std::optional<ConfigurationChange> fromProtobuf(control::ConfigurationChange const& message)
{
    if (message.position() == 0)
        return std::nullopt;
    ConfigurationChange change;
    change.position = message.position();
    change.operationId = message.operation_id();
    change.author = message.author();
    change.reason = message.reason();
    change.timeMilliseconds = message.time_ms();
    for (control::ServiceChange const& service : message.services()) {
        std::optional<ServiceChange> read = changeFromProtobuf(service);
        if (!read)
            return std::nullopt;
        change.services.push_back(std::move(*read));
    }
    return change;
}

} // namespace plantaindrift
