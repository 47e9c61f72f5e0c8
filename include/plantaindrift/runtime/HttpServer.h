#pragma once

#include "plantaindrift/base/Types.h"

#include "absl/status/status.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace plantaindrift {

/// \brief One HTTP request as handlers see it.
struct HttpRequest {
    std::string method; ///< "GET", "PUT", ...
    std::string path; ///< without the query
    std::string query; ///< what follows '?'
    std::string body;
};

/// \brief Answer of a handler.
struct HttpAnswer {
    int status { 200 };
    std::string body;
    std::string contentType { "text/plain; charset=utf-8" };
};

/// \brief Serves HTTP on a loop that the caller runs; the handler runs on that loop.
class HttpServer {
public:
    using Handler = std::function<HttpAnswer(HttpRequest const&)>;

    HttpServer(asio::io_context& loop, Endpoint address, Handler handler);
    ~HttpServer();
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;

    /// \brief Binds the address; the error names it.
    [[nodiscard]] absl::Status start();

    /// \brief Closes the listening socket and all connections.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace plantaindrift
