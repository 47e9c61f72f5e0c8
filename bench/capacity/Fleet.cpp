#include "Fleet.h"

#include <cstdio>

namespace plantaindrift::bench {

namespace {

    using Counts = std::map<std::string, EntryControl::Counts>;

    Counts countsOf(testing::ControlFleet& fleet)
    {
        Counts counts;
        for (std::string const& name : fleet.entryNames())
            counts[name] = fleet.entry(name).counts();
        for (std::string const& name : fleet.agentNames())
            counts[name] = fleet.agent(name).counts();
        return counts;
    }

    ProportionalFleet::Bytes rate(std::vector<std::string> const& names, Counts const& before, Counts const& after, double seconds)
    {
        ProportionalFleet::Bytes bytes;
        for (std::string const& name : names) {
            auto const earlier = before.find(name);
            EntryControl::Counts const start = earlier == before.end() ? EntryControl::Counts {} : earlier->second;
            double const sent = static_cast<double>(after.at(name).sentBytes - start.sentBytes) / seconds;
            double const received = static_cast<double>(after.at(name).receivedBytes - start.receivedBytes) / seconds;
            bytes.sent += sent / static_cast<double>(names.size());
            bytes.received += received / static_cast<double>(names.size());
            bytes.mostSent = std::max(bytes.mostSent, sent);
            bytes.mostReceived = std::max(bytes.mostReceived, received);
        }
        return bytes;
    }

} // namespace

ProportionalFleet::ProportionalFleet(int entries, testing::NetworkOptions const& network)
    : fleet_(network)
    , entries_(entries)
{
}

std::string ProportionalFleet::placeOf(int index)
{
    return "data-centre-" + std::to_string(index % plannedDataCentres);
}

std::string ProportionalFleet::entryName(int index)
{
    return "entry-" + std::to_string(1000 + index);
}

std::string ProportionalFleet::targetName(int index)
{
    return "target-" + std::to_string(10000 + index);
}

std::string ProportionalFleet::serviceName(int index)
{
    return "service-" + std::to_string(1000 + index);
}

Member ProportionalFleet::member(MemberRole role, int index)
{
    Member member;
    member.role = role;
    member.name = role == MemberRole::Entry ? entryName(index) : targetName(index);
    member.dataCentre = placeOf(index);
    if (role == MemberRole::Agent)
        member.service = serviceName(index % plannedServices);
    member.incarnation = 1'700'000'000'000;
    member.control = { 0x0A000000U + static_cast<std::uint32_t>(index), 7000 };
    member.data = { member.control.address, 6081 };
    member.slots = 7;
    member.connections = 2000;
    return member;
}

void ProportionalFleet::addTarget(int index, std::uint64_t incarnation)
{
    fleet_.addAgent(targetName(index), placeOf(index), serviceName(index % services()), incarnation);
}

void ProportionalFleet::settle()
{
    constexpr int seeds = 8;
    for (int index = 1; index <= std::min(seeds, entries_); ++index)
        fleet_.seeds.push_back(testing::ControlFleet::endpointOf(static_cast<std::uint32_t>(index)));
    for (int index = 0; index < entries_; ++index)
        fleet_.addEntry(entryName(index), placeOf(index), 1'700'000'000'000);
    fleet_.run(std::chrono::seconds { 5 });
    // Targets start over a minute, as a cold fleet does behind a rolling start.
    int const perStep = std::max(1, targets() / 600);
    for (int index = 0; index < targets(); ++index) {
        addTarget(index, 1'700'000'000'000);
        if (index % perStep == 0)
            fleet_.advance();
    }
    int seconds = 0;
    for (; !fleet_.isConverged() && seconds < 3600; seconds += 5)
        fleet_.run(std::chrono::seconds { 5 });
    std::fprintf(stderr, "settled entries=%d seconds=%d\n", entries_, seconds);
}

void ProportionalFleet::declareServices()
{
    std::vector<ConfigurationChange> changes;
    changes.reserve(static_cast<std::size_t>(services()));
    for (int index = 0; index < services(); ++index)
        changes.push_back(testing::makeChange(static_cast<std::uint64_t>(index) + 1, serviceName(index)));
    for (std::string const& name : fleet_.entryNames())
        fleet_.entry(name).addChanges(changes, fleet_.now());
    fleet_.run(std::chrono::seconds { 60 });
}

ProportionalFleet::Rates ProportionalFleet::runAndCount(std::chrono::seconds duration)
{
    Counts const before = countsOf(fleet_);
    fleet_.run(duration);
    Counts const after = countsOf(fleet_);
    double const seconds = static_cast<double>(duration.count());
    return { rate(fleet_.entryNames(), before, after, seconds), rate(fleet_.agentNames(), before, after, seconds) };
}

} // namespace plantaindrift::bench
