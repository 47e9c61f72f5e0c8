#pragma once

#include <charconv>
#include <cstddef>
#include <optional>
#include <sstream>
#include <string>

namespace plantaindrift::standins {

/// \brief A request as it travels in a flow: one line, and the bytes of an upload.
struct Request {
    std::string service;
    std::string id;
    bool mayRepeat { false };
    std::size_t uploadBytes { 0 };
    std::size_t answerBytes { 0 };

    [[nodiscard]] std::string text() const
    {
        std::ostringstream line;
        line << service << ' ' << id << ' ' << (mayRepeat ? 1 : 0) << ' ' << uploadBytes << ' ' << answerBytes << '\n';
        return line.str() + std::string(uploadBytes, 'u');
    }

    /// \brief What the target answers.
    [[nodiscard]] std::string answer() const { return "answer " + id + '\n' + std::string(answerBytes, 'a'); }
};

/// \brief Takes the next whole request from the received bytes; nothing if it is not complete.
[[nodiscard]] inline std::optional<Request> takeRequest(std::string& input)
{
    std::size_t const end = input.find('\n');
    if (end == std::string::npos)
        return std::nullopt;
    Request request;
    std::istringstream(input.substr(0, end)) >> request.service >> request.id >> request.mayRepeat >> request.uploadBytes >> request.answerBytes;
    if (input.size() < end + 1 + request.uploadBytes)
        return std::nullopt;
    input.erase(0, end + 1 + request.uploadBytes);
    return request;
}

} // namespace plantaindrift::standins
