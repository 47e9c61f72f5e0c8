#include "membership/BoundedDeclaration.h"

#include "configuration/ProtobufConversion.h"
#include "membership/ViewHash.h"

#include <utility>

namespace plantaindrift {

namespace {

    // The other fields of a heartbeat with an agent's copy, of the reply, and of the envelope, but for a list of members.
    constexpr std::size_t otherFieldsBytes = 4000;

} // namespace

void addDeclaration(Service const& service, std::uint32_t hash, std::size_t maximumBytes, control::HeartbeatReply& reply)
{
    control::Service declaration;
    toProtobuf(service, declaration);
    std::size_t const bytes = declaration.ByteSizeLong();
    if (bytes + otherFieldsBytes > maximumBytes) {
        declaration.clear_addresses();
        declaration.clear_targets();
        declaration.clear_data_centres();
        *reply.mutable_service() = std::move(declaration);
        reply.set_service_hash(hash);
        return;
    }
    if (reply.ByteSizeLong() + bytes + otherFieldsBytes <= maximumBytes)
        *reply.mutable_service() = std::move(declaration);
}

DeclarationVersion declarationVersion(control::HeartbeatReply const& reply, Service const& declared)
{
    if (reply.service_hash() != 0)
        return { reply.service_hash(), false };
    return { serviceHash(declared), true };
}

} // namespace plantaindrift
