// Writes valid datagrams of each kind as the seeds of the fuzz target. Usage: make_corpus FOLDER

#include "common/Workload.h"
#include "plantaindrift/packet/FlowMessage.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

using namespace plantaindrift;

namespace {

using Bytes = std::vector<std::byte>;

void writeSeed(std::filesystem::path const& folder, char const* name, std::span<std::byte const> bytes)
{
    std::ofstream file { folder / name, std::ios::binary };
    file.write(reinterpret_cast<char const*>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
}

Bytes makePlain(bool syn)
{
    Bytes datagram(workload::geneveBytes + workload::tcpIpBytes + 24);
    workload::writeDatagram(7, syn, datagram);
    return datagram;
}

Bytes makeUdp()
{
    constexpr std::size_t protocolOffset = workload::geneveBytes + 9;
    constexpr std::size_t lengthOffset = workload::geneveBytes + 24;
    Bytes datagram = makePlain(false);
    datagram[protocolOffset] = std::byte { 17 };
    datagram[lengthOffset] = std::byte { 0 };
    datagram[lengthOffset + 1] = static_cast<std::byte>(datagram.size() - workload::geneveBytes - 20);
    return datagram;
}

Bytes makeRouted(std::uint8_t candidates)
{
    Bytes const plain = makePlain(true);
    std::span<std::byte const> const inner = std::span<std::byte const> { plain }.subspan(workload::geneveBytes);
    RouteOption route;
    route.candidateCount = candidates;
    route.candidates.fill({ 0x0A090001, 6081 });
    route.claimant = route.candidates[0];
    route.returning = true;
    route.sentSeconds = workload::nowSeconds;
    Bytes datagram(maximumHeaderBytes);
    datagram.resize(writeRoutedHeader(route, inner, workload::makeKeys(), datagram));
    datagram.insert(datagram.end(), inner.begin(), inner.end());
    return datagram;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount != 2) {
        std::fprintf(stderr, "usage: make_corpus FOLDER\n");
        return 2;
    }
    std::filesystem::path const folder { arguments[1] };
    std::filesystem::create_directories(folder);
    Bytes const plain = makePlain(true);
    writeSeed(folder, "plain-syn", plain);
    writeSeed(folder, "plain-ack", makePlain(false));
    writeSeed(folder, "plain-udp", makeUdp());
    writeSeed(folder, "inner", std::span<std::byte const> { plain }.subspan(workload::geneveBytes));
    for (std::uint8_t const candidates : { 0, 1, 8 })
        writeSeed(folder, ("routed-" + std::to_string(candidates)).c_str(), makeRouted(candidates));
    FlowMessage const message { FlowMessageKind::OwnerNotice, FlowHash { 7 }, { 0x0A090001, 6081 }, workload::nowSeconds };
    writeSeed(folder, "owner-notice", encodeFlowMessage(message, workload::makeKeys()));
}
