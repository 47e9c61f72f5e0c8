#pragma once

#include "absl/status/statusor.h"

#include <chrono>
#include <string>

namespace plantaindrift {

/// \brief Answer to an HTTP request.
struct HttpResult {
    long status { 0 };
    std::string body;
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
