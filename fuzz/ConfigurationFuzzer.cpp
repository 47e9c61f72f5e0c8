// Feeds arbitrary bytes to the configuration parser and the decoders of platform objects. Accepted input must print
// and encode to a form that reads back as the same value.

#include "plantaindrift/configuration/ChangeLog.h"
#include "plantaindrift/configuration/Parser.h"
#include "plantaindrift/configuration/Printer.h"
#include "plantaindrift/configuration/Validator.h"
#include "plantaindrift/store/StatusObjects.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace plantaindrift;

namespace {

void require(bool condition)
{
    if (!condition)
        std::abort();
}

void checkConfigurationFile(std::string_view text)
{
    absl::StatusOr<Configuration> const configuration = parseConfiguration(text, "input");
    if (!configuration.ok()) {
        require(configuration.status().message().size() >= sizeof("input:1:1: "));
        return;
    }
    require(validateConfiguration(*configuration).empty());
    absl::StatusOr<Configuration> const again = parseConfiguration(printConfiguration(*configuration), "printed");
    require(again.ok() && *again == *configuration);
}

void checkChange(std::string_view text)
{
    absl::StatusOr<ConfigurationChange> const change = decodeChange(text);
    if (!change.ok())
        return;
    absl::StatusOr<ConfigurationChange> const again = decodeChange(encodeChange(*change));
    require(again.ok() && *again == *change);
    ChangeLog log;
    require(log.apply(*change).ok() == (change->position == 1));
}

void checkObjects(std::string_view text)
{
    absl::StatusOr<Member> const member = decodeMember(text);
    require(!member.ok() || decodeMember(encodeMember(*member)).value() == *member);
    absl::StatusOr<DrainRequest> const drain = decodeDrainRequest(text);
    require(!drain.ok() || decodeDrainRequest(encodeDrainRequest(*drain)).value() == *drain);
    absl::StatusOr<EntryStatus> const status = decodeEntryStatus(text);
    require(!status.ok() || decodeEntryStatus(encodeEntryStatus(*status)).value() == *status);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    std::string_view const text(reinterpret_cast<char const*>(data), size);
    checkConfigurationFile(text);
    checkChange(text);
    checkObjects(text);
    return 0;
}
