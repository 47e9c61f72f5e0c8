#include "plantaindrift/packet/Encapsulation.h"

#include "packet/Tag.h"
#include "packet/Wire.h"

#include <algorithm>

namespace plantaindrift {

namespace {

    /// Geneve header without options (RFC 8926, section 3.4).
    struct GeneveHeader {
        wire::big_uint8_buf_t versionAndOptionWords;
        wire::big_uint8_buf_t flags;
        wire::big_uint16_buf_t protocol;
        wire::big_uint24_buf_t networkIdentifier;
        wire::big_uint8_buf_t reserved;
    };
    static_assert(sizeof(GeneveHeader) == 8);

    /// Header of one Geneve option (RFC 8926, section 3.5).
    struct OptionHeader {
        wire::big_uint16_buf_t optionClass;
        wire::big_uint8_buf_t type;
        wire::big_uint8_buf_t words;
    };
    static_assert(sizeof(OptionHeader) == 4);

    /// Route option without its candidates, which follow as EndpointField.
    struct RouteFields {
        wire::big_uint64_buf_t service;
        wire::big_uint32_buf_t viewFingerprint;
        wire::big_uint32_buf_t entryAddress;
        wire::big_uint32_buf_t claimantAddress;
        wire::big_uint16_buf_t entryPort;
        wire::big_uint16_buf_t claimantPort;
        wire::big_uint8_buf_t flags;
        wire::big_uint8_buf_t hops;
        wire::big_uint8_buf_t position;
        wire::big_uint8_buf_t candidateCount;
        wire::big_uint32_buf_t sentSeconds;
        wire::big_uint8_buf_t keyEpoch;
        wire::big_uint24_buf_t reserved;
        Tag tag;
    };
    static_assert(sizeof(RouteFields) == 52);

    constexpr std::size_t wordBytes = 4;
    constexpr std::uint8_t optionWordsMask = 0x3F;
    constexpr std::uint8_t optionLengthMask = 0x1F;
    constexpr std::uint8_t controlFlag = 0x80;
    constexpr std::uint8_t criticalFlag = 0x40;
    constexpr std::uint16_t ipv4EtherType = 0x0800;
    constexpr std::size_t maximumOptionBytes = optionWordsMask * wordBytes;

    /// In the range for experimental use, 0xFF00 to 0xFFFF.
    constexpr std::uint16_t routeOptionClass = 0xFF50;
    constexpr std::uint8_t criticalOption = 0x80;
    /// Critical, so that a kernel that receives a routed datagram by mistake drops it.
    constexpr std::uint8_t routeOptionType = criticalOption | 0x01;
    constexpr std::uint8_t returningFlag = 0x01;
    constexpr std::uint8_t alongListFlag = 0x02;

    /// Inner bytes under the tag: the IPv4 and TCP headers without options and the first payload bytes.
    constexpr std::size_t taggedInnerBytes = 64;
    constexpr std::size_t tagOffsetInRoute = sizeof(RouteFields) - tagBytes;

    struct GeneveLayout {
        DatagramError error { DatagramError::None };
        std::size_t headerBytes { 0 };
        std::size_t routeOffset { 0 }; ///< of the route option's data; 0 if there is none
        std::size_t routeBytes { 0 };
        std::size_t routeCount { 0 };
    };

    GeneveLayout failed(DatagramError error) noexcept
    {
        GeneveLayout layout;
        layout.error = error;
        return layout;
    }

    DecodedDatagram refused(DatagramError error) noexcept
    {
        DecodedDatagram decoded;
        decoded.error = error;
        return decoded;
    }

    bool isRouteOption(OptionHeader const& option) noexcept
    {
        return option.optionClass.value() == routeOptionClass && option.type.value() == routeOptionType;
    }

    /// Walks all options; an unknown critical option makes the datagram unusable (RFC 8926, section 3.5.1).
    GeneveLayout walkOptions(std::span<std::byte const> header) noexcept
    {
        GeneveLayout layout;
        layout.headerBytes = header.size();
        std::size_t offset = sizeof(GeneveHeader);
        while (offset < header.size()) {
            OptionHeader const option = wire::read<OptionHeader>(header.subspan(offset));
            std::size_t const dataBytes = (option.words.value() & optionLengthMask) * wordBytes;
            offset += sizeof(OptionHeader);
            if (dataBytes > header.size() - offset)
                return failed(DatagramError::NotGeneve);
            if (isRouteOption(option)) {
                layout.routeOffset = offset;
                layout.routeBytes = dataBytes;
                ++layout.routeCount;
            } else if ((option.type.value() & criticalOption) != 0) {
                return failed(DatagramError::NotGeneve);
            }
            offset += dataBytes;
        }
        return layout;
    }

    GeneveLayout parseGeneve(std::span<std::byte const> datagram) noexcept
    {
        if (datagram.size() < sizeof(GeneveHeader))
            return failed(DatagramError::Truncated);
        GeneveHeader const header = wire::read<GeneveHeader>(datagram);
        std::uint8_t const first = header.versionAndOptionWords.value();
        bool const isVersion0 = (first & ~optionWordsMask) == 0;
        bool const isControl = (header.flags.value() & controlFlag) != 0;
        if (!isVersion0 || isControl || header.protocol.value() != ipv4EtherType)
            return failed(DatagramError::NotGeneve);
        std::size_t const headerBytes = sizeof(GeneveHeader) + (first & optionWordsMask) * wordBytes;
        if (datagram.size() < headerBytes)
            return failed(DatagramError::Truncated);
        return walkOptions(datagram.first(headerBytes));
    }

    GeneveHeader makeGeneveHeader(std::size_t optionBytes, std::uint8_t flags) noexcept
    {
        GeneveHeader header;
        header.versionAndOptionWords = static_cast<std::uint8_t>(optionBytes / wordBytes);
        header.flags = flags;
        header.protocol = ipv4EtherType;
        header.networkIdentifier = 0;
        header.reserved = 0;
        return header;
    }

    constexpr std::size_t routeBytesFor(std::size_t candidates) noexcept
    {
        std::size_t const bytes = sizeof(RouteFields) + candidates * sizeof(wire::EndpointField);
        return (bytes + wordBytes - 1) / wordBytes * wordBytes;
    }
    static_assert(routeBytesFor(maximumCandidates) <= optionLengthMask * wordBytes);
    static_assert(sizeof(GeneveHeader) + sizeof(OptionHeader) + routeBytesFor(maximumCandidates) <= maximumHeaderBytes);

    /// Tag over the header with a zero tag field, the inner length and the first inner bytes.
    ///
    /// The inner length makes a datagram that was cut or extended after the tagged bytes invalid.
    Tag computeRouteTag(std::span<std::byte const> header, std::size_t routeOffset, std::span<std::byte const> inner, DatagramKey const& key) noexcept
    {
        std::array<std::byte, sizeof(GeneveHeader) + maximumOptionBytes + sizeof(wire::big_uint32_buf_t) + taggedInnerBytes> input;
        std::span<std::byte> const all { input };
        std::copy(header.begin(), header.end(), input.begin());
        std::span<std::byte> const tagField = all.subspan(routeOffset + tagOffsetInRoute, tagBytes);
        std::fill(tagField.begin(), tagField.end(), std::byte { 0 });
        wire::big_uint32_buf_t length;
        length = static_cast<std::uint32_t>(inner.size());
        wire::write(length, all.subspan(header.size()));
        std::span<std::byte const> const tagged = inner.first(std::min(inner.size(), taggedInnerBytes));
        std::size_t const innerOffset = header.size() + sizeof(length);
        std::copy(tagged.begin(), tagged.end(), all.subspan(innerOffset).begin());
        return computeTag(all.first(innerOffset + tagged.size()), key);
    }

    RouteFields makeFields(RouteOption const& route, std::size_t candidates, std::uint8_t epoch) noexcept
    {
        RouteFields fields;
        fields.service = static_cast<std::uint64_t>(route.service);
        fields.viewFingerprint = route.viewFingerprint;
        fields.entryAddress = route.entry.address;
        fields.claimantAddress = route.claimant.address;
        fields.entryPort = route.entry.port;
        fields.claimantPort = route.claimant.port;
        fields.flags = static_cast<std::uint8_t>((route.returning ? returningFlag : 0) | (route.alongList ? alongListFlag : 0));
        fields.hops = route.hops;
        fields.position = route.position;
        fields.candidateCount = static_cast<std::uint8_t>(candidates);
        fields.sentSeconds = route.sentSeconds;
        fields.keyEpoch = epoch;
        fields.reserved = 0;
        fields.tag.fill(0);
        return fields;
    }

    RouteOption makeRoute(RouteFields const& fields) noexcept
    {
        RouteOption route;
        route.service = ServiceHash { fields.service.value() };
        route.viewFingerprint = fields.viewFingerprint.value();
        route.entry = { fields.entryAddress.value(), fields.entryPort.value() };
        route.claimant = { fields.claimantAddress.value(), fields.claimantPort.value() };
        route.returning = (fields.flags.value() & returningFlag) != 0;
        route.alongList = (fields.flags.value() & alongListFlag) != 0;
        route.hops = fields.hops.value();
        route.position = fields.position.value();
        route.candidateCount = fields.candidateCount.value();
        route.sentSeconds = fields.sentSeconds.value();
        return route;
    }

    bool isValidRoute(RouteFields const& fields, std::size_t routeBytes) noexcept
    {
        std::uint8_t const candidates = fields.candidateCount.value();
        bool const isReturning = (fields.flags.value() & returningFlag) != 0;
        bool const hasClaimant = fields.claimantAddress.value() != 0;
        return candidates <= maximumCandidates
            && routeBytes == routeBytesFor(candidates)
            && fields.position.value() <= candidates
            && fields.hops.value() <= maximumHops
            && (fields.flags.value() & ~(returningFlag | alongListFlag)) == 0
            && (!isReturning || hasClaimant);
    }

    void writeCandidates(std::span<Endpoint const> candidates, std::span<std::byte> output) noexcept
    {
        for (Endpoint const& candidate : candidates) {
            wire::write(wire::toField(candidate), output);
            output = output.subspan(sizeof(wire::EndpointField));
        }
        std::fill(output.begin(), output.end(), std::byte { 0 });
    }

    bool readCandidates(std::span<std::byte const> bytes, RouteOption& route) noexcept
    {
        for (std::size_t index = 0; index < route.candidateCount; ++index) {
            route.candidates[index] = wire::fromField(wire::read<wire::EndpointField>(bytes.subspan(index * sizeof(wire::EndpointField))));
            if (!route.candidates[index].isSet())
                return false;
        }
        return true;
    }

} // namespace

std::size_t writePlainHeader(std::span<std::byte> output) noexcept
{
    if (output.size() < sizeof(GeneveHeader))
        return 0;
    wire::write(makeGeneveHeader(0, 0), output);
    return sizeof(GeneveHeader);
}

DecodedDatagram decodePlain(std::span<std::byte const> datagram) noexcept
{
    GeneveLayout const layout = parseGeneve(datagram);
    if (layout.error != DatagramError::None)
        return refused(layout.error);
    // A routed datagram has already passed an entry; it must not be routed a second time.
    if (layout.routeCount != 0)
        return refused(DatagramError::NotGeneve);
    DecodedDatagram decoded;
    decoded.inner = datagram.subspan(layout.headerBytes);
    return decoded;
}

std::size_t writeRoutedHeader(RouteOption const& route, std::span<std::byte const> inner, KeyRing const& keys, std::span<std::byte> output) noexcept
{
    std::size_t const candidates = std::min<std::size_t>(route.candidateCount, maximumCandidates);
    std::size_t const routeBytes = routeBytesFor(candidates);
    std::size_t const optionBytes = sizeof(OptionHeader) + routeBytes;
    std::size_t const headerBytes = sizeof(GeneveHeader) + optionBytes;
    if (keys.count == 0 || output.size() < headerBytes)
        return 0;

    DatagramKey const& key = keys.keys.front();
    constexpr std::size_t routeOffset = sizeof(GeneveHeader) + sizeof(OptionHeader);
    OptionHeader option;
    option.optionClass = routeOptionClass;
    option.type = routeOptionType;
    option.words = static_cast<std::uint8_t>(routeBytes / wordBytes);
    wire::write(makeGeneveHeader(optionBytes, criticalFlag), output);
    wire::write(option, output.subspan(sizeof(GeneveHeader)));
    wire::write(makeFields(route, candidates, key.epoch), output.subspan(routeOffset));
    std::size_t const candidateOffset = routeOffset + sizeof(RouteFields);
    writeCandidates({ route.candidates.data(), candidates }, output.subspan(candidateOffset, headerBytes - candidateOffset));

    Tag const tag = computeRouteTag(output.first(headerBytes), routeOffset, inner, key);
    wire::write(tag, output.subspan(routeOffset + tagOffsetInRoute));
    return headerBytes;
}

DecodedDatagram decodeRouted(std::span<std::byte const> datagram, KeyRing const& keys, std::uint32_t nowSeconds) noexcept
{
    GeneveLayout const layout = parseGeneve(datagram);
    if (layout.error != DatagramError::None)
        return refused(layout.error);
    if (layout.routeCount == 0)
        return refused(DatagramError::MissingRoute);
    if (layout.routeCount > 1 || layout.routeBytes < sizeof(RouteFields))
        return refused(DatagramError::BadRoute);

    std::span<std::byte const> const header = datagram.first(layout.headerBytes);
    std::span<std::byte const> const inner = datagram.subspan(layout.headerBytes);
    std::span<std::byte const> const option = header.subspan(layout.routeOffset, layout.routeBytes);
    RouteFields const fields = wire::read<RouteFields>(option);
    DatagramKey const* const key = findKey(keys, fields.keyEpoch.value());
    if (key == nullptr || !isEqualTag(fields.tag, computeRouteTag(header, layout.routeOffset, inner, *key)))
        return refused(DatagramError::Unauthenticated);
    if (isStale(fields.sentSeconds.value(), nowSeconds))
        return refused(DatagramError::Stale);
    if (!isValidRoute(fields, layout.routeBytes))
        return refused(DatagramError::BadRoute);

    DecodedDatagram decoded;
    decoded.route = makeRoute(fields);
    if (!readCandidates(option.subspan(sizeof(RouteFields)), decoded.route))
        return refused(DatagramError::BadRoute);
    decoded.inner = inner;
    return decoded;
}

} // namespace plantaindrift
