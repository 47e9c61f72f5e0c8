#pragma once

#include "absl/status/statusor.h"

#include <chrono>
#include <memory>
#include <string>

namespace plantaindrift {

/// \brief Answer to an HTTP request.
struct HttpResult {
    long status { 0 };
    std::string body;
};

/// \brief Sends requests over connections that it keeps open; blocking, for one thread.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(HttpClient const&) = delete;
    HttpClient& operator=(HttpClient const&) = delete;

    /// \brief Sends one request and waits for the answer; parameters and results as sendHttp.
    [[nodiscard]] absl::StatusOr<HttpResult> send(std::string const& method, std::string const& url, std::string const& body, std::chrono::milliseconds timeout);

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// \brief Sends one request and waits for the answer; blocking.
///
/// \param method   "GET", "PUT" or "POST"
/// \param url      URL by IPv4 address
/// \param body     sent with PUT and POST
/// \param timeout  of the whole request
/// \returns        the answer of any status; DeadlinePassed or Refused if there was none
[[nodiscard]] absl::StatusOr<HttpResult> sendHttp(std::string const& method, std::string const& url, std::string const& body, std::chrono::milliseconds timeout);

} // namespace plantaindrift
