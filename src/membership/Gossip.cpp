#include "membership/Gossip.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace plantaindrift {

namespace {

    // Tag and length of a delta inside a batch, and of the batch inside the envelope.
    constexpr std::size_t framingBytes = 4;

    [[nodiscard]] Urgency urgencyOf(control::Member const& member) noexcept
    {
        if (member.state() == control::STATE_SUSPECT)
            return Urgency::Suspicion;
        return member.state() == control::STATE_ACTIVE ? Urgency::Arrival : Urgency::Departure;
    }

    // Keys of changes start with a character that member names cannot contain.
    [[nodiscard]] std::string keyOf(std::uint64_t position)
    {
        return ' ' + std::to_string(position);
    }

    [[nodiscard]] std::string copyKeyOf(std::string_view service)
    {
        return "  " + std::string(service);
    }

    struct BodyWriter {
        control::Gossip& gossip;

        void operator()(control::Member const& member) const { *gossip.add_members() = member; }
        void operator()(control::ConfigurationChange const& change) const { *gossip.add_changes() = change; }
        void operator()(control::ServiceCopy const& copy) const { *gossip.add_copies() = copy; }
    };

} // namespace

Gossip::Gossip(double bytesPerSecond)
    : bucket_(bytesPerSecond, bytesPerSecond * std::chrono::duration<double>(burst).count())
{
}

int Gossip::transmissions(std::size_t entries) noexcept
{
    return static_cast<int>(std::ceil(std::log(static_cast<double>(std::max<std::size_t>(entries, 1))))) + 2;
}

void Gossip::push(control::Member const& member, std::size_t entries)
{
    Item item;
    item.body = member;
    item.bytes = member.ByteSizeLong() + framingBytes;
    item.remaining = transmissions(entries);
    pushItem(member.name(), urgencyOf(member), std::move(item));
}

void Gossip::push(control::ConfigurationChange const& change, std::size_t entries)
{
    Item item;
    item.body = change;
    item.bytes = change.ByteSizeLong() + framingBytes;
    item.remaining = transmissions(entries);
    pushItem(keyOf(change.position()), Urgency::Configuration, std::move(item));
}

void Gossip::push(control::ServiceCopy const& copy, std::size_t entries)
{
    Item item;
    item.body = copy;
    item.bytes = copy.ByteSizeLong() + framingBytes;
    item.remaining = transmissions(entries);
    pushItem(copyKeyOf(copy.service().name()), Urgency::Arrival, std::move(item));
}

void Gossip::pushItem(std::string key, Urgency urgency, Item item)
{
    auto const old = ranks_.find(key);
    if (old != ranks_.end())
        items_.erase(old->second);
    Rank const rank { urgency, ++sequence_ };
    item.key = key;
    items_.emplace(rank, std::move(item));
    ranks_.insert_or_assign(std::move(key), rank);
}

void Gossip::noteDuplicate(std::string_view member)
{
    reduce(member);
}

void Gossip::noteDuplicate(std::uint64_t position)
{
    reduce(keyOf(position));
}

void Gossip::noteDuplicateCopy(std::string_view service)
{
    reduce(copyKeyOf(service));
}

void Gossip::reduce(std::string_view key)
{
    auto const rank = ranks_.find(key);
    if (rank == ranks_.end())
        return;
    auto const item = items_.find(rank->second);
    if (--item->second.remaining > 0)
        return;
    items_.erase(item);
    ranks_.erase(rank);
}

bool Gossip::isDue(TimePoint now) const noexcept
{
    return !items_.empty() && (!lastRound_ || now - *lastRound_ >= roundPeriod);
}

void Gossip::round(TimePoint now, Urgency least, std::span<Endpoint const> neighbours, std::vector<ControlMessage>& messages)
{
    lastRound_ = now;
    dropOld(now);
    bucket_.refill(now);
    for (Endpoint const neighbour : neighbours) {
        std::string bytes = fillBatch(least);
        if (bytes.empty())
            break;
        messages.push_back({ neighbour, std::move(bytes) });
    }
    countDeferred();
}

void Gossip::dropOld(TimePoint now)
{
    for (auto item = items_.begin(); item != items_.end();) {
        if (!item->second.since)
            item->second.since = now;
        if (now - *item->second.since <= lifetime) {
            ++item;
            continue;
        }
        ranks_.erase(item->second.key);
        item = items_.erase(item);
    }
}

std::string Gossip::fillBatch(Urgency least)
{
    control::Envelope envelope;
    BodyWriter const writer { *envelope.mutable_gossip() };
    std::size_t filled = 0;
    std::vector<std::string> sent;
    for (auto const& [rank, item] : items_) {
        bool const fits = filled == 0 || filled + item.bytes <= batchBytes;
        if (!fits || rank.urgency < least || !canSend(rank, item))
            break;
        std::visit(writer, item.body);
        filled += item.bytes;
        bucket_.take(static_cast<double>(item.bytes));
        sent.push_back(item.key);
    }
    for (std::string const& key : sent)
        reduce(key);
    return filled == 0 ? std::string() : envelope.SerializeAsString();
}

bool Gossip::canSend(Rank const& rank, Item const& item) const noexcept
{
    // A configuration change is due everywhere within 4 s, so it may use the allowance of the next seconds.
    double const debt = rank.urgency == Urgency::Configuration ? bucket_.burstBytes() : 0;
    return bucket_.canTake(static_cast<double>(item.bytes), debt);
}

void Gossip::countDeferred()
{
    if (items_.empty() || canSend(items_.begin()->first, items_.begin()->second))
        return;
    for (auto& [rank, item] : items_) {
        if (!item.deferred)
            ++deferred_;
        item.deferred = true;
    }
}

} // namespace plantaindrift
