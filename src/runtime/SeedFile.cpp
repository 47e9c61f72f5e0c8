#include "runtime/SeedFile.h"

#include "plantaindrift/runtime/Log.h"

#include <chrono>
#include <fstream>
#include <iterator>
#include <utility>

namespace plantaindrift {

namespace {

    constexpr std::chrono::seconds readInterval { 2 };

} // namespace

SeedFile::SeedFile(std::string file, Reader reader)
    : file_(std::move(file))
    , reader_(std::move(reader))
{
}

std::optional<std::vector<Endpoint>> SeedFile::takeChange(TimePoint now)
{
    bool const isDue = isRequested_ || !lastRead_ || now - *lastRead_ >= readInterval;
    if (!isDue)
        return std::nullopt;
    isRequested_ = false;
    lastRead_ = now;
    std::ifstream stream(file_, std::ios::binary);
    std::string content { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    if (content_ == content)
        return std::nullopt;
    content_ = std::move(content);
    absl::StatusOr<std::vector<Endpoint>> seeds = reader_();
    if (!seeds.ok()) {
        logEvent(LogLevel::Error, "settings_not_read", { { "file", file_ }, { "problem", std::string(seeds.status().message()) } });
        return std::nullopt;
    }
    if (seeds_ == *seeds)
        return std::nullopt;
    if (seeds_)
        logChange(*seeds);
    seeds_ = *std::move(seeds);
    return seeds_;
}

void SeedFile::logChange(std::vector<Endpoint> const& seeds) const
{
    std::string names;
    for (Endpoint const seed : seeds)
        names += (names.empty() ? "" : ",") + formatEndpoint(seed);
    logEvent(LogLevel::Info, "seeds_changed", { { "file", file_ }, { "seeds", names.empty() ? "none" : names } });
}

} // namespace plantaindrift
