#include "cli/Commands.h"

#include "configuration/JsonObject.h"
#include "plantaindrift/base/Error.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sodium.h>
#include <unistd.h>
#include <zmq.h>

namespace plantaindrift::cli {

namespace {

    constexpr std::size_t datagramKeyBytes = 16;
    constexpr std::size_t curveKeyText = 41; ///< 40 characters of Z85 and the end

    struct KeyFile {
        std::string path;
        std::string content;
    };

    absl::Status fileError(std::string const& path, std::string_view action)
    {
        std::string const reason = std::strerror(errno);
        std::string const remedy = errno == EEXIST ? "choose another --directory or move the old keys away" : "check that the directory exists and is writable";
        return makeError(ErrorKind::InvalidSettings, path + ": cannot " + std::string(action) + " the file (" + reason + "); " + remedy);
    }

    absl::Status writeKeyFile(KeyFile const& file)
    {
        constexpr mode_t ownerOnly = 0600;
        int const descriptor = open(file.path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, ownerOnly);
        if (descriptor < 0)
            return fileError(file.path, "create");
        ssize_t const written = write(descriptor, file.content.data(), file.content.size());
        bool const isWritten = written == static_cast<ssize_t>(file.content.size()) && fsync(descriptor) == 0;
        absl::Status status = isWritten ? absl::OkStatus() : fileError(file.path, "write");
        close(descriptor);
        return status;
    }

    std::string makeDatagramKey()
    {
        std::array<unsigned char, datagramKeyBytes> key {};
        std::array<char, (datagramKeyBytes * 2) + 1> text {};
        randombytes_buf(key.data(), key.size());
        sodium_bin2hex(text.data(), text.size(), key.data(), key.size());
        sodium_memzero(key.data(), key.size());
        return { text.data() };
    }

    // Removes what was written, so that a failed run leaves no half set of keys.
    void removeFiles(std::span<KeyFile const> files)
    {
        for (KeyFile const& file : files)
            unlink(file.path.c_str());
    }

} // namespace

absl::Status runKeygen(Arguments, CommandOptions const& options, CommandContext& context)
{
    if (options.directory.empty())
        return makeError(ErrorKind::InvalidSettings, "--directory is missing; name an existing directory for the key files");
    if (sodium_init() < 0)
        return makeError(ErrorKind::Internal, "libsodium has no random numbers; check /dev/urandom");
    std::array<char, curveKeyText> publicKey {};
    std::array<char, curveKeyText> secretKey {};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
        return makeError(ErrorKind::Internal, "ZeroMQ was built without CURVE; install a libzmq with libsodium");
    std::array<KeyFile, 3> const files { {
        { options.directory + "/datagram.key", makeDatagramKey() + '\n' },
        { options.directory + "/curve-public.key", std::string(publicKey.data()) + '\n' },
        { options.directory + "/curve-secret.key", std::string(secretKey.data()) + '\n' },
    } };
    for (std::size_t index = 0; index < files.size(); ++index) {
        absl::Status status = writeKeyFile(files[index]);
        if (!status.ok()) {
            removeFiles(std::span<KeyFile const>(files).first(index));
            return status;
        }
    }
    nlohmann::json names = nlohmann::json::array();
    for (KeyFile const& file : files) {
        names.push_back(file.path);
        if (!options.json)
            context.output << file.path << '\n';
    }
    if (options.json)
        context.output << printJson(nlohmann::json::object({ { "files", std::move(names) } })) << '\n';
    return absl::OkStatus();
}

} // namespace plantaindrift::cli
