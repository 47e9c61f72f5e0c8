#pragma once

#include "absl/status/statusor.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief Longest body of a response. Lists of the store have about 1 MB, and the smallest machines 64 MB of memory.
inline constexpr std::size_t maximumResponseBytes = 16U << 20U;

/// \brief Response to an HTTP request.
struct HttpResult {
    long status { 0 };
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers {}; ///< names in lower case, and values

    /// \brief The value of a header, or nothing.
    ///
    /// \param name  in lower case
    [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const;
};

/// \brief Blocking HTTP client; every request has a connection of its own. Not thread-safe.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(HttpClient const&) = delete;
    HttpClient& operator=(HttpClient const&) = delete;

    /// \brief Sends one request and waits for the response; parameters and results as for sendHttp.
    ///
    /// \param cancelled  ends the wait within about a second once it is true; null if the request is not to be cancelled
    /// \param stall      ends the request if nothing arrives on an open connection for this long, and up to a second more; 0 for no such limit
    [[nodiscard]] absl::StatusOr<HttpResult> send(std::string const& method, std::string const& url, std::string const& body, std::chrono::milliseconds timeout, std::atomic<bool> const* cancelled = nullptr, std::chrono::seconds stall = std::chrono::seconds::zero());

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// \brief Sends one request over a new connection and waits for the response; blocking.
///
/// \param method   "GET", "PUT" or "POST"
/// \param url      URL whose host is an IPv4 address
/// \param body     sent with PUT and POST
/// \param timeout  limit for the whole request
/// \returns        the response, whatever its status; DeadlinePassed after the timeout, Refused if the request failed or the
///                 response is longer than maximumResponseBytes
[[nodiscard]] absl::StatusOr<HttpResult> sendHttp(std::string const& method, std::string const& url, std::string const& body, std::chrono::milliseconds timeout);

} // namespace plantaindrift
