#pragma once

#include "configuration/FieldRules.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindrift {

/// \brief Largest JSON text that is read; the platform holds values up to 1 MB.
inline constexpr std::size_t longestJsonText = 1'000'000;

/// \brief Reads the fields of one JSON object; the first error of a whole document is kept.
///
/// Fields that are absent, of the wrong type or out of range yield a default value and an InvalidMessage
/// error that names the field by its path, such as "services[0].after.slots".
class JsonObject {
public:
    /// \param path   path of the object in the document; empty for the document itself
    /// \param error  receives the first error; must outlive this object
    JsonObject(nlohmann::json const& value, std::string path, absl::Status& error);

    [[nodiscard]] std::string takeText(std::string_view key, std::size_t longest);
    [[nodiscard]] std::string takeName(std::string_view key);
    [[nodiscard]] std::uint64_t takeNumber(std::string_view key, NumberRange range);
    [[nodiscard]] bool takeFlag(std::string_view key);

    /// \brief Elements of an array; empty after an error.
    [[nodiscard]] std::vector<nlohmann::json> const& takeArray(std::string_view key, std::size_t most);

    /// \brief A field that may be absent.
    [[nodiscard]] nlohmann::json const* takeOptional(std::string_view key);

    /// \brief Records an error at a field of this object.
    void fail(std::string_view key, std::string_view problem, std::string_view remedy);

    /// \brief Refuses fields that were not taken.
    void finish();

    [[nodiscard]] std::string pathOf(std::string_view key) const;

private:
    nlohmann::json const* take(std::string_view key, std::string_view remedy);

    nlohmann::json const& value_;
    std::string path_;
    absl::Status& error_;
    std::set<std::string, std::less<>> taken_;
};

/// \brief Parses a JSON document; errors are InvalidMessage and name the byte.
[[nodiscard]] absl::StatusOr<nlohmann::json> parseJson(std::string_view text, std::size_t longest = longestJsonText);

/// \brief Prints JSON with sorted keys; invalid UTF-8 is replaced.
[[nodiscard]] std::string printJson(nlohmann::json const& value);

} // namespace plantaindrift
