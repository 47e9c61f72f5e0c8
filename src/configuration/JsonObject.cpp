#include "configuration/JsonObject.h"

#include "plantaindrift/base/Error.h"

namespace plantaindrift {

namespace {

    std::string rangeRemedy(NumberRange range)
    {
        return "use a whole number from " + std::to_string(range.least) + " to " + std::to_string(range.most);
    }

} // namespace

JsonObject::JsonObject(nlohmann::json const& value, std::string path, absl::Status& error)
    : value_(value)
    , path_(std::move(path))
    , error_(error)
{
    if (!value_.is_object() && error_.ok())
        error_ = makeError(ErrorKind::InvalidMessage, "field " + (path_.empty() ? std::string("(document)") : path_) + " is not an object; write it as {...}");
}

std::string JsonObject::pathOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + '.' + std::string(key);
}

void JsonObject::fail(std::string_view key, std::string_view problem, std::string_view remedy)
{
    if (!error_.ok())
        return;
    std::string message = "field " + pathOf(key) + ' ';
    message.append(problem).append("; ").append(remedy);
    error_ = makeError(ErrorKind::InvalidMessage, message);
}

nlohmann::json const* JsonObject::takeOptional(std::string_view key)
{
    if (!value_.is_object())
        return nullptr;
    std::string const name(key);
    taken_.insert(name);
    nlohmann::json::const_iterator const found = value_.find(name);
    return found == value_.end() ? nullptr : &*found;
}

nlohmann::json const* JsonObject::take(std::string_view key, std::string_view remedy)
{
    nlohmann::json const* const field = takeOptional(key);
    if (field == nullptr)
        fail(key, "is missing", remedy);
    return field;
}

std::string JsonObject::takeText(std::string_view key, std::size_t longest)
{
    std::string const remedy = "use 1 to " + std::to_string(longest) + " bytes of text without control characters";
    nlohmann::json const* const field = take(key, remedy);
    if (field == nullptr)
        return {};
    if (!field->is_string()) {
        fail(key, "is not a text", remedy);
        return {};
    }
    std::string const& text = field->get_ref<std::string const&>();
    if (text.empty() || text.size() > longest || !isPrintableText(text)) {
        fail(key, text.empty() ? "is empty" : "is too long or has control characters", remedy);
        return {};
    }
    return text;
}

std::string JsonObject::takeName(std::string_view key)
{
    nlohmann::json const* const field = take(key, nameRemedy);
    if (field == nullptr)
        return {};
    if (!field->is_string() || !isName(field->get_ref<std::string const&>())) {
        fail(key, "is not a name", nameRemedy);
        return {};
    }
    return field->get<std::string>();
}

std::uint64_t JsonObject::takeNumber(std::string_view key, NumberRange range)
{
    nlohmann::json const* const field = take(key, rangeRemedy(range));
    if (field == nullptr)
        return range.least;
    if (!field->is_number_unsigned()) {
        fail(key, "is not a whole number of at least 0", rangeRemedy(range));
        return range.least;
    }
    std::uint64_t const number = field->get<std::uint64_t>();
    if (number < range.least || number > range.most) {
        fail(key, "is " + std::to_string(number) + ", which is out of range", rangeRemedy(range));
        return range.least;
    }
    return number;
}

bool JsonObject::takeFlag(std::string_view key)
{
    constexpr std::string_view remedy = "use true or false";
    nlohmann::json const* const field = take(key, remedy);
    if (field != nullptr && !field->is_boolean())
        fail(key, "is not a boolean", remedy);
    return field != nullptr && field->is_boolean() && field->get<bool>();
}

std::vector<nlohmann::json> const& JsonObject::takeArray(std::string_view key, std::size_t most)
{
    static std::vector<nlohmann::json> const empty;
    std::string const remedy = "use a list of at most " + std::to_string(most) + " elements";
    nlohmann::json const* const field = take(key, remedy);
    if (field == nullptr)
        return empty;
    if (!field->is_array() || field->size() > most) {
        fail(key, field->is_array() ? "has too many elements" : "is not a list", remedy);
        return empty;
    }
    return field->get_ref<nlohmann::json::array_t const&>();
}

void JsonObject::finish()
{
    if (!value_.is_object())
        return;
    for (nlohmann::json::const_iterator field = value_.begin(); field != value_.end(); ++field) {
        if (!taken_.contains(field.key()))
            fail(isPrintableText(field.key()) && field.key().size() <= longestName ? field.key() : "(unprintable)", "is unknown", "remove it, or use a newer version of this program");
    }
}

absl::StatusOr<nlohmann::json> parseJson(std::string_view text, std::size_t longest)
{
    if (text.size() > longest)
        return makeError(ErrorKind::InvalidMessage, "the text has " + std::to_string(text.size()) + " bytes; use at most " + std::to_string(longest));
    try {
        return nlohmann::json::parse(text);
    } catch (nlohmann::json::parse_error const& problem) {
        return makeError(ErrorKind::InvalidMessage, "the text is not JSON at byte " + std::to_string(problem.byte) + "; write one JSON object in UTF-8");
    } catch (nlohmann::json::exception const&) {
        return makeError(ErrorKind::InvalidMessage, "the text has a number that JSON readers cannot hold; use whole numbers below 2^64");
    }
}

std::string printJson(nlohmann::json const& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace plantaindrift
