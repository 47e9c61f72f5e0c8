#include "membership/SnapshotParts.h"

#include "configuration/ProtobufConversion.h"
#include "plantaindrift/base/Hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace plantaindrift {

namespace {

    // Tag and length of an address inside a service.
    constexpr std::size_t framingBytes = 2;

    class SnapshotWriter {
    public:
        void add(Service const& service)
        {
            control::Service whole;
            toProtobuf(service, whole);
            control::Service head = whole;
            head.clear_addresses();
            addService(head);
            control::Service continuation;
            continuation.set_name(whole.name());
            for (control::ServiceAddress const& address : whole.addresses()) {
                if (bytes_ >= snapshotPartBytes)
                    addService(continuation);
                *parts_.back().mutable_services()->rbegin()->add_addresses() = address;
                bytes_ += address.ByteSizeLong() + framingBytes;
            }
        }

        [[nodiscard]] std::vector<control::SnapshotPart> finish(std::uint64_t position)
        {
            std::uint64_t hash = 0;
            for (control::SnapshotPart const& part : parts_)
                hash = hashText(part.SerializeAsString(), hash);
            for (std::size_t index = 0; index < parts_.size(); ++index) {
                parts_[index].set_position(position);
                parts_[index].set_part(static_cast<std::uint32_t>(index));
                parts_[index].set_parts(static_cast<std::uint32_t>(parts_.size()));
                parts_[index].set_hash(hash);
            }
            return std::move(parts_);
        }

    private:
        void addService(control::Service const& service)
        {
            if (bytes_ >= snapshotPartBytes) {
                parts_.emplace_back();
                bytes_ = 0;
            }
            *parts_.back().add_services() = service;
            bytes_ += service.ByteSizeLong() + framingBytes;
        }

        std::vector<control::SnapshotPart> parts_ { 1 };
        std::size_t bytes_ { 0 };
    };

} // namespace

std::vector<control::SnapshotPart> splitSnapshot(ChangeLog const& log)
{
    SnapshotWriter writer;
    for (Service const& service : log.configuration().services)
        writer.add(service);
    return writer.finish(log.position());
}

bool SnapshotAssembly::belongsTo(control::SnapshotPart const& message) const noexcept
{
    return message.position() == position_ && message.hash() == hash_ && message.parts() == parts_.size();
}

bool SnapshotAssembly::take(control::SnapshotPart const& message)
{
    if (message.position() == 0 || message.parts() > maximumSnapshotParts || message.part() >= message.parts())
        return false;
    if (message.position() < position_ && !awaitsAnswer_)
        return true;
    std::vector<Service> services;
    for (control::Service const& service : message.services()) {
        std::optional<Service> read = fromProtobuf(service);
        if (!read)
            return false;
        services.push_back(std::move(*read));
    }
    if (!belongsTo(message)) {
        position_ = message.position();
        hash_ = message.hash();
        missing_ = message.parts();
        parts_.assign(message.parts(), std::nullopt);
    }
    awaitsAnswer_ = false;
    std::optional<std::vector<Service>>& part = parts_[message.part()];
    missing_ -= part ? 0 : 1;
    part = std::move(services);
    return true;
}

std::optional<Snapshot> SnapshotAssembly::takeComplete()
{
    if (parts_.empty() || missing_ > 0)
        return std::nullopt;
    Snapshot snapshot;
    snapshot.position = position_;
    std::vector<Service>& services = snapshot.configuration.services;
    for (std::optional<std::vector<Service>>& part : parts_) {
        for (Service& service : *part) {
            if (services.empty() || services.back().name != service.name)
                services.push_back(std::move(service));
            else
                services.back().addresses.insert(services.back().addresses.end(), service.addresses.begin(), service.addresses.end());
        }
    }
    parts_.clear();
    return snapshot;
}

void SnapshotAssembly::addMissing(control::SnapshotRequest& request)
{
    awaitsAnswer_ = true;
    if (parts_.empty())
        return;
    request.set_position(position_);
    for (std::size_t index = 0; index < parts_.size(); ++index) {
        if (!parts_[index])
            request.add_parts(static_cast<std::uint32_t>(index));
    }
}

} // namespace plantaindrift
