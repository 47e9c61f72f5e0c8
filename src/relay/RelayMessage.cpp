#include "plantaindrift/relay/RelayMessage.h"

#include "plantaindrift/base/Hash.h"
#include "relay/RelayMessageFields.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    using namespace relay_fields;

    /// A relayed segment, whose header may differ from the one in the received datagram.
    struct SegmentParts {
        std::span<std::byte const> header;
        std::span<std::byte const> data;
    };

    /// Appends fixed-layout records to a datagram; the output must have room for them.
    class Writer {
    public:
        Writer(RelayMessageKind kind, std::size_t count, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
            : seal_(seal)
            , output_(output)
        {
            CommonFields fields;
            fields.magic = relayMagic;
            fields.kind = static_cast<std::uint8_t>(kind);
            fields.keyEpoch = seal.keys.keys.front().epoch;
            fields.count = static_cast<std::uint8_t>(count);
            fields.sentSeconds = seal.nowSeconds;
            fields.tag.fill(0);
            add(fields);
        }

        template <typename Record>
        void add(Record const& record) noexcept
        {
            wire::write(record, output_.subspan(size_));
            size_ += sizeof(Record);
        }

        [[nodiscard]] std::size_t finish(SegmentParts const& segment) noexcept;

    private:
        RelaySigningContext const& seal_;
        std::span<std::byte> output_;
        std::size_t size_ { 0 };
    };

    /// The tag covers the segment's length, so that a datagram cut or extended after the tagged bytes is invalid.
    Tag computeRelayTag(std::span<std::byte const> header, SegmentParts const& segment, DatagramKey const& key) noexcept
    {
        std::array<std::byte, maximumRelayMessageBytes + sizeof(wire::big_uint32_buf_t) + maximumTaggedSegmentBytes> input;
        std::span<std::byte> const all { input };
        std::copy(header.begin(), header.end(), input.begin());
        std::span<std::byte> const tagField = all.subspan(tagOffset, tagBytes);
        std::fill(tagField.begin(), tagField.end(), std::byte { 0 });
        wire::big_uint32_buf_t length;
        length = static_cast<std::uint32_t>(segment.header.size() + segment.data.size());
        wire::write(length, all.subspan(header.size()));
        std::span<std::byte> const tagged = all.subspan(header.size() + sizeof(length), maximumTaggedSegmentBytes);
        std::size_t const headerBytes = std::min(segment.header.size(), tagged.size());
        std::size_t const dataBytes = std::min(segment.data.size(), tagged.size() - headerBytes);
        std::copy_n(segment.header.begin(), headerBytes, tagged.begin());
        std::copy_n(segment.data.begin(), dataBytes, tagged.subspan(headerBytes).begin());
        return computeTag(all.first(header.size() + sizeof(length) + headerBytes + dataBytes), key);
    }

    std::size_t Writer::finish(SegmentParts const& segment) noexcept
    {
        Tag const tag = computeRelayTag(output_.first(size_), segment, seal_.keys.keys.front());
        wire::write(tag, output_.subspan(tagOffset));
        std::copy(segment.header.begin(), segment.header.end(), output_.subspan(size_).begin());
        return size_ + segment.header.size();
    }

    void addRoute(RelayRoute const& route, Writer& writer) noexcept
    {
        RouteFields fields;
        fields.service = static_cast<std::uint64_t>(route.serviceHash);
        fields.entry = toField(route.entry);
        fields.hops = route.hops;
        fields.search = static_cast<std::uint8_t>(route.searchMode);
        fields.limitTenths = route.latencyLimitTenthMs;
        unsigned flags = 0;
        flags |= route.mayBeOpen ? mayBeOpenFlag : 0U;
        flags |= route.isLastOffer ? lastOfferFlag : 0U;
        fields.flags = static_cast<std::uint8_t>(flags);
        fields.offered = route.offeredCount;
        writer.add(fields);
        for (RelayCandidate const& candidate : std::span(route.candidates).first(std::size_t { route.candidateCount } + route.offeredCount)) {
            CandidateField field;
            field.agent = toField(candidate.agent);
            field.costTenths = candidate.costTenthMs;
            writer.add(field);
        }
    }

    /// Reads fixed-layout records from the front of a datagram.
    class Reader {
    public:
        explicit Reader(std::span<std::byte const> bytes) noexcept
            : bytes_(bytes)
        {
        }

        template <typename Record>
        [[nodiscard]] bool read(Record& record) noexcept
        {
            if (bytes_.size() < sizeof(Record))
                return false;
            record = wire::read<Record>(bytes_);
            bytes_ = bytes_.subspan(sizeof(Record));
            return true;
        }

        [[nodiscard]] bool readBytes(std::size_t count, std::span<std::byte const>& bytes) noexcept
        {
            if (bytes_.size() < count)
                return false;
            bytes = bytes_.first(count);
            bytes_ = bytes_.subspan(count);
            return true;
        }

        [[nodiscard]] std::span<std::byte const> rest() const noexcept { return bytes_; }

    private:
        std::span<std::byte const> bytes_;
    };

    bool readRoute(Reader& reader, std::size_t count, DecodedRelayMessage& decoded) noexcept
    {
        RouteFields fields;
        if (count > maximumRelayCandidates || !reader.read(fields))
            return false;
        decoded.route.serviceHash = ServiceHash { fields.service.value() };
        decoded.route.entry = fromField(fields.entry);
        decoded.route.hops = fields.hops.value();
        if (fields.search.value() > static_cast<std::uint8_t>(RelaySearchMode::RecordedOwner))
            return false;
        decoded.route.searchMode = static_cast<RelaySearchMode>(fields.search.value());
        decoded.route.latencyLimitTenthMs = fields.limitTenths.value();
        if ((fields.flags.value() & ~knownRouteFlags) != 0)
            return false;
        decoded.route.isLastOffer = (fields.flags.value() & lastOfferFlag) != 0;
        decoded.route.mayBeOpen = (fields.flags.value() & mayBeOpenFlag) != 0;
        decoded.route.candidateCount = static_cast<std::uint8_t>(count);
        std::size_t const agents = count + fields.offered.value();
        if (agents > maximumRelayCandidates)
            return false;
        decoded.route.offeredCount = fields.offered.value();
        for (std::size_t index = 0; index < agents; ++index) {
            CandidateField candidate;
            if (!reader.read(candidate))
                return false;
            decoded.route.candidates[index] = { fromField(candidate.agent), candidate.costTenths.value() };
            if (!decoded.route.candidates[index].agent.isSet())
                return false;
        }
        return true;
    }

    bool readPacket(Reader& reader, std::size_t count, DecodedRelayMessage& decoded) noexcept
    {
        return readRoute(reader, count, decoded) && !reader.rest().empty();
    }

    bool readOpeningDeclined(Reader& reader, std::size_t count, DecodedRelayMessage& decoded) noexcept
    {
        DeclineFields fields;
        if (!readRoute(reader, count, decoded) || !reader.read(fields) || fields.reason.value() >= openingReasonCount)
            return false;
        decoded.declineReason = static_cast<OpeningReason>(fields.reason.value());
        decoded.load = fromField(fields.load);
        return decoded.load.slots > 0 && !reader.rest().empty();
    }

    bool readOwnerNotice(Reader& reader, std::size_t /*count*/, DecodedRelayMessage& decoded) noexcept
    {
        FlowField flow;
        LoadField load;
        if (!reader.read(flow) || !reader.read(load))
            return false;
        decoded.flow = fromField(flow);
        decoded.load = fromField(load);
        return decoded.load.slots > 0;
    }

    bool readService(Reader& reader, DecodedRelayMessage& decoded) noexcept
    {
        wire::big_uint64_buf_t service;
        if (!reader.read(service))
            return false;
        decoded.serviceHash = ServiceHash { service.value() };
        return true;
    }

    bool readLoadReport(Reader& reader, std::size_t /*count*/, DecodedRelayMessage& decoded) noexcept
    {
        LoadField load;
        if (!readService(reader, decoded) || !reader.read(load))
            return false;
        decoded.load = fromField(load);
        return decoded.load.slots > 0;
    }

    bool readLoadSubscription(Reader& reader, std::size_t /*count*/, DecodedRelayMessage& decoded) noexcept
    {
        wire::big_uint16_buf_t interval;
        if (!reader.read(interval) || interval.value() == 0)
            return false;
        decoded.loadInterval = std::chrono::milliseconds { interval.value() };
        return true;
    }

    bool readFlowOwners(Reader& reader, std::size_t count, DecodedRelayMessage& decoded) noexcept
    {
        if (count == 0 || count > maximumFlowOwners || !readService(reader, decoded))
            return false;
        return reader.readBytes(count * sizeof(OwnedFlowField), decoded.flowOwnerBytes);
    }

    bool readFlowNotFound(Reader& reader, std::size_t /*count*/, DecodedRelayMessage& decoded) noexcept
    {
        FlowField flow;
        if (!readService(reader, decoded) || !reader.read(flow))
            return false;
        decoded.flow = fromField(flow);
        return true;
    }

    bool readSearchRequest(Reader& reader, std::size_t count, DecodedRelayMessage& decoded) noexcept
    {
        EndpointField entry;
        if (count == 0 || count > maximumSearchedAgents || !readService(reader, decoded) || !reader.read(entry))
            return false;
        decoded.route.serviceHash = decoded.serviceHash;
        decoded.route.entry = fromField(entry);
        return reader.readBytes(count * sizeof(EndpointField), decoded.searchedAgentBytes) && !reader.rest().empty();
    }

    bool readQueryHeader(Reader& reader, DecodedRelayMessage& decoded) noexcept
    {
        wire::big_uint32_buf_t number;
        if (!readService(reader, decoded) || !reader.read(number))
            return false;
        decoded.queryNumber = number.value();
        return true;
    }

    bool readFlowQuery(Reader& reader, std::size_t count, DecodedRelayMessage& decoded) noexcept
    {
        bool const isHeaderValid = count > 0 && count <= maximumQueriedFlows && readQueryHeader(reader, decoded);
        return isHeaderValid && reader.readBytes(count * sizeof(wire::big_uint64_buf_t), decoded.queriedFlowBytes);
    }

    bool readFlowQueryReply(Reader& reader, std::size_t count, DecodedRelayMessage& decoded) noexcept
    {
        return count <= maximumQueriedFlows && readQueryHeader(reader, decoded) && reader.readBytes(count, decoded.possibleFlowBytes);
    }

    bool readEntryStatus(Reader& reader, std::size_t count, DecodedRelayMessage& decoded) noexcept
    {
        return count > 0 && count <= maximumEntryStatuses && reader.readBytes(count * sizeof(EntryStatusField), decoded.entryStatusBytes);
    }

    using BodyReader = bool (*)(Reader&, std::size_t, DecodedRelayMessage&) noexcept;
    constexpr std::array<BodyReader, 12> bodyReaders { nullptr, readPacket, readOwnerNotice, readLoadReport, readLoadSubscription, readFlowOwners, readFlowNotFound, readSearchRequest, readFlowQuery, readFlowQueryReply, readEntryStatus, readOpeningDeclined };

    DecodedRelayMessage decodingError(DatagramError error) noexcept
    {
        DecodedRelayMessage decoded;
        decoded.error = error;
        return decoded;
    }

    wire::big_uint64_buf_t toField(ServiceHash service) noexcept
    {
        wire::big_uint64_buf_t field;
        field = static_cast<std::uint64_t>(service);
        return field;
    }

} // namespace

std::uint64_t hashRelayFlow(RelayFlow const& flow) noexcept
{
    std::uint64_t const caller = (std::uint64_t { flow.caller.address } << 16U) | flow.caller.port;
    std::uint64_t const service = (std::uint64_t { flow.serviceEndpoint.address } << 16U) | flow.serviceEndpoint.port;
    return mixHash(caller, service);
}

std::size_t DecodedRelayMessage::flowOwnerCount() const noexcept
{
    return flowOwnerBytes.size() / sizeof(OwnedFlowField);
}

std::vector<Endpoint> DecodedRelayMessage::searchedAgents() const
{
    std::vector<Endpoint> agents(searchedAgentBytes.size() / sizeof(EndpointField));
    for (std::size_t index = 0; index < agents.size(); ++index)
        agents[index] = fromField(wire::read<EndpointField>(searchedAgentBytes.subspan(index * sizeof(EndpointField))));
    return agents;
}

std::vector<EntryLoad> DecodedRelayMessage::entryStatuses() const
{
    std::vector<EntryLoad> statuses(entryStatusBytes.size() / sizeof(EntryStatusField));
    for (std::size_t index = 0; index < statuses.size(); ++index)
        statuses[index] = fromField(wire::read<EntryStatusField>(entryStatusBytes.subspan(index * sizeof(EntryStatusField))));
    return statuses;
}

std::vector<std::uint64_t> DecodedRelayMessage::queriedFlows() const
{
    std::vector<std::uint64_t> flows(queriedFlowBytes.size() / sizeof(wire::big_uint64_buf_t));
    for (std::size_t index = 0; index < flows.size(); ++index)
        flows[index] = wire::read<wire::big_uint64_buf_t>(queriedFlowBytes.subspan(index * sizeof(wire::big_uint64_buf_t))).value();
    return flows;
}

OwnedFlow DecodedRelayMessage::flowOwnerAt(std::size_t index) const noexcept
{
    OwnedFlowField const field = wire::read<OwnedFlowField>(flowOwnerBytes.subspan(index * sizeof(OwnedFlowField)));
    return { fromField(field.flow), fromField(field.owner) };
}

std::size_t writeRelayPacket(RelayRoute const& route, std::span<std::byte const> segment, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    return writeRelayPacket(route, {}, segment, seal, output);
}

std::size_t writeRelayPacket(RelayRoute const& route, std::span<std::byte const> segmentHeader, std::span<std::byte const> data, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    Writer writer(RelayMessageKind::Packet, route.candidateCount, seal, output);
    addRoute(route, writer);
    return writer.finish({ segmentHeader, data });
}

std::size_t writeRelayOpeningDeclined(RelayRoute const& route, OpeningReason reason, TargetLoad const& load, std::span<std::byte const> segmentHeader, std::span<std::byte const> data, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    Writer writer(RelayMessageKind::OpeningDeclined, route.candidateCount, seal, output);
    addRoute(route, writer);
    DeclineFields fields;
    fields.reason = static_cast<std::uint8_t>(reason);
    fields.load = toField(load);
    writer.add(fields);
    return writer.finish({ segmentHeader, data });
}

std::size_t writeRelayOwnerNotice(RelayFlow const& flow, TargetLoad const& load, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    Writer writer(RelayMessageKind::OwnerNotice, 0, seal, output);
    writer.add(toField(flow));
    writer.add(toField(load));
    return writer.finish({});
}

std::size_t writeRelayLoadReport(ServiceHash service, TargetLoad const& load, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    Writer writer(RelayMessageKind::LoadReport, 0, seal, output);
    writer.add(toField(service));
    writer.add(toField(load));
    return writer.finish({});
}

std::size_t writeRelayLoadSubscription(std::chrono::milliseconds interval, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    Writer writer(RelayMessageKind::LoadSubscription, 0, seal, output);
    wire::big_uint16_buf_t field;
    field = static_cast<std::uint16_t>(std::clamp<std::int64_t>(interval.count(), 1, 0xFFFF));
    writer.add(field);
    return writer.finish({});
}

std::size_t writeRelayFlowNotFound(ServiceHash service, RelayFlow const& flow, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    Writer writer(RelayMessageKind::FlowNotFound, 0, seal, output);
    writer.add(toField(service));
    writer.add(toField(flow));
    return writer.finish({});
}

std::size_t writeRelaySearchRequest(ServiceHash service, Endpoint entry, std::span<Endpoint const> agents, std::span<std::byte const> segment, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    std::span<Endpoint const> const named = agents.first(std::min(agents.size(), maximumSearchedAgents));
    Writer writer(RelayMessageKind::SearchRequest, named.size(), seal, output);
    writer.add(toField(service));
    writer.add(toField(entry));
    for (Endpoint const& agent : named)
        writer.add(toField(agent));
    return writer.finish({ {}, segment });
}

std::size_t writeRelayFlowOwners(ServiceHash service, std::span<OwnedFlow const> flows, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    std::span<OwnedFlow const> const named = flows.first(std::min(flows.size(), maximumFlowOwners));
    Writer writer(RelayMessageKind::FlowOwners, named.size(), seal, output);
    writer.add(toField(service));
    for (OwnedFlow const& owned : named)
        writer.add(OwnedFlowField { toField(owned.flow), toField(owned.owner) });
    return writer.finish({});
}

std::size_t writeRelayFlowQuery(ServiceHash service, std::uint32_t number, std::span<std::uint64_t const> flows, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    std::span<std::uint64_t const> const queried = flows.first(std::min(flows.size(), maximumQueriedFlows));
    Writer writer(RelayMessageKind::FlowQuery, queried.size(), seal, output);
    writer.add(toField(service));
    writer.add(wire::big_uint32_buf_t(number));
    for (std::uint64_t const flow : queried)
        writer.add(wire::big_uint64_buf_t(flow));
    return writer.finish({});
}

std::size_t writeRelayFlowQueryReply(ServiceHash service, std::uint32_t number, std::span<std::uint8_t const> possible, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    std::span<std::uint8_t const> const listed = possible.first(std::min(possible.size(), maximumQueriedFlows));
    Writer writer(RelayMessageKind::FlowQueryReply, listed.size(), seal, output);
    writer.add(toField(service));
    writer.add(wire::big_uint32_buf_t(number));
    for (std::uint8_t const index : listed)
        writer.add(wire::big_uint8_buf_t(index));
    return writer.finish({});
}

std::size_t writeRelayEntryStatus(std::span<EntryLoad const> statuses, RelaySigningContext const& seal, std::span<std::byte> output) noexcept
{
    std::span<EntryLoad const> const listed = statuses.first(std::min(statuses.size(), maximumEntryStatuses));
    Writer writer(RelayMessageKind::EntryStatus, listed.size(), seal, output);
    for (EntryLoad const& status : listed)
        writer.add(toField(status));
    return writer.finish({});
}

DecodedRelayMessage decodeRelayMessage(std::span<std::byte const> datagram, KeyRing const& keys, std::uint32_t nowSeconds) noexcept
{
    Reader reader(datagram);
    CommonFields common;
    if (!reader.read(common))
        return decodingError(DatagramError::Truncated);
    std::size_t const kind = common.kind.value();
    if (common.magic.value() != relayMagic || kind >= bodyReaders.size() || bodyReaders[kind] == nullptr)
        return decodingError(DatagramError::BadRoute);
    DecodedRelayMessage decoded;
    decoded.kind = static_cast<RelayMessageKind>(kind);
    if (!bodyReaders[kind](reader, common.count.value(), decoded))
        return decodingError(DatagramError::Truncated);
    decoded.segment = reader.rest();
    bool const hasSegment = decoded.kind == RelayMessageKind::Packet || decoded.kind == RelayMessageKind::SearchRequest || decoded.kind == RelayMessageKind::OpeningDeclined;
    if (!hasSegment && !decoded.segment.empty())
        return decodingError(DatagramError::BadRoute);
    DatagramKey const* const key = findKey(keys, common.keyEpoch.value());
    std::span<std::byte const> const header = datagram.first(datagram.size() - decoded.segment.size());
    if (key == nullptr || !isEqualTag(common.tag, computeRelayTag(header, { {}, decoded.segment }, *key)))
        return decodingError(DatagramError::Unauthenticated);
    if (isStale(common.sentSeconds.value(), nowSeconds))
        return decodingError(DatagramError::Stale);
    return decoded;
}

} // namespace plantaindrift
