#include "membership/ViewHash.h"

#include "configuration/ProtobufConversion.h"
#include "plantaindrift/base/Hash.h"

#include <string>

namespace plantaindrift {

namespace {

    [[nodiscard]] std::uint32_t fold(std::uint64_t hash) noexcept
    {
        std::uint32_t const folded = static_cast<std::uint32_t>(hash ^ (hash >> 32U));
        return folded == 0 ? 1 : folded;
    }

    [[nodiscard]] std::uint64_t pack(Endpoint endpoint) noexcept
    {
        return (static_cast<std::uint64_t>(endpoint.address) << 16U) | endpoint.port;
    }

} // namespace

std::uint32_t viewHash(ServiceView const& view) noexcept
{
    std::uint64_t hash = view.targets.size();
    for (ViewTarget const& target : view.targets) {
        std::uint64_t const flags = (target.draining ? 1U : 0U) | (target.dead ? 2U : 0U) | (static_cast<std::uint64_t>(target.weight) << 2U);
        hash = mixHash(hash, hashText(target.name, flags));
        hash = mixHash(hash, hashText(target.dataCentre, pack(target.data)));
    }
    return fold(hash);
}

std::uint32_t serviceHash(Service const& service)
{
    control::Service message;
    toProtobuf(service, message);
    return fold(hashText(message.SerializeAsString()));
}

std::uint32_t monitorsHash(std::span<Endpoint const> monitors) noexcept
{
    std::uint64_t hash = monitors.size();
    for (Endpoint const endpoint : monitors)
        hash = mixHash(hash, pack(endpoint));
    return fold(hash);
}

} // namespace plantaindrift
