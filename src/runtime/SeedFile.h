#pragma once

#include "plantaindrift/base/Types.h"

#include "absl/status/statusor.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief Follows the entries that a settings file names.
///
/// The file may change at any time, with or without a signal. A file that cannot be read or is invalid changes nothing and is
/// logged once.
class SeedFile {
public:
    /// \brief Reads and checks the settings. \returns the entries that they name
    using Reader = std::function<absl::StatusOr<std::vector<Endpoint>>()>;

    SeedFile(std::string file, Reader reader);

    /// \brief Makes the next call of takeChange() read the file.
    void requestRead() noexcept { isRequested_ = true; }

    /// \brief The entries if they differ from those of the last call; always the entries at the first one.
    ///
    /// Reads the file every two seconds.
    [[nodiscard]] std::optional<std::vector<Endpoint>> takeChange(TimePoint now);

private:
    std::string file_;
    Reader reader_;
    std::optional<std::string> content_; ///< as of the last read
    std::optional<std::vector<Endpoint>> seeds_;
    std::optional<TimePoint> lastRead_;
    bool isRequested_ { false };

    void logChange(std::vector<Endpoint> const& seeds) const;
};

/// \brief Makes a reader of one list of the settings.
///
/// \param read  reads and checks the settings
/// \param list  the entries that they name
template <typename Settings>
[[nodiscard]] SeedFile::Reader makeSeedReader(std::function<absl::StatusOr<Settings>()> read, std::vector<Endpoint> Settings::*list)
{
    return [read = std::move(read), list]() -> absl::StatusOr<std::vector<Endpoint>> {
        absl::StatusOr<Settings> settings = read();
        if (!settings.ok())
            return settings.status();
        return std::move((*settings).*list);
    };
}

} // namespace plantaindrift
