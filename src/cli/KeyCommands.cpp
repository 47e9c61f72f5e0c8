#include "cli/Commands.h"

#include "configuration/JsonObject.h"
#include "plantaindrift/base/Error.h"
#include "plantaindrift/runtime/Keys.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace plantaindrift::cli {

namespace {

    constexpr std::uint32_t maximumEpoch = 255;

    absl::Status fileError(std::string const& path, std::string_view action)
    {
        std::string const reason = std::strerror(errno);
        std::string const remedy = errno == EEXIST ? "choose another --directory or move the old keys away" : "check that the directory exists and is writable";
        return makeError(ErrorKind::InvalidSettings, path + ": cannot " + std::string(action) + " the file (" + reason + "); " + remedy);
    }

    absl::Status writeKeyFile(std::string const& path, std::string_view content)
    {
        constexpr mode_t ownerOnly = 0600;
        int const descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, ownerOnly);
        if (descriptor < 0)
            return fileError(path, "create");
        ssize_t const written = write(descriptor, content.data(), content.size());
        bool const isWritten = written == static_cast<ssize_t>(content.size()) && fsync(descriptor) == 0;
        absl::Status status = isWritten ? absl::OkStatus() : fileError(path, "write");
        close(descriptor);
        if (!status.ok())
            unlink(path.c_str());
        return status;
    }

} // namespace

absl::Status runKeygen(Arguments, CommandOptions const& options, CommandContext& context)
{
    if (options.epoch > maximumEpoch)
        return makeError(ErrorKind::InvalidSettings, "--epoch is above 255; give a number from 0 to 255");
    std::string const text = generateKeyText(static_cast<std::uint8_t>(options.epoch));
    if (options.directory.empty()) {
        context.output << text;
        return absl::OkStatus();
    }
    std::string const path = options.directory + "/keys.toml";
    absl::Status status = writeKeyFile(path, text);
    if (!status.ok())
        return status;
    if (options.json)
        context.output << printJson(nlohmann::json::object({ { "files", nlohmann::json::array({ path }) } })) << '\n';
    else
        context.output << path << '\n';
    return absl::OkStatus();
}

} // namespace plantaindrift::cli
