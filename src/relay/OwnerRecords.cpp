#include "relay/OwnerRecords.h"

namespace plantaindrift {

void OwnerRecords::record(std::uint64_t flowHash, Endpoint owner, TimePoint expires)
{
    Record* const record = records_.insert(flowHash);
    if (record == nullptr)
        return;
    record->owner = owner;
    record->expires = expires;
}

std::optional<Endpoint> OwnerRecords::find(std::uint64_t flowHash, TimePoint now) noexcept
{
    Record const* const record = records_.find(flowHash);
    return record != nullptr && record->expires > now ? std::optional(record->owner) : std::nullopt;
}

void OwnerRecords::sweep(TimePoint now)
{
    records_.eraseIf([now](Record const& record) { return record.expires <= now; });
}

} // namespace plantaindrift
