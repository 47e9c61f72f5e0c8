#pragma once

#include "plantaindrift/base/Types.h"

#include "absl/status/status.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace plantaindrift {

/// \brief HTTP request passed to a handler.
struct HttpRequest {
    std::string method; ///< "GET", "PUT", ...
    std::string path; ///< without the query string
    std::string query; ///< query string without the '?'
    std::string body;
};

/// \brief HTTP response returned by a handler.
struct HttpAnswer {
    int status { 200 };
    std::string body;
    std::string contentType { "text/plain; charset=utf-8" };
    std::vector<std::pair<std::string, std::string>> headers {}; ///< further names and values
};

/// \brief HTTP server on an event loop that the caller runs; the handler runs on that loop.
class HttpServer {
public:
    using Handler = std::function<HttpAnswer(HttpRequest const&)>;

    HttpServer(asio::io_context& loop, Endpoint address, Handler handler);
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

    /// \brief Binds the address and starts to accept connections; the error names the address.
    [[nodiscard]] absl::Status start();

    /// \brief Closes the listening socket and all connections.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
